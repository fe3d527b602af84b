"""Removing jobs that ended so long ago that nobody asks for them any more."""

from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.term import is_scheduling
from kingcuppost.batch.tables.job import PlanState
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role

__all__ = ["remove_ended_jobs"]

PERIOD_MS = 5_000
MARGIN_MS = 60_000


@system(Phase.DECIDE, (Role.ENTRY,), order=10)
def remove_ended_jobs(world: BatchWorld, now_ms: int) -> None:
    """Ask for the removal of jobs whose state was kept for long enough."""
    schedule = world.schedule
    if not is_scheduling(world) or now_ms < schedule.prune_at_ms:
        return
    schedule.prune_at_ms = now_ms + PERIOD_MS
    kept_ms = world.cfg.bounds.status_ms + MARGIN_MS
    for job_id, plan in list(schedule.plans.items()):
        if plan.phase is not PlanState.OVER or plan.committed < plan.version:
            continue
        if plan.over_ms is None:
            plan.over_ms = now_ms
        elif now_ms - plan.over_ms > kept_ms:
            del schedule.plans[job_id]
            schedule.dirty.pop(job_id, None)
            schedule.removals[job_id] = None
