"""Replies to sidecars' reports: runs to start and stop, and committed run ends."""

from heapq import heappop

from kingcuppost.batch.systems.holder_election import (
    has_authority,
    make_redirect,
    may_extend_leases,
)
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.run_end_rule import extends_lease
from kingcuppost.batch.systems.term_opening import is_scheduling
from kingcuppost.batch.tables.job import MinionIncarnation, TaskPhase
from kingcuppost.batch.tables.messages import (
    StartOrder,
    StopOrder,
    Stream,
    SyncCall,
    SyncReply,
)
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.world import (
    BatchWorld,
    OrphanRun,
    PendingSync,
    Schedule,
)
from kingcuppost.tables.identity import Role

__all__ = ["reply_to_sidecars"]

RESEND_MS = 700


OrdersByIncarnation = dict[MinionIncarnation, list[tuple[Plan, Task]]]


@system(Phase.REPORT, (Role.ENTRY,), order=20)
def reply_to_sidecars(world: BatchWorld, now_ms: int) -> None:
    """Answer pending reports that have orders or results, or whose wait is over.

    Results are committed run ends and processed refusals. While this process may not
    give orders, all reports are redirected, or answered at once with an extension of
    the minion lease alone.
    """
    schedule = world.schedule
    if not is_scheduling(world) or not may_extend_leases(world, now_ms):
        _redirect_all(world)
        return
    if not has_authority(world, now_ms):
        _extend_all(world)
        return
    world.deadlines.add(schedule.authority_until_ms)
    if not schedule.pending_syncs:
        return
    starts, stops = _collect_orders(world, now_ms)
    for sidecar in _sidecars_to_answer(schedule, [*starts, *stops], now_ms):
        pending = schedule.pending_syncs.get(sidecar)
        if pending is not None:
            _reply_to_report(world, pending, starts, stops, now_ms)


def _sidecars_to_answer(
    schedule: Schedule, ordered: list[MinionIncarnation], now_ms: int
) -> list[str]:
    """Return the sidecars whose reports may be answered now, without repetition.

    All others wait: most reports of a large deployment have neither orders nor results
    at any one time, so a tick does not look at them.
    """
    sidecars = dict.fromkeys(schedule.reported_results)
    for incarnation in ordered:
        for minion in schedule.minions.find("incarnation", incarnation):
            sidecars[minion.sidecar] = None
    sidecars |= dict.fromkeys(schedule.orphans)
    while schedule.sync_ends and schedule.sync_ends[0][0] <= now_ms:
        _, sidecar = heappop(schedule.sync_ends)
        sidecars[sidecar] = None
    return list(sidecars)


def _reply_to_report(
    world: BatchWorld,
    pending: PendingSync,
    starts: OrdersByIncarnation,
    stops: OrdersByIncarnation,
    now_ms: int,
) -> None:
    """Answer a pending report if there are orders or results, or its wait is over."""
    call = pending.call
    minion = world.schedule.minions.get(call.sidecar)
    incarnation = minion.incarnation if minion else None
    if not extends_lease(call.minion):
        starts = {}
    orphans = _due_orphan_stops(world, call.sidecar, now_ms)
    committed_end = _last_committed_end(world, call) if call.ended else 0
    has_orders = incarnation in starts or incarnation in stops or bool(orphans)
    if not (has_orders or committed_end or call.refused or now_ms >= pending.until_ms):
        return
    del world.schedule.pending_syncs[call.sidecar]
    world.schedule.reported_results.pop(call.sidecar, None)
    for _, task in starts.get(incarnation, ()):
        task.start_sent_ms = now_ms
        if task.reported_ms is None:
            task.reported_ms = now_ms
    for _, task in stops.get(incarnation, ()):
        task.stop_sent_ms = now_ms
    for orphan in orphans:
        orphan.stop_sent_ms = now_ms
    world.outbox.put(
        _make_reply(world, call, incarnation, starts, stops, orphans, committed_end)
    )


def _redirect_all(world: BatchWorld) -> None:
    """Redirect all waiting sidecars to the holder of the lease."""
    for pending in world.schedule.pending_syncs.values():
        world.outbox.put(make_redirect(world, pending.call.exchange_id))
    _forget_pending_syncs(world)


def _extend_all(world: BatchWorld) -> None:
    """Answer all waiting sidecars with the extension of their minions' leases."""
    schedule = world.schedule
    for pending in schedule.pending_syncs.values():
        minion = schedule.minions.get(pending.call.sidecar)
        reply = SyncReply(
            pending.call.exchange_id,
            schedule.term,
            incarnation=minion.incarnation if minion else None,
            entries=tuple(entry.address for entry in world.agreed.entries),
            members_end=world.agreed.views[Stream.MEMBERS].end,
            only_extends=True,
        )
        world.tally.add("extensions_without_orders")
        world.outbox.put(reply)
    _forget_pending_syncs(world)


def _forget_pending_syncs(world: BatchWorld) -> None:
    world.schedule.pending_syncs.clear()
    world.schedule.reported_results.clear()
    world.schedule.sync_ends.clear()


def _due_orphan_stops(world: BatchWorld, sidecar: str, now_ms: int) -> list[OrphanRun]:
    orphans = world.schedule.orphans.get(sidecar)
    if not orphans:
        return []
    return [
        orphan for orphan in orphans.values() if _is_due(orphan.stop_sent_ms, now_ms)
    ]


def _collect_orders(
    world: BatchWorld, now_ms: int
) -> tuple[OrdersByIncarnation, OrdersByIncarnation]:
    """Return the runs to start and to stop, by minion incarnation.

    A start is due only once the plan that placed the run is in the log. Removes the
    runs that need no order any more from the pending runs.
    """
    starts: OrdersByIncarnation = {}
    stops: OrdersByIncarnation = {}
    pending_runs = world.schedule.pending_runs
    for name, (plan, task) in list(pending_runs.items()):
        needs_no_order = task.confirmed and not task.stopping
        if task.phase is not TaskPhase.PLACED or needs_no_order:
            del pending_runs[name]
        elif task.stopping:
            _add_due_order(world, stops, plan, task, task.stop_sent_ms, now_ms)
        elif plan.committed_version >= task.plan_version:
            _add_due_order(world, starts, plan, task, task.start_sent_ms, now_ms)
    return starts, stops


def _add_due_order(
    world: BatchWorld,
    orders: OrdersByIncarnation,
    plan: Plan,
    task: Task,
    sent_ms: int | None,
    now_ms: int,
) -> None:
    if _is_due(sent_ms, now_ms):
        orders.setdefault(task.incarnation, []).append((plan, task))
    else:
        world.deadlines.add(sent_ms + RESEND_MS)


def _is_due(sent_ms: int | None, now_ms: int) -> bool:
    return sent_ms is None or now_ms - sent_ms >= RESEND_MS


def _make_reply(
    world: BatchWorld,
    call: SyncCall,
    incarnation: MinionIncarnation | None,
    starts: OrdersByIncarnation,
    stops: OrdersByIncarnation,
    orphans: list[OrphanRun],
    committed_end: int,
) -> SyncReply:
    schedule = world.schedule
    return SyncReply(
        call.exchange_id,
        schedule.term,
        incarnation=incarnation,
        starts=tuple(
            StartOrder(task.name, task.run, plan.job.spec, task.checkpoint)
            for plan, task in starts.get(incarnation, ())
        ),
        stops=tuple(
            [StopOrder(task.name, task.run) for _, task in stops.get(incarnation, ())]
            + [StopOrder(orphan.run.task, orphan.run.run) for orphan in orphans]
        ),
        settled=tuple(StopOrder(run.task, run.run) for run in call.refused),
        noted=committed_end,
        entries=tuple(entry.address for entry in world.agreed.entries),
        members_end=world.agreed.views[Stream.MEMBERS].end,
    )


def _last_committed_end(world: BatchWorld, call: SyncCall) -> int:
    """Return the number up to which all reported ends are in the log; 0 if none."""
    reported_ends = world.schedule.reported_ends.get(call.sidecar, {})
    last_number = 0
    for ended in sorted(call.ended, key=lambda ended: ended.number):
        if ended.number not in reported_ends:
            break
        job_id, version = reported_ends[ended.number]
        plan = world.schedule.plans.get(job_id)
        if plan is not None and plan.committed_version < version:
            break
        last_number = ended.number
    return last_number
