"""Handling of messages that a sidecar receives from its minion."""

from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.run_end_rule import (
    are_earlier_copies_over,
    has_minion_ended,
    is_absence_final,
    is_in_contact,
    is_refusal_final,
)
from kingcuppost.batch.systems.sidecar_heartbeats import (
    confirm_successor,
    remove_minion,
)
from kingcuppost.batch.systems.sidecar_lookup import (
    ended_run_keys,
    is_current_incarnation,
)
from kingcuppost.batch.systems.start_withdrawal import (
    STOPPED,
    record_refusal,
    withdraw_start,
)
from kingcuppost.batch.tables.messages import (
    HoldMinionAnswered,
    OrderAnswered,
    OrderOutcome,
    RunningRun,
)
from kingcuppost.batch.tables.world import BatchWorld, OrderedRun, SidecarState
from kingcuppost.tables.identity import Role

__all__ = [
    "handle_order_answers",
    "handle_run_lists",
]

RETRY_MS = 100
LOST_RETRY_MS = 500  # while there is no contact with the minion
STOP_REPEAT_FACTOR = 2  # of the longest time that a stop takes
NOT_LISTED = "the minion does not list the run"
SIDECAR_ROLES = (Role.SIDECAR,)


@system(Phase.INTAKE, SIDECAR_ROLES, order=30)
def handle_run_lists(world: BatchWorld, now_ms: int) -> None:
    """Handle the minion's lists of running and ended runs."""
    for lists in world.inbox.take(HoldMinionAnswered):
        confirm_successor(world, lists)
        sidecar_state = world.sidecar_state
        if not is_current_incarnation(world, lists.incarnation):
            continue
        sidecar_state.is_hold_open = False
        if lists.reason:
            _handle_list_failure(world, lists, now_ms)
            continue
        sidecar_state.contact_ms = lists.received_ms
        _update_running(world, lists, now_ms)
        _update_minion_clock(sidecar_state, lists)
        for ended in lists.ended:
            if (
                ended.number > sidecar_state.acknowledged_end
                and ended.number not in sidecar_state.ended
            ):
                sidecar_state.ended[ended.number] = ended
                sidecar_state.ordered_runs.pop((str(ended.task), ended.run), None)
                sidecar_state.is_report_due = True


def _handle_list_failure(
    world: BatchWorld, lists: HoldMinionAnswered, now_ms: int
) -> None:
    sidecar_state = world.sidecar_state
    in_contact = is_in_contact(sidecar_state.contact_ms, now_ms)
    retry_ms = RETRY_MS if in_contact else LOST_RETRY_MS
    sidecar_state.hold_after_ms = now_ms + retry_ms
    if not sidecar_state.hold_failed:
        world.note("minion", "A request for the run lists failed.", reason=lists.reason)
    sidecar_state.hold_failed = True
    has_ended = has_minion_ended(world.cfg, sidecar_state, lists.is_refused, now_ms)
    if has_ended or sidecar_state.has_leave_notice:
        remove_minion(world, has_ended)


def _update_minion_clock(
    sidecar_state: SidecarState, lists: HoldMinionAnswered
) -> None:
    if (
        sidecar_state.minion_clock_ms is None
        or lists.clock_ms >= sidecar_state.minion_clock_ms
    ):
        sidecar_state.minion_clock_ms = lists.clock_ms
        sidecar_state.minion_clock_received_ms = lists.received_ms


def _update_running(world: BatchWorld, lists: HoldMinionAnswered, now_ms: int) -> None:
    """Update the running runs from the minion's lists.

    A listed run counts as accepted, also if no answer to its start came. One that is
    missing has not begun, or has been lost without an end, unless its start was
    accepted after the lists were requested, or the lists are not whole.
    """
    sidecar_state = world.sidecar_state
    if sidecar_state.hold_failed:
        world.note("minion", "The run lists can be read again.")
    sidecar_state.hold_failed = False
    if not sidecar_state.listed:
        sidecar_state.listed = True
        sidecar_state.is_report_due = True
    _note_whole(world, lists)
    earlier = sidecar_state.running
    sidecar_state.running = {(str(run.task), run.run): run for run in lists.running}
    known_keys = (
        sidecar_state.running.keys()
        | {(str(end.task), end.run) for end in lists.ended}
        | ended_run_keys(sidecar_state)
    )
    for key, run in list(sidecar_state.ordered_runs.items()):
        if key not in known_keys and lists.is_whole:
            _handle_absence(world, run, lists, earlier.get(key))
        elif key in sidecar_state.running and run.start_accepted_ms is None:
            run.start_accepted_ms = lists.received_ms


def _note_whole(world: BatchWorld, lists: HoldMinionAnswered) -> None:
    """Keep whether the lists are whole, and log when that changes."""
    sidecar_state = world.sidecar_state
    if lists.is_whole == sidecar_state.lists_are_whole:
        return
    sidecar_state.lists_are_whole = lists.is_whole
    sidecar_state.is_report_due = True
    world.note(
        "minion",
        "The run lists are whole again."
        if lists.is_whole
        else "The run lists are not whole: what they lack may have ended.",
        ends=len(lists.ended),
        acknowledged=sidecar_state.acknowledged_end,
    )


def _handle_absence(
    world: BatchWorld,
    run: OrderedRun,
    lists: HoldMinionAnswered,
    earlier: RunningRun | None,
) -> None:
    """Withdraw an ordered run that lists lack, or keep it if they may be too old.

    Parameters
    ----------
    earlier : RunningRun or None
        The run as it was known before, if it was taken for running.
    """
    sidecar_state = world.sidecar_state
    kept_since_ms = max(world.started_ms, sidecar_state.known_since_ms)
    if is_absence_final(
        run, lists, sidecar_state.minion_clock_ms
    ) or are_earlier_copies_over(run, lists, kept_since_ms):
        record_refusal(world, run, run.stop_reason or STOPPED)
    elif run.start_accepted_ms is None:
        return
    elif lists.sent_ms > run.start_accepted_ms:
        run.may_still_start = True
        withdraw_start(world, run, NOT_LISTED, lists.received_ms)
    elif earlier is not None:
        key = (str(run.order.task), run.order.run)
        sidecar_state.running[key] = earlier


@system(Phase.INTAKE, SIDECAR_ROLES, order=60)
def handle_order_answers(world: BatchWorld, now_ms: int) -> None:
    """Handle the minion's answers to starts and stops.

    If a start is refused after an earlier copy went unanswered, the run is stopped
    before it is reported as refused, since the copy may still be carried out.
    """
    for answer in world.inbox.take(OrderAnswered):
        sidecar_state = world.sidecar_state
        if not is_current_incarnation(world, answer.incarnation):
            continue
        run = sidecar_state.ordered_runs.get((str(answer.task), answer.run))
        if run is None:
            continue
        run.is_order_pending = False
        if answer.is_start:
            _handle_start_answer(world, run, answer, now_ms)
        else:
            _handle_stop_answer(world, run, answer, now_ms)


def _handle_start_answer(
    world: BatchWorld, run: OrderedRun, answer: OrderAnswered, now_ms: int
) -> None:
    key = (str(answer.task), answer.run)
    if answer.outcome is OrderOutcome.DONE:
        run.start_accepted_ms = now_ms
        world.sidecar_state.running.setdefault(
            key, RunningRun(answer.task, answer.run, run.order.checkpoint, 0)
        )
        world.note("run", "A run began.", task=key[0], run=key[1])
        return
    world.note(
        "run",
        "The minion did not accept a start.",
        task=key[0],
        run=key[1],
        outcome=answer.outcome,
        reason=answer.reason,
    )
    run.may_still_start = run.may_still_start or answer.outcome is OrderOutcome.UNKNOWN
    if answer.outcome is not OrderOutcome.REFUSED:
        run.retry_ms = now_ms + RETRY_MS
    elif is_refusal_final(run):
        record_refusal(world, run, answer.reason)
    else:
        run.should_stop = True


def _handle_stop_answer(
    world: BatchWorld, run: OrderedRun, answer: OrderAnswered, now_ms: int
) -> None:
    run.is_stop_sent = True
    if answer.outcome is not OrderOutcome.DONE:
        run.retry_ms = now_ms + RETRY_MS
        return
    if run.stop_accepted_ms is None:
        run.stop_accepted_ms = now_ms
    run.retry_ms = now_ms + STOP_REPEAT_FACTOR * world.cfg.bounds.stop_ms
