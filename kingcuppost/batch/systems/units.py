"""Units: tasks whose turn has come, and how urgent they are."""

from collections.abc import Iterator
from dataclasses import dataclass

from kingcuppost.batch.tables.job import Plan, PlanState, StepSpec, Task, TaskPhase
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["URGENT", "Unit", "covered_jobs", "rank_of", "task_weight", "units_of"]

URGENT = 0
MILLIS = 1_000
CORES_PER_ACCELERATOR = 8


@dataclass(slots=True)
class Unit:
    """Tasks that are placed together: a gang, or what waits of a step.

    Attributes
    ----------
    tasks : list of Task
        What is not yet cared for; grows shorter as room is found or made.
    rank : int
        0 for urgent work within its team's guarantee, 1 for other urgent work, then
        one more than the priority.
    """

    plan: Plan
    step: int
    spec: StepSpec
    tasks: list[Task]
    rank: int

    @property
    def is_urgent(self) -> bool:
        """Return whether the unit may stop other work."""
        return self.plan.job.policy.priority == URGENT

    @property
    def is_covered(self) -> bool:
        """Return whether the team's guarantee covers the unit."""
        return self.rank == 0

    @property
    def is_last_try(self) -> bool:
        """Return whether another failure would end the job."""
        return any(
            task.failures and task.failures + 1 >= self.plan.job.policy.most_failures
            for task in self.tasks
        )


def task_weight(step: StepSpec) -> float:
    """Return how many cores a task counts as."""
    return step.cpu_millis / MILLIS + CORES_PER_ACCELERATOR * step.accelerators


def covered_jobs(world: BatchWorld) -> set[str]:
    """Return the urgent jobs that their team's guarantee covers, oldest first."""
    configuration = world.agreed.configuration
    if configuration is None:
        return set()
    left = {team.name: team.guaranteed for team in configuration.teams.values()}
    covered = set()
    urgent = [
        plan
        for plan in world.schedule.plans.values()
        if plan.job.policy.priority == URGENT and plan.phase is not PlanState.OVER
    ]
    for plan in sorted(urgent, key=lambda plan: plan.job.accepted_ms):
        needed = max(step.count * step.accelerators for step in plan.job.steps)
        if left.get(plan.job.team, 0) >= needed:
            left[plan.job.team] -= needed
            covered.add(plan.job.id)
    return covered


def rank_of(plan: Plan, covered: set[str]) -> int:
    """Return how urgent a job is; 0 comes first."""
    if plan.job.id in covered:
        return 0
    return plan.job.policy.priority + 1


def units_of(world: BatchWorld, covered: set[str]) -> Iterator[Unit]:
    """Yield the units of all jobs, in no order."""
    for plan in world.schedule.plans.values():
        if plan.phase is PlanState.OPEN:
            yield from _units_of_job(plan, rank_of(plan, covered))


def _units_of_job(plan: Plan, rank: int) -> Iterator[Unit]:
    for index, spec in enumerate(plan.job.steps):
        tasks = plan.tasks[index]
        waiting = [task for task in tasks if task.phase is TaskPhase.WAITING]
        if not waiting or not _is_ready(plan, spec):
            continue
        if spec.gang:
            if len(waiting) == len(tasks):
                yield Unit(plan, index, spec, waiting, rank)
            continue
        fresh = [task for task in waiting if not task.avoided_minions]
        if fresh:
            yield Unit(plan, index, spec, fresh, rank)
        for task in waiting:
            if task.avoided_minions:
                yield Unit(plan, index, spec, [task], rank)


def _is_ready(plan: Plan, spec: StepSpec) -> bool:
    """Return whether all steps that a step needs are done."""
    return all(
        task.phase is TaskPhase.DONE
        for needed in spec.needs
        for task in plan.tasks[needed]
    )
