"""Adoption of jobs: their plans follow what the log's records have changed."""

from kingcuppost.batch.systems.plans import adopt_job
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.term_opening import is_scheduling
from kingcuppost.batch.systems.tick_budget import TickBudget
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role

__all__ = ["adopt_jobs"]


@system(Phase.INTAKE, (Role.ENTRY,), order=80)
def adopt_jobs(world: BatchWorld, now_ms: int) -> None:
    """Update the plans of jobs that log records have changed.

    What takes longer than one tick may is left to the next one.
    """
    schedule = world.schedule
    if not is_scheduling(world):
        return
    budget = TickBudget(world.clock)
    for job_id in list(schedule.changed_jobs):
        if budget.is_spent():
            world.deadlines.add(now_ms)
            return
        del schedule.changed_jobs[job_id]
        adopt_job(world, job_id)
