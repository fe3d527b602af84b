"""Orders for sidecars: what they are to start and stop, and which ends are kept."""

from kingcuppost.batch.systems.lease import has_authority
from kingcuppost.batch.systems.plans import all_tasks
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.term import is_scheduling
from kingcuppost.batch.tables.job import Life, Plan, PlanState, Task, TaskPhase
from kingcuppost.batch.tables.messages import (
    StartOrder,
    StopOrder,
    SyncCall,
    SyncReply,
)
from kingcuppost.batch.tables.world import BatchWorld, Stray
from kingcuppost.tables.identity import Role

__all__ = ["answer_sidecars"]

AGAIN_MS = 700


@system(Phase.REPORT, (Role.ENTRY,))
def answer_sidecars(world: BatchWorld, now_ms: int) -> None:
    """Answer the reports that have orders or whose wait is over."""
    schedule = world.schedule
    if not is_scheduling(world) or not has_authority(world, now_ms):
        _release_all(world)
        return
    world.deadlines.add(schedule.authority_until_ms)
    if not schedule.syncs:
        return
    starts, stops = _collect(world, now_ms)
    for sidecar, held in list(schedule.syncs.items()):
        row = schedule.minions.get(sidecar)
        life = row.life if row else None
        strays = _due_strays(world, sidecar, now_ms)
        reply = _reply(world, held.call, life, starts, stops, strays)
        is_news = (
            reply.starts or reply.stops or reply.settled or _has_news(held.call, reply)
        )
        if not is_news and now_ms < held.until_ms:
            continue
        del schedule.syncs[sidecar]
        _mark_sent(starts.get(life, ()), now_ms)
        _mark_stopped(stops.get(life, ()), now_ms)
        for stray in strays:
            stray.sent_ms = now_ms
        world.outbox.put(reply)


def _release_all(world: BatchWorld) -> None:
    """Send waiting sidecars to the new holder."""
    holder = world.agreed.holder
    is_other = holder.incarnation != world.incarnation and not holder.released
    address = holder.address if is_other else None
    entries = tuple(entry.address for entry in world.agreed.entries)
    for held in world.schedule.syncs.values():
        reply = SyncReply(held.call.exchange_id, -1, address, entries=entries)
        world.outbox.put(reply)
    world.schedule.syncs.clear()


def _due_strays(world: BatchWorld, sidecar: str, now_ms: int) -> list[Stray]:
    strays = world.schedule.strays.get(sidecar, {})
    return [stray for stray in strays.values() if _is_due(stray.sent_ms, now_ms)]


Orders = dict[Life, list[tuple[Plan, Task]]]


def _collect(world: BatchWorld, now_ms: int) -> tuple[Orders, Orders]:
    """Return what is to be started and stopped, by life."""
    starts: Orders = {}
    stops: Orders = {}
    for plan in world.schedule.plans.values():
        if plan.phase is PlanState.OVER:
            continue
        for task in all_tasks(plan):
            if task.phase is not TaskPhase.PLACED:
                continue
            if task.stopping:
                if _is_due(task.stop_sent_ms, now_ms):
                    stops.setdefault(task.life, []).append((plan, task))
            elif _may_start(plan, task, now_ms):
                starts.setdefault(task.life, []).append((plan, task))
            if not task.confirmed or task.stopping:
                world.deadlines.add(now_ms + AGAIN_MS)
    return starts, stops


def _is_due(sent_ms: int | None, now_ms: int) -> bool:
    return sent_ms is None or now_ms - sent_ms >= AGAIN_MS


def _may_start(plan: Plan, task: Task, now_ms: int) -> bool:
    """Return whether a run is in the log and its start is due."""
    if task.confirmed or plan.committed < task.version:
        return False
    return _is_due(task.sent_ms, now_ms)


def _reply(
    world: BatchWorld,
    call: SyncCall,
    life: Life | None,
    starts: Orders,
    stops: Orders,
    strays: list[Stray],
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
            + [StopOrder(stray.run.task, stray.run.run) for stray in strays]
        ),
        settled=tuple(StopOrder(run.task, run.run) for run in call.refused),
        noted=_noted(world, call),
        entries=tuple(entry.address for entry in world.agreed.entries),
    )


def _noted(world: BatchWorld, call: SyncCall) -> int:
    """Return up to which number the reported ends are in the log."""
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


def _has_news(call: SyncCall, reply: SyncReply) -> bool:
    return bool(call.ended) and reply.noted >= min(row.number for row in call.ended)


def _mark_sent(rows: list[tuple[Plan, Task]], now_ms: int) -> None:
    for _, task in rows:
        task.sent_ms = now_ms


def _mark_stopped(rows: list[tuple[Plan, Task]], now_ms: int) -> None:
    for _, task in rows:
        task.stop_sent_ms = now_ms
