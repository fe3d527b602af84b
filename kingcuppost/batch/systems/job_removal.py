"""Removal of ended jobs after their retention period."""

from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.task_phases import remove_plan
from kingcuppost.batch.systems.term_opening import is_scheduling
from kingcuppost.batch.tables.plan import PlanPhase
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role

__all__ = ["remove_ended_jobs"]

REMOVAL_PERIOD_MS = 5_000
RETENTION_MARGIN_MS = 60_000


@system(Phase.DECIDE, (Role.ENTRY,), order=10)
def remove_ended_jobs(world: BatchWorld, now_ms: int) -> None:
    """Mark the jobs whose retention period is over for removal from the log.

    The period begins when this process finds that a job is over and its plan is in the
    log. After it nobody requests the state of the job any more.
    """
    schedule = world.schedule
    if not is_scheduling(world) or now_ms < schedule.remove_jobs_at_ms:
        return
    schedule.remove_jobs_at_ms = now_ms + REMOVAL_PERIOD_MS
    retention_ms = world.cfg.bounds.status_ms + RETENTION_MARGIN_MS
    for job_id, plan in list(schedule.plans.items()):
        if plan.phase is not PlanPhase.OVER or plan.committed_version < plan.version:
            continue
        if plan.over_ms is None:
            plan.over_ms = now_ms
        elif now_ms - plan.over_ms > retention_ms:
            remove_plan(schedule, job_id)
            schedule.unwritten_jobs.pop(job_id, None)
            schedule.removals[job_id] = None
