"""Placement units: groups of ready tasks, ranked by urgency."""

from collections.abc import Iterator
from dataclasses import dataclass

from kingcuppost.batch.systems.placement import add_resources
from kingcuppost.batch.systems.timeliness import (
    Timeliness,
    assess_timeliness,
    target_end_ms,
)
from kingcuppost.batch.tables.fleet import Resources
from kingcuppost.batch.tables.job import StepSpec, TaskPhase
from kingcuppost.batch.tables.plan import Plan, PlanPhase, Task
from kingcuppost.batch.tables.world import BatchWorld

__all__ = [
    "URGENT_PRIORITY",
    "PlacementUnit",
    "find_guaranteed_jobs",
    "iter_units",
    "service_capacity",
    "task_core_equivalents",
    "urgency_rank",
]

URGENT_PRIORITY = 0
MILLIS_PER_CORE = 1_000
CORES_PER_ACCELERATOR = 8


@dataclass(slots=True)
class PlacementUnit:
    """Tasks that are scheduled together: a gang, or waiting tasks of a step.

    Attributes
    ----------
    plan : Plan
        Plan of the job.
    step : int
        Index of the step in the job.
    spec : StepSpec
        Requirements of the step's tasks.
    tasks : list of Task
        Tasks without capacity so far; shrinks during the decision.
    rank : int
        0 for urgent work within its team's guarantee, else one more than the
        priority, so 1 for other urgent work.
    timeliness : Timeliness
        What the job can still reach if the tasks start now.
    target_end_ms : float
        Unix time by which the job should end, in ms.
    """

    plan: Plan
    step: int
    spec: StepSpec
    tasks: list[Task]
    rank: int
    timeliness: Timeliness = Timeliness.IN_TIME
    target_end_ms: float = 0.0

    @property
    def is_urgent(self) -> bool:
        """Return whether the unit prefers fast minions to nearly full ones."""
        return self.plan.job.policy.priority == URGENT_PRIORITY

    @property
    def may_preempt(self) -> bool:
        """Return whether the unit may preempt other runs.

        A job whose result is of no use any more may not, unless it is guaranteed.
        """
        is_of_use = self.timeliness is not Timeliness.TOO_LATE
        return self.is_urgent and (self.is_guaranteed or is_of_use)

    @property
    def is_guaranteed(self) -> bool:
        """Return whether the team's guarantee covers the unit."""
        return self.rank == 0

    @property
    def is_last_attempt(self) -> bool:
        """Return whether a task has failed and another failure would end the job."""
        return any(
            task.failures and task.failures + 1 >= self.plan.job.policy.most_failures
            for task in self.tasks
        )


def task_core_equivalents(step: StepSpec) -> float:
    """Return the weight of a task as a number of cores, accelerators included."""
    return step.cpu_millis / MILLIS_PER_CORE + CORES_PER_ACCELERATOR * step.accelerators


def find_guaranteed_jobs(world: BatchWorld) -> set[str]:
    """Return the identifiers of urgent jobs that fit their team's guarantee.

    Older jobs take precedence.
    """
    configuration = world.agreed.configuration
    if configuration is None:
        return set()
    unclaimed = {team.name: team.guaranteed for team in configuration.teams.values()}
    guaranteed_ids = set()
    urgent = [
        plan
        for plan in world.schedule.plans.values()
        if plan.job.policy.priority == URGENT_PRIORITY
        and plan.phase is not PlanPhase.OVER
    ]
    for plan in sorted(urgent, key=lambda plan: plan.job.accepted_ms):
        needed = max(step.count * step.accelerators for step in plan.job.steps)
        if unclaimed.get(plan.job.team, 0) >= needed:
            unclaimed[plan.job.team] -= needed
            guaranteed_ids.add(plan.job.id)
    return guaranteed_ids


def urgency_rank(plan: Plan, guaranteed_ids: set[str]) -> int:
    """Return the urgency of a job; 0 is the most urgent."""
    if plan.job.id in guaranteed_ids:
        return 0
    return plan.job.policy.priority + 1


def iter_units(world: BatchWorld, guaranteed_ids: set[str]) -> Iterator[PlacementUnit]:
    """Yield the placement units of all open jobs, in no particular order."""
    capacities: dict[str, Resources] = {}
    wall_ms = world.clock.wall_ms()
    for plan in world.schedule.plans.values():
        if plan.phase is not PlanPhase.OPEN or not plan.phase_counts[TaskPhase.WAITING]:
            continue
        service = plan.job.policy.service
        if service not in capacities:
            capacities[service] = service_capacity(world, service)
        capacity = capacities[service]
        for unit in _iter_job_units(plan, urgency_rank(plan, guaranteed_ids)):
            unit.timeliness = assess_timeliness(plan, unit.step, capacity, wall_ms)
            unit.target_end_ms = target_end_ms(plan, capacity)
            yield unit


def service_capacity(world: BatchWorld, service: str) -> Resources:
    """Return the capacity of all minions of a service, or of all if it is empty."""
    total = Resources()
    for minion in world.schedule.minions:
        if service in ("", minion.service):
            add_resources(total, minion.resources)
    return total


def _iter_job_units(plan: Plan, rank: int) -> Iterator[PlacementUnit]:
    """Yield the placement units of a job.

    A gang is ready only once all its members wait. A task that avoids minions is a
    unit of its own, since the others may run there.
    """
    for index in sorted(plan.ready_steps):
        spec, tasks = plan.job.steps[index], plan.tasks[index]
        waiting = [task for task in tasks if task.phase is TaskPhase.WAITING]
        if spec.gang:
            if len(waiting) == len(tasks):
                yield PlacementUnit(plan, index, spec, waiting, rank)
            continue
        unrestricted = [task for task in waiting if not task.avoided_minions]
        if unrestricted:
            yield PlacementUnit(plan, index, spec, unrestricted, rank)
        for task in waiting:
            if task.avoided_minions:
                yield PlacementUnit(plan, index, spec, [task], rank)
