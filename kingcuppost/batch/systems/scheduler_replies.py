"""Handling of the scheduler's replies to a sidecar: orders, lease and redirects."""

from kingcuppost.batch.systems.minion_clock import minion_time_ms, remaining_lease_ms
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.run_end_rule import may_be_started_by_earlier
from kingcuppost.batch.systems.sidecar_lookup import (
    ended_run_keys,
    is_current_incarnation,
)
from kingcuppost.batch.systems.start_limits import start_validity_ms
from kingcuppost.batch.tables.messages import (
    RecordsRead,
    StartOrder,
    StopOrder,
    SyncAnswered,
)
from kingcuppost.batch.tables.world import BatchWorld, OrderedRun, SidecarState
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role

__all__ = ["handle_entry_records", "handle_scheduler_replies"]

RETRY_MS = 100
NO_HOLDER_PAUSE_MS = 250
EXTENSION_PAUSE_MS = 500  # between reports while the holder only extends leases
SKIP_ENTRY_MS = 2_500  # time for which an entry that did not answer is skipped
LEASE_MARGIN_MS = 100
SIDECAR_ROLES = (Role.SIDECAR,)


@system(Phase.INTAKE, SIDECAR_ROLES, order=70)
def handle_scheduler_replies(world: BatchWorld, now_ms: int) -> None:
    """Handle the scheduler's replies: orders, minion lease and redirects."""
    for answer in world.inbox.take(SyncAnswered):
        sidecar_state = world.sidecar_state
        may_extend = sidecar_state.unanswered_syncs.pop(answer.number, False)
        reply = answer.reply
        if reply is None:
            _try_next_entry(world, answer, now_ms)
            continue
        _update_entries(sidecar_state, reply.entries, reply.members_end)
        if reply.term < sidecar_state.term or reply.term < 0:
            _follow_redirect(world, answer, now_ms)
            continue
        sidecar_state.term = reply.term
        sidecar_state.holder = answer.address
        sidecar_state.last_reply_ms = now_ms
        if reply.incarnation is not None and is_current_incarnation(
            world, reply.incarnation
        ):
            if may_extend:
                _withdraw_starts_of_expired_lease(sidecar_state, now_ms)
                _extend_lease(world, answer)
            _apply_orders(world, answer, may_extend, now_ms)
        if reply.only_extends:
            _look_for_holder(sidecar_state, now_ms)
    _forget_refusals(world.sidecar_state)


def _forget_refusals(sidecar_state: SidecarState) -> None:
    """Forget the refused runs that no answer to a report may order to start again."""
    oldest_sync = min(
        sidecar_state.unanswered_syncs, default=sidecar_state.sync_number + 1
    )
    refused_at_sync = sidecar_state.refused_at_sync
    for key in [key for key in refused_at_sync if refused_at_sync[key] < oldest_sync]:
        del refused_at_sync[key]


def _update_entries(
    sidecar_state: SidecarState, entries: tuple[Address, ...], members_end: int
) -> None:
    """Take addresses of the entries, unless they were read earlier than the known."""
    if entries and members_end >= sidecar_state.entries_end:
        sidecar_state.entries = entries
        sidecar_state.entries_end = members_end


def _try_next_entry(world: BatchWorld, answer: SyncAnswered, now_ms: int) -> None:
    """Skip an entry that did not answer, and report to the next one."""
    sidecar_state = world.sidecar_state
    sidecar_state.unreachable_entry = answer.address
    sidecar_state.unreachable_until_ms = now_ms + SKIP_ENTRY_MS
    if sidecar_state.holder == answer.address:
        sidecar_state.holder = None
        world.note("sync", "The scheduler does not answer.", reason=answer.reason)
    sidecar_state.next_entry_index += 1
    sidecar_state.sync_after_ms = now_ms + RETRY_MS
    sidecar_state.is_report_due = True


def _follow_redirect(world: BatchWorld, answer: SyncAnswered, now_ms: int) -> None:
    """Send the next report to the holder that a reply names.

    If the reply names no holder, that of an earlier term, its own sender, or an entry
    that has just failed to answer, the next entry of the list is tried.
    """
    sidecar_state = world.sidecar_state
    is_outdated = answer.reply.holder_term < sidecar_state.term
    redirect = None if is_outdated else answer.reply.holder
    is_unreachable = (
        redirect == sidecar_state.unreachable_entry
        and now_ms < sidecar_state.unreachable_until_ms
    )
    if redirect == answer.address or is_unreachable:
        redirect = None
    sidecar_state.holder = redirect
    if redirect is None:
        sidecar_state.next_entry_index += 1
    sidecar_state.sync_after_ms = now_ms + (
        RETRY_MS if redirect is not None else NO_HOLDER_PAUSE_MS
    )
    sidecar_state.is_report_due = True


def _look_for_holder(sidecar_state: SidecarState, now_ms: int) -> None:
    """Report to another entry next, as the holder may not give orders any more.

    If none has taken its place, the other entry redirects the sidecar back to it.
    """
    sidecar_state.holder = None
    sidecar_state.next_entry_index += 1
    sidecar_state.sync_after_ms = now_ms + EXTENSION_PAUSE_MS
    sidecar_state.is_report_due = True


def _withdraw_starts_of_expired_lease(sidecar_state: SidecarState, now_ms: int) -> None:
    """Stop what was ordered under a lease that has expired, and has not been accepted.

    The holder may have given these runs up. A stop also keeps unanswered copies of
    their starts from being carried out.
    """
    remaining_ms = remaining_lease_ms(sidecar_state, now_ms)
    if remaining_ms is None or remaining_ms > 0:
        return
    for run in sidecar_state.ordered_runs.values():
        if run.start_accepted_ms is None:
            run.should_stop = True


def _extend_lease(world: BatchWorld, answer: SyncAnswered) -> None:
    """Extend the minion lease, counted from the time at which the report was sent."""
    sidecar_state = world.sidecar_state
    sent_on_minion_ms = minion_time_ms(sidecar_state, answer.sent_ms)
    if sent_on_minion_ms is None:
        return
    until_ms = sent_on_minion_ms + world.cfg.bounds.lease_ms - LEASE_MARGIN_MS
    sidecar_state.lease_until_ms = max(sidecar_state.lease_until_ms or 0, until_ms)


def _apply_orders(
    world: BatchWorld, answer: SyncAnswered, may_start: bool, now_ms: int
) -> None:
    """Apply the orders of a reply; starts only if it extends the lease for them."""
    sidecar_state = world.sidecar_state
    reply = answer.reply
    if reply.noted > sidecar_state.acknowledged_end:
        sidecar_state.acknowledged_end = reply.noted
        for number in [
            number
            for number in sidecar_state.ended
            if number <= sidecar_state.acknowledged_end
        ]:
            del sidecar_state.ended[number]
    for settled in reply.settled:
        sidecar_state.refused.pop((str(settled.task), settled.run), None)
    reported_keys = ended_run_keys(sidecar_state) | set(sidecar_state.refused)
    # an answer to a report from before the refusal may still order the start
    unstartable_keys = reported_keys | set(sidecar_state.refused_at_sync)
    for order in reply.starts if may_start else ():
        key = (str(order.task), order.run)
        if key not in unstartable_keys and key not in sidecar_state.running:
            sidecar_state.ordered_runs.setdefault(
                key, _make_ordered_run(world, order, now_ms)
            )
    for stop in reply.stops:
        _apply_stop(sidecar_state, stop, reported_keys, now_ms)


def _make_ordered_run(world: BatchWorld, order: StartOrder, now_ms: int) -> OrderedRun:
    """Return a run to start; it may have been started before its runs were kept.

    By an earlier process of the sidecar, or by this one before the minion was removed
    and came back.
    """
    run = OrderedRun(order, now_ms)
    kept_since_ms = max(world.started_ms, world.sidecar_state.known_since_ms)
    if may_be_started_by_earlier(world.cfg, kept_since_ms, now_ms):
        run.may_still_start = True
        clock_ms = minion_time_ms(world.sidecar_state, now_ms)
        if clock_ms is not None:
            run.start_deadline_ms = clock_ms + start_validity_ms(world.cfg.bounds)
    return run


def _apply_stop(
    sidecar_state: SidecarState,
    stop: StopOrder,
    reported_keys: set[tuple[str, int]],
    now_ms: int,
) -> None:
    """Stop a run; one that is not known here may have been started before."""
    key = (str(stop.task), stop.run)
    if key in reported_keys:
        return
    order = StartOrder(stop.task, stop.run, "", "")
    run = sidecar_state.ordered_runs.setdefault(
        key, OrderedRun(order, now_ms, may_still_start=True)
    )
    run.should_stop = True


@system(Phase.INTAKE, SIDECAR_ROLES, order=40)
def handle_entry_records(world: BatchWorld, now_ms: int) -> None:
    """Update the addresses of the entries from records of the log, if there are any."""
    for batch in world.inbox.take(RecordsRead):
        found = tuple(
            record.address for _, record in batch.records if hasattr(record, "address")
        )
        _update_entries(world.sidecar_state, found, batch.end)
