"""What a sidecar hears: of its minion, and of the scheduler."""

from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.tables.job import MinionIncarnation
from kingcuppost.batch.tables.messages import (
    HoldMinionAnswered,
    MinionHeartbeat,
    OrderAnswered,
    OrderOutcome,
    RecordsRead,
    RefusedRun,
    RunningRun,
    StartOrder,
    StopOrder,
    SyncAnswered,
    SyncReply,
)
from kingcuppost.batch.tables.world import BatchWorld, OrderedRun, SidecarState
from kingcuppost.tables.identity import Role

__all__ = ["hear_lists", "hear_minion", "hear_orders", "hear_scheduler"]

RETRY_MS = 100
PAUSE_MS = 250
SILENT_MS = 2_500
LEASE_MARGIN_MS = 100
SIDECAR = (Role.SIDECAR,)


@system(Phase.INTAKE, SIDECAR, order=50)
def hear_minion(world: BatchWorld, now_ms: int) -> None:
    """Take heartbeats in; late ones of an earlier life or moment change nothing."""
    sidecar_state = world.sidecar_state
    for heard in world.inbox.take(MinionHeartbeat):
        if heard.gone:
            _minion_left(world, heard)
            continue
        incarnation = heard.report.incarnation
        old = sidecar_state.minion
        if old is not None and incarnation.born_ms < old.incarnation.born_ms:
            continue
        if old is None or old.incarnation != incarnation:
            _begin_life(world, heard)
        elif heard.sequence <= sidecar_state.sequence:
            continue
        sidecar_state.sequence = heard.sequence
        sidecar_state.address = heard.address
        if old is None or _is_news(heard, sidecar_state):
            sidecar_state.dirty = True
        sidecar_state.minion = heard.report


def _is_news(heard: MinionHeartbeat, sidecar_state: SidecarState) -> bool:
    old = sidecar_state.minion
    return old is None or old.draining != heard.report.draining


def _begin_life(world: BatchWorld, heard: MinionHeartbeat) -> None:
    """Forget all of the minion's earlier life."""
    sidecar_state = world.sidecar_state
    world.sidecar_state = SidecarState(
        term=sidecar_state.term,
        sync_number=sidecar_state.sync_number,
        pending_syncs=sidecar_state.pending_syncs,
        holder=sidecar_state.holder,
        entries=sidecar_state.entries,
        next_entry=sidecar_state.next_entry,
        last_reply_ms=sidecar_state.last_reply_ms,
        minion=heard.report,
        address=heard.address,
    )
    sidecar_state = world.sidecar_state
    world.note(
        "minion",
        "The minion began a life.",
        minion=heard.report.incarnation.minion,
        born_ms=heard.report.incarnation.born_ms,
    )


def _minion_left(world: BatchWorld, heard: MinionHeartbeat) -> None:
    sidecar_state = world.sidecar_state
    if (
        sidecar_state.minion is None
        or sidecar_state.minion.incarnation.minion != heard.report.incarnation.minion
    ):
        return
    world.note(
        "minion", "The minion left.", minion=sidecar_state.minion.incarnation.minion
    )
    sidecar_state.minion = None
    sidecar_state.dirty = True


def _is_present(world: BatchWorld, incarnation: MinionIncarnation) -> bool:
    return (
        world.sidecar_state.minion is not None
        and world.sidecar_state.minion.incarnation == incarnation
    )


@system(Phase.INTAKE, SIDECAR, order=30)
def hear_lists(world: BatchWorld, now_ms: int) -> None:
    """Take in what runs at the minion and what has ended there."""
    for lists in world.inbox.take(HoldMinionAnswered):
        sidecar_state = world.sidecar_state
        if not _is_present(world, lists.incarnation):
            continue
        sidecar_state.is_hold_open = False
        if lists.reason:
            _hold_failed(world, lists, now_ms)
            continue
        _read_clock(sidecar_state, lists)
        _take_running(world, lists, now_ms)
        for ended in lists.ended:
            if (
                ended.number > sidecar_state.acknowledged_end
                and ended.number not in sidecar_state.ended
            ):
                sidecar_state.ended[ended.number] = ended
                sidecar_state.runs.pop((str(ended.task), ended.run), None)
                sidecar_state.dirty = True


def _hold_failed(world: BatchWorld, lists: HoldMinionAnswered, now_ms: int) -> None:
    sidecar_state = world.sidecar_state
    sidecar_state.hold_after_ms = now_ms + RETRY_MS
    if not sidecar_state.hold_failed:
        world.note("minion", "The minion does not answer.", reason=lists.reason)
    sidecar_state.hold_failed = True


def _read_clock(sidecar_state: SidecarState, lists: HoldMinionAnswered) -> None:
    if sidecar_state.clock_ms is None or lists.clock_ms >= sidecar_state.clock_ms:
        sidecar_state.clock_ms = lists.clock_ms
        sidecar_state.clock_at_ms = lists.received_ms


def _take_running(world: BatchWorld, lists: HoldMinionAnswered, now_ms: int) -> None:
    sidecar_state = world.sidecar_state
    if sidecar_state.hold_failed:
        world.note("minion", "The minion answers.")
    sidecar_state.hold_failed = False
    if not sidecar_state.listed:
        sidecar_state.listed = True
        sidecar_state.dirty = True
    sidecar_state.running = {(str(run.task), run.run): run for run in lists.running}
    over = {(str(end.task), end.run) for end in lists.ended}
    for key, run in list(sidecar_state.runs.items()):
        if run.stopped_ms is None or lists.sent_ms <= run.stopped_ms:
            continue
        if (
            key not in sidecar_state.running
            and key not in over
            and key not in _ended(sidecar_state)
        ):
            _refuse(world, run, "stopped")


def _ended(sidecar_state: SidecarState) -> set[tuple[str, int]]:
    return {(str(end.task), end.run) for end in sidecar_state.ended.values()}


def _refuse(world: BatchWorld, run: OrderedRun, reason: str) -> None:
    """Report that a run surely never began."""
    sidecar_state = world.sidecar_state
    key = (str(run.order.task), run.order.run)
    sidecar_state.runs.pop(key, None)
    sidecar_state.refused[key] = RefusedRun(run.order.task, run.order.run, reason)
    sidecar_state.dirty = True
    world.note("run", "A run was refused.", task=key[0], run=key[1], reason=reason)


@system(Phase.INTAKE, SIDECAR, order=60)
def hear_orders(world: BatchWorld, now_ms: int) -> None:
    """Take in what the minion made of starts and stops.

    A start that was refused after an earlier copy went unanswered is stopped first,
    since the copy may be carried out late.
    """
    for answer in world.inbox.take(OrderAnswered):
        sidecar_state = world.sidecar_state
        if not _is_present(world, answer.incarnation):
            continue
        run = sidecar_state.runs.get((str(answer.task), answer.run))
        if run is None:
            continue
        run.is_order_pending = False
        if answer.start:
            _start_answered(world, run, answer, now_ms)
        else:
            _stop_answered(world, run, answer, now_ms)


def _start_answered(
    world: BatchWorld, run: OrderedRun, answer: OrderAnswered, now_ms: int
) -> None:
    key = (str(answer.task), answer.run)
    if answer.outcome is OrderOutcome.DONE:
        run.started = True
        world.sidecar_state.running.setdefault(
            key, RunningRun(answer.task, answer.run, run.order.checkpoint, 0)
        )
        world.note("run", "A run began.", task=key[0], run=key[1])
        return
    world.note(
        "run",
        "A start was not taken.",
        task=key[0],
        run=key[1],
        outcome=answer.outcome,
        reason=answer.reason,
    )
    run.may_still_start = run.may_still_start or answer.outcome is OrderOutcome.UNKNOWN
    if answer.outcome is OrderOutcome.REFUSED and run.may_still_start:
        run.stop = True
    elif answer.outcome is OrderOutcome.REFUSED:
        _refuse(world, run, answer.reason)
    else:
        run.retry_ms = now_ms + RETRY_MS


def _stop_answered(
    world: BatchWorld, run: OrderedRun, answer: OrderAnswered, now_ms: int
) -> None:
    if answer.outcome is OrderOutcome.DONE:
        run.stopped_ms = now_ms
        return
    run.retry_ms = now_ms + RETRY_MS


@system(Phase.INTAKE, SIDECAR, order=70)
def hear_scheduler(world: BatchWorld, now_ms: int) -> None:
    """Take in the scheduler's orders, and the lease that its answer allows."""
    for answer in world.inbox.take(SyncAnswered):
        sidecar_state = world.sidecar_state
        sidecar_state.pending_syncs.pop(answer.number, None)
        reply = answer.reply
        if reply is None:
            _ask_another(world, answer, now_ms)
            continue
        sidecar_state.entries = reply.entries or sidecar_state.entries
        if reply.term < sidecar_state.term or reply.term < 0:
            _follow_hint(world, answer, now_ms)
            continue
        sidecar_state.term = reply.term
        sidecar_state.holder = answer.address
        sidecar_state.last_reply_ms = now_ms
        if reply.incarnation is not None and _is_present(world, reply.incarnation):
            _extend_lease(world, answer)
            _take_orders(world, reply)


def _ask_another(world: BatchWorld, answer: SyncAnswered, now_ms: int) -> None:
    sidecar_state = world.sidecar_state
    sidecar_state.unreachable_entry = answer.address
    sidecar_state.unreachable_until_ms = now_ms + SILENT_MS
    if sidecar_state.holder == answer.address:
        sidecar_state.holder = None
        world.note("sync", "The scheduler does not answer.", reason=answer.reason)
    sidecar_state.next_entry += 1
    sidecar_state.sync_after_ms = now_ms + RETRY_MS
    sidecar_state.dirty = True


def _follow_hint(world: BatchWorld, answer: SyncAnswered, now_ms: int) -> None:
    """Ask the entry that is said to schedule, unless it has just not answered."""
    sidecar_state = world.sidecar_state
    hint = answer.reply.holder
    is_silent = (
        hint == sidecar_state.unreachable_entry
        and now_ms < sidecar_state.unreachable_until_ms
    )
    if hint == answer.address or is_silent:
        hint = None
    sidecar_state.holder = hint
    if hint is None:
        sidecar_state.next_entry += 1
    sidecar_state.sync_after_ms = now_ms + (RETRY_MS if hint is not None else PAUSE_MS)
    sidecar_state.dirty = True


def _extend_lease(world: BatchWorld, answer: SyncAnswered) -> None:
    """Allow the minion's work to go on for a lease from when the report was sent."""
    sidecar_state = world.sidecar_state
    if sidecar_state.clock_ms is None:
        return
    sent_on_minion_ms = sidecar_state.clock_ms + max(
        answer.sent_ms - sidecar_state.clock_at_ms, 0
    )
    until_ms = sent_on_minion_ms + world.cfg.bounds.lease_ms - LEASE_MARGIN_MS
    sidecar_state.until_ms = max(sidecar_state.until_ms or 0, until_ms)


def _take_orders(world: BatchWorld, reply: SyncReply) -> None:
    sidecar_state = world.sidecar_state
    if reply.noted > sidecar_state.acknowledged_end:
        sidecar_state.acknowledged_end = reply.noted
        for number in [
            number
            for number in sidecar_state.ended
            if number <= sidecar_state.acknowledged_end
        ]:
            del sidecar_state.ended[number]
    for row in reply.settled:
        sidecar_state.refused.pop((str(row.task), row.run), None)
    known = _ended(sidecar_state) | set(sidecar_state.refused)
    for order in reply.starts:
        key = (str(order.task), order.run)
        if key not in known and key not in sidecar_state.running:
            sidecar_state.runs.setdefault(key, OrderedRun(order))
    for stop in reply.stops:
        _take_stop(sidecar_state, stop, known)


def _take_stop(
    sidecar_state: SidecarState, stop: StopOrder, known: set[tuple[str, int]]
) -> None:
    key = (str(stop.task), stop.run)
    if key in known:
        return
    run = sidecar_state.runs.setdefault(
        key, OrderedRun(StartOrder(stop.task, stop.run, "", ""))
    )
    run.stop = True


@system(Phase.INTAKE, SIDECAR, order=40)
def hear_members(world: BatchWorld, now_ms: int) -> None:
    """Take in the entries that the log lists."""
    for batch in world.inbox.take(RecordsRead):
        found = tuple(
            record.address for _, record in batch.records if hasattr(record, "address")
        )
        world.sidecar_state.entries = found or world.sidecar_state.entries
