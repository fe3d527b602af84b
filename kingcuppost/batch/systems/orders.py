"""Orders for sidecars: what they are to start and stop, and which ends are kept."""

from kingcuppost.batch.systems.holder_election import has_authority, refer
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.term import is_scheduling
from kingcuppost.batch.tables.job import MinionIncarnation, Plan, Task, TaskPhase
from kingcuppost.batch.tables.messages import (
    StartOrder,
    StopOrder,
    SyncCall,
    SyncReply,
)
from kingcuppost.batch.tables.world import BatchWorld, OrphanRun, PendingSync
from kingcuppost.tables.identity import Role

__all__ = ["answer_sidecars"]

AGAIN_MS = 700


Orders = dict[MinionIncarnation, list[tuple[Plan, Task]]]


@system(Phase.REPORT, (Role.ENTRY,), order=20)
def answer_sidecars(world: BatchWorld, now_ms: int) -> None:
    """Answer the reports that have orders or whose wait is over."""
    schedule = world.schedule
    if not is_scheduling(world) or not has_authority(world, now_ms):
        _release_all(world)
        return
    world.deadlines.add(schedule.authority_until_ms)
    if not schedule.pending_syncs:
        return
    starts, stops = _collect(world, now_ms)
    for held in list(schedule.pending_syncs.values()):
        _answer(world, held, starts, stops, now_ms)


def _answer(
    world: BatchWorld, held: PendingSync, starts: Orders, stops: Orders, now_ms: int
) -> None:
    """Answer one report if there is anything to say; most ticks say nothing."""
    call = held.call
    row = world.schedule.minions.get(call.sidecar)
    incarnation = row.incarnation if row else None
    orphans = _due_strays(world, call.sidecar, now_ms)
    noted = _noted(world, call) if call.ended else 0
    has_orders = incarnation in starts or incarnation in stops or bool(orphans)
    if not (has_orders or noted or call.refused or now_ms >= held.until_ms):
        return
    del world.schedule.pending_syncs[call.sidecar]
    for _, task in starts.get(incarnation, ()):
        task.sent_ms = now_ms
    for _, task in stops.get(incarnation, ()):
        task.stop_sent_ms = now_ms
    for stray in orphans:
        stray.sent_ms = now_ms
    world.outbox.put(_reply(world, call, incarnation, starts, stops, orphans, noted))


def _release_all(world: BatchWorld) -> None:
    """Send waiting sidecars to the new holder."""
    for held in world.schedule.pending_syncs.values():
        world.outbox.put(refer(world, held.call.exchange_id))
    world.schedule.pending_syncs.clear()


def _due_strays(world: BatchWorld, sidecar: str, now_ms: int) -> list[OrphanRun]:
    orphans = world.schedule.orphans.get(sidecar)
    if not orphans:
        return []
    return [stray for stray in orphans.values() if _is_due(stray.sent_ms, now_ms)]


def _collect(world: BatchWorld, now_ms: int) -> tuple[Orders, Orders]:
    """Return what is to be started and stopped, by life."""
    starts: Orders = {}
    stops: Orders = {}
    pending_runs = world.schedule.pending_runs
    for name, (plan, task) in list(pending_runs.items()):
        is_settled = task.confirmed and not task.stopping
        if task.phase is not TaskPhase.PLACED or is_settled:
            del pending_runs[name]
        elif task.stopping:
            _add_due(world, stops, plan, task, task.stop_sent_ms, now_ms)
        elif plan.committed >= task.version:
            _add_due(world, starts, plan, task, task.sent_ms, now_ms)
    return starts, stops


def _add_due(
    world: BatchWorld,
    orders: Orders,
    plan: Plan,
    task: Task,
    sent_ms: int | None,
    now_ms: int,
) -> None:
    if _is_due(sent_ms, now_ms):
        orders.setdefault(task.incarnation, []).append((plan, task))
    else:
        world.deadlines.add(sent_ms + AGAIN_MS)


def _is_due(sent_ms: int | None, now_ms: int) -> bool:
    return sent_ms is None or now_ms - sent_ms >= AGAIN_MS


def _reply(
    world: BatchWorld,
    call: SyncCall,
    incarnation: MinionIncarnation | None,
    starts: Orders,
    stops: Orders,
    orphans: list[OrphanRun],
    noted: int,
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
            + [StopOrder(stray.run.task, stray.run.run) for stray in orphans]
        ),
        settled=tuple(StopOrder(run.task, run.run) for run in call.refused),
        noted=noted,
        entries=tuple(entry.address for entry in world.agreed.entries),
    )


def _noted(world: BatchWorld, call: SyncCall) -> int:
    """Return up to which number the reported ends are in the log."""
    known = world.schedule.reported_ends.get(call.sidecar, {})
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
