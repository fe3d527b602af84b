"""Replies to sidecars' reports: runs to start and stop, and committed run ends."""

from kingcuppost.batch.systems.lease import has_authority, make_redirect
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.term_opening import is_scheduling
from kingcuppost.batch.tables.job import Life, Plan, Task, TaskPhase
from kingcuppost.batch.tables.messages import (
    StartOrder,
    StopOrder,
    SyncCall,
    SyncReply,
)
from kingcuppost.batch.tables.world import BatchWorld, HeldSync, Stray
from kingcuppost.tables.identity import Role

__all__ = ["reply_to_sidecars"]

RESEND_MS = 700


OrdersByIncarnation = dict[Life, list[tuple[Plan, Task]]]


@system(Phase.REPORT, (Role.ENTRY,), order=20)
def reply_to_sidecars(world: BatchWorld, now_ms: int) -> None:
    """Answer the pending reports that have orders or whose wait is over."""
    schedule = world.schedule
    if not is_scheduling(world) or not has_authority(world, now_ms):
        _redirect_all(world)
        return
    world.deadlines.add(schedule.authority_until_ms)
    if not schedule.syncs:
        return
    starts, stops = _collect_orders(world, now_ms)
    for pending in list(schedule.syncs.values()):
        _reply_to_report(world, pending, starts, stops, now_ms)


def _reply_to_report(
    world: BatchWorld,
    pending: HeldSync,
    starts: OrdersByIncarnation,
    stops: OrdersByIncarnation,
    now_ms: int,
) -> None:
    """Answer a pending report if it has orders or results, or if its wait is over."""
    call = pending.call
    row = world.schedule.minions.get(call.sidecar)
    life = row.life if row else None
    strays = _due_orphan_stops(world, call.sidecar, now_ms)
    noted = _last_committed_end(world, call) if call.ended else 0
    has_orders = life in starts or life in stops or bool(strays)
    if not (has_orders or noted or call.refused or now_ms >= pending.until_ms):
        return
    del world.schedule.syncs[call.sidecar]
    for _, task in starts.get(life, ()):
        task.sent_ms = now_ms
    for _, task in stops.get(life, ()):
        task.stop_sent_ms = now_ms
    for orphan in strays:
        orphan.sent_ms = now_ms
    world.outbox.put(_make_reply(world, call, life, starts, stops, strays, noted))


def _redirect_all(world: BatchWorld) -> None:
    """Redirect all waiting sidecars to the holder of the lease."""
    for pending in world.schedule.syncs.values():
        world.outbox.put(make_redirect(world, pending.call.exchange_id))
    world.schedule.syncs.clear()


def _due_orphan_stops(world: BatchWorld, sidecar: str, now_ms: int) -> list[Stray]:
    strays = world.schedule.strays.get(sidecar)
    if not strays:
        return []
    return [orphan for orphan in strays.values() if _is_due(orphan.sent_ms, now_ms)]


def _collect_orders(
    world: BatchWorld, now_ms: int
) -> tuple[OrdersByIncarnation, OrdersByIncarnation]:
    """Return the runs to start and to stop, by minion incarnation."""
    starts: OrdersByIncarnation = {}
    stops: OrdersByIncarnation = {}
    unsettled = world.schedule.unsettled
    for name, (plan, task) in list(unsettled.items()):
        is_settled = task.confirmed and not task.stopping
        if task.phase is not TaskPhase.PLACED or is_settled:
            del unsettled[name]
        elif task.stopping:
            _add_due_order(world, stops, plan, task, task.stop_sent_ms, now_ms)
        elif plan.committed >= task.version:
            _add_due_order(world, starts, plan, task, task.sent_ms, now_ms)
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
        orders.setdefault(task.life, []).append((plan, task))
    else:
        world.deadlines.add(sent_ms + RESEND_MS)


def _is_due(sent_ms: int | None, now_ms: int) -> bool:
    return sent_ms is None or now_ms - sent_ms >= RESEND_MS


def _make_reply(
    world: BatchWorld,
    call: SyncCall,
    life: Life | None,
    starts: OrdersByIncarnation,
    stops: OrdersByIncarnation,
    strays: list[Stray],
    noted: int,
) -> SyncReply:
    schedule = world.schedule
    return SyncReply(
        call.exchange_id,
        schedule.term,
        life=life,
        starts=tuple(
            StartOrder(task.name, task.run, plan.job.spec, task.saved)
            for plan, task in starts.get(life, ())
        ),
        stops=tuple(
            [StopOrder(task.name, task.run) for _, task in stops.get(life, ())]
            + [StopOrder(orphan.run.task, orphan.run.run) for orphan in strays]
        ),
        settled=tuple(StopOrder(run.task, run.run) for run in call.refused),
        noted=noted,
        entries=tuple(entry.address for entry in world.agreed.entries),
    )


def _last_committed_end(world: BatchWorld, call: SyncCall) -> int:
    """Return the number up to which all reported ends are in the log; 0 if none."""
    known = world.schedule.ends.get(call.sidecar, {})
    noted = 0
    for ended in sorted(call.ended, key=lambda row: row.number):
        if ended.number not in known:
            break
        job_id, version = known[ended.number]
        plan = world.schedule.plans.get(job_id)
        if plan is not None and plan.committed < version:
            break
        noted = ended.number
    return noted
