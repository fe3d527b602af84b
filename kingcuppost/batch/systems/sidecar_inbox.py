"""Handling of messages that a sidecar receives from its minion and the scheduler."""

from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.tables.job import Life
from kingcuppost.batch.tables.messages import (
    Followed,
    MinionHeard,
    MinionLists,
    OrderAnswered,
    OrderOutcome,
    RefusedRun,
    RunningRun,
    StartOrder,
    StopOrder,
    SyncAnswered,
    SyncReply,
)
from kingcuppost.batch.tables.world import BatchWorld, Host, HostRun
from kingcuppost.tables.identity import Role

__all__ = [
    "handle_heartbeats",
    "handle_order_answers",
    "handle_run_lists",
    "handle_scheduler_replies",
]

RETRY_MS = 100
REDIRECT_PAUSE_MS = 250
UNRESPONSIVE_MS = 2_500
LEASE_MARGIN_MS = 100
SIDECAR_ROLES = (Role.SIDECAR,)


@system(Phase.INTAKE, SIDECAR_ROLES, order=50)
def handle_heartbeats(world: BatchWorld, now_ms: int) -> None:
    """Handle heartbeats; ignore those of an earlier incarnation or sequence number."""
    host = world.host
    for heartbeat in world.inbox.take(MinionHeard):
        if heartbeat.gone:
            _remove_minion(world, heartbeat)
            continue
        life = heartbeat.report.life
        old = host.minion
        if old is not None and life.born_ms < old.life.born_ms:
            continue
        if old is None or old.life != life:
            _begin_incarnation(world, heartbeat)
        elif heartbeat.sequence <= host.sequence:
            continue
        host.sequence = heartbeat.sequence
        host.address = heartbeat.address
        if old is None or _is_draining_changed(heartbeat, host):
            host.dirty = True
        host.minion = heartbeat.report


def _is_draining_changed(heartbeat: MinionHeard, host: Host) -> bool:
    old = host.minion
    return old is None or old.draining != heartbeat.report.draining


def _begin_incarnation(world: BatchWorld, heartbeat: MinionHeard) -> None:
    """Reset the state of the minion, but not that of the scheduler."""
    host = world.host
    world.host = Host(
        term=host.term,
        sync_number=host.sync_number,
        syncs=host.syncs,
        holder=host.holder,
        entries=host.entries,
        next_entry=host.next_entry,
        heard_ms=host.heard_ms,
        minion=heartbeat.report,
        address=heartbeat.address,
    )
    host = world.host
    world.note(
        "minion",
        "The minion has a new incarnation.",
        minion=heartbeat.report.life.minion,
        born_ms=heartbeat.report.life.born_ms,
    )


def _remove_minion(world: BatchWorld, heartbeat: MinionHeard) -> None:
    host = world.host
    if host.minion is None or host.minion.life.minion != heartbeat.report.life.minion:
        return
    world.note("minion", "The minion left.", minion=host.minion.life.minion)
    host.minion = None
    host.dirty = True


def _is_current_incarnation(world: BatchWorld, life: Life) -> bool:
    return world.host.minion is not None and world.host.minion.life == life


@system(Phase.INTAKE, SIDECAR_ROLES, order=30)
def handle_run_lists(world: BatchWorld, now_ms: int) -> None:
    """Handle the minion's lists of running and ended runs."""
    for lists in world.inbox.take(MinionLists):
        host = world.host
        if not _is_current_incarnation(world, lists.life):
            continue
        host.holding = False
        if lists.reason:
            _handle_lease_failure(world, lists, now_ms)
            continue
        _update_minion_clock(host, lists)
        _update_running(world, lists, now_ms)
        for ended in lists.ended:
            if ended.number > host.seen and ended.number not in host.ended:
                host.ended[ended.number] = ended
                host.runs.pop((str(ended.task), ended.run), None)
                host.dirty = True


def _handle_lease_failure(world: BatchWorld, lists: MinionLists, now_ms: int) -> None:
    host = world.host
    host.hold_after_ms = now_ms + RETRY_MS
    if not host.hold_failed:
        world.note("minion", "The minion does not answer.", reason=lists.reason)
    host.hold_failed = True


def _update_minion_clock(host: Host, lists: MinionLists) -> None:
    if host.clock_ms is None or lists.clock_ms >= host.clock_ms:
        host.clock_ms = lists.clock_ms
        host.clock_at_ms = lists.received_ms


def _update_running(world: BatchWorld, lists: MinionLists, now_ms: int) -> None:
    host = world.host
    if host.hold_failed:
        world.note("minion", "The minion answers.")
    host.hold_failed = False
    if not host.listed:
        host.listed = True
        host.dirty = True
    host.running = {(str(run.task), run.run): run for run in lists.running}
    over = {(str(end.task), end.run) for end in lists.ended}
    for key, run in list(host.runs.items()):
        if run.stopped_ms is None or lists.sent_ms <= run.stopped_ms:
            continue
        if (
            key not in host.running
            and key not in over
            and key not in _ended_run_keys(host)
        ):
            _record_refusal(world, run, "stopped")


def _ended_run_keys(host: Host) -> set[tuple[str, int]]:
    return {(str(end.task), end.run) for end in host.ended.values()}


def _record_refusal(world: BatchWorld, run: HostRun, reason: str) -> None:
    """Record for the next report that a run certainly never began."""
    host = world.host
    key = (str(run.order.task), run.order.run)
    host.runs.pop(key, None)
    host.refused[key] = RefusedRun(run.order.task, run.order.run, reason)
    host.dirty = True
    world.note("run", "A run was refused.", task=key[0], run=key[1], reason=reason)


@system(Phase.INTAKE, SIDECAR_ROLES, order=60)
def handle_order_answers(world: BatchWorld, now_ms: int) -> None:
    """Handle the minion's answers to starts and stops.

    If a start is refused after an earlier copy went unanswered, the run is stopped
    before it is reported as refused, since the copy may still be carried out.
    """
    for answer in world.inbox.take(OrderAnswered):
        host = world.host
        if not _is_current_incarnation(world, answer.life):
            continue
        run = host.runs.get((str(answer.task), answer.run))
        if run is None:
            continue
        run.asked = False
        if answer.start:
            _handle_start_answer(world, run, answer, now_ms)
        else:
            _handle_stop_answer(world, run, answer, now_ms)


def _handle_start_answer(
    world: BatchWorld, run: HostRun, answer: OrderAnswered, now_ms: int
) -> None:
    key = (str(answer.task), answer.run)
    if answer.outcome is OrderOutcome.DONE:
        run.started = True
        world.host.running.setdefault(
            key, RunningRun(answer.task, answer.run, run.order.saved, 0)
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
    run.doubtful = run.doubtful or answer.outcome is OrderOutcome.UNKNOWN
    if answer.outcome is OrderOutcome.REFUSED and run.doubtful:
        run.stop = True
    elif answer.outcome is OrderOutcome.REFUSED:
        _record_refusal(world, run, answer.reason)
    else:
        run.retry_ms = now_ms + RETRY_MS


def _handle_stop_answer(
    world: BatchWorld, run: HostRun, answer: OrderAnswered, now_ms: int
) -> None:
    if answer.outcome is OrderOutcome.DONE:
        run.stopped_ms = now_ms
        return
    run.retry_ms = now_ms + RETRY_MS


@system(Phase.INTAKE, SIDECAR_ROLES, order=70)
def handle_scheduler_replies(world: BatchWorld, now_ms: int) -> None:
    """Handle the scheduler's replies: orders, minion lease and redirects."""
    for answer in world.inbox.take(SyncAnswered):
        host = world.host
        host.syncs.pop(answer.number, None)
        reply = answer.reply
        if reply is None:
            _try_next_entry(world, answer, now_ms)
            continue
        host.entries = reply.entries or host.entries
        if reply.term < host.term or reply.term < 0:
            _follow_redirect(world, answer, now_ms)
            continue
        host.term = reply.term
        host.holder = answer.address
        host.heard_ms = now_ms
        if reply.life is not None and _is_current_incarnation(world, reply.life):
            _extend_lease(world, answer)
            _apply_orders(world, reply)


def _try_next_entry(world: BatchWorld, answer: SyncAnswered, now_ms: int) -> None:
    host = world.host
    host.silent = answer.address
    host.silent_until_ms = now_ms + UNRESPONSIVE_MS
    if host.holder == answer.address:
        host.holder = None
        world.note("sync", "The scheduler does not answer.", reason=answer.reason)
    host.next_entry += 1
    host.sync_after_ms = now_ms + RETRY_MS
    host.dirty = True


def _follow_redirect(world: BatchWorld, answer: SyncAnswered, now_ms: int) -> None:
    """Send the next report to the entry that a reply names as holder.

    Without such a name, or if that entry has just failed to answer, the next entry of
    the list is tried.
    """
    host = world.host
    redirect = answer.reply.holder
    is_unresponsive = redirect == host.silent and now_ms < host.silent_until_ms
    if redirect == answer.address or is_unresponsive:
        redirect = None
    host.holder = redirect
    if redirect is None:
        host.next_entry += 1
    host.sync_after_ms = now_ms + (
        RETRY_MS if redirect is not None else REDIRECT_PAUSE_MS
    )
    host.dirty = True


def _extend_lease(world: BatchWorld, answer: SyncAnswered) -> None:
    """Extend the minion lease, counted from the time at which the report was sent."""
    host = world.host
    if host.clock_ms is None:
        return
    sent_on_minion_ms = host.clock_ms + max(answer.sent_ms - host.clock_at_ms, 0)
    until_ms = sent_on_minion_ms + world.cfg.bounds.lease_ms - LEASE_MARGIN_MS
    host.until_ms = max(host.until_ms or 0, until_ms)


def _apply_orders(world: BatchWorld, reply: SyncReply) -> None:
    host = world.host
    if reply.noted > host.seen:
        host.seen = reply.noted
        for number in [number for number in host.ended if number <= host.seen]:
            del host.ended[number]
    for row in reply.settled:
        host.refused.pop((str(row.task), row.run), None)
    known = _ended_run_keys(host) | set(host.refused)
    for order in reply.starts:
        key = (str(order.task), order.run)
        if key not in known and key not in host.running:
            host.runs.setdefault(key, HostRun(order))
    for stop in reply.stops:
        _apply_stop(host, stop, known)


def _apply_stop(host: Host, stop: StopOrder, known: set[tuple[str, int]]) -> None:
    key = (str(stop.task), stop.run)
    if key in known:
        return
    run = host.runs.setdefault(key, HostRun(StartOrder(stop.task, stop.run, "", "")))
    run.stop = True


@system(Phase.INTAKE, SIDECAR_ROLES, order=40)
def handle_entry_records(world: BatchWorld, now_ms: int) -> None:
    """Update the addresses of the entries from the log."""
    for batch in world.inbox.take(Followed):
        found = tuple(
            record.address for _, record in batch.records if hasattr(record, "address")
        )
        world.host.entries = found or world.host.entries
