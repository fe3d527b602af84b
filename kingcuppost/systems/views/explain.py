"""What a job ran under: settings, decisions, alternatives."""

from dataclasses import dataclass

from kingcuppost.systems.views.registry import views
from kingcuppost.tables.job import Gang, Job
from kingcuppost.tables.world import World

__all__ = ["JobExplanation"]


@dataclass(frozen=True, slots=True)
class JobExplanation:
    """A job with the gangs that were placed for it, oldest first."""

    job: Job
    gangs: tuple[Gang, ...]


@views.register("explain_job")
def explain_job(world: World, argument: str) -> JobExplanation | None:
    """Return what a job ran under; ended gangs are kept for this."""
    job = world.agreed.jobs.get(argument)
    if job is None:
        return None
    ended = tuple(world.agreed.ended_gangs.find("job", argument))
    running = tuple(world.agreed.gangs.find("job", argument))
    return JobExplanation(job, ended + running)
