"""Placement units: groups of ready tasks, ranked by urgency."""

from collections.abc import Iterable, Iterator
from itertools import chain

from kingcuppost.batch.systems.placement import add_resources
from kingcuppost.batch.systems.timeliness import assess_timeliness, target_end_ms
from kingcuppost.batch.tables.decision import (
    URGENT_PRIORITY,
    DecisionRound,
    PlacementUnit,
)
from kingcuppost.batch.tables.job import StepSpec, TaskPhase
from kingcuppost.batch.tables.plan import Plan, PlanPhase
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.world import BatchWorld

__all__ = [
    "find_guaranteed_jobs",
    "list_plan_units",
    "service_capacity",
    "task_core_equivalents",
    "urgency_rank",
]

MILLIS_PER_CORE = 1_000
CORES_PER_ACCELERATOR = 8


def task_core_equivalents(step: StepSpec) -> float:
    """Return the weight of a task as a number of cores, accelerators included."""
    return step.cpu_millis / MILLIS_PER_CORE + CORES_PER_ACCELERATOR * step.accelerators


def find_guaranteed_jobs(world: BatchWorld, others: Iterable[Plan] = ()) -> set[str]:
    """Return the identifiers of urgent jobs that fit their team's guarantee.

    Older jobs take precedence.

    Parameters
    ----------
    others : iterable of Plan, optional
        Plans that are in no table, and are regarded as well.
    """
    configuration = world.agreed.configuration
    if configuration is None:
        return set()
    unclaimed = {team.name: team.guaranteed for team in configuration.teams.values()}
    guaranteed_ids = set()
    urgent = [
        plan
        for plan in chain(world.schedule.plans.values(), others)
        if plan.job.policy.priority == URGENT_PRIORITY
        and plan.phase is not PlanPhase.OVER
    ]
    for plan in sorted(urgent, key=lambda plan: plan.job.accepted_ms):
        if unclaimed.get(plan.job.team, 0) >= plan.widest_accelerators:
            unclaimed[plan.job.team] -= plan.widest_accelerators
            guaranteed_ids.add(plan.job.id)
    return guaranteed_ids


def urgency_rank(plan: Plan, guaranteed_ids: set[str]) -> int:
    """Return the urgency of a job; 0 is the most urgent."""
    if plan.job.id in guaranteed_ids:
        return 0
    return plan.job.policy.priority + 1


def list_plan_units(
    world: BatchWorld, round_: DecisionRound, plan: Plan, wall_ms: int
) -> list[PlacementUnit]:
    """Return the placement units of a plan, in the order of its steps.

    Parameters
    ----------
    round_ : DecisionRound
        Decision that the units are for.
    wall_ms : int
        Current Unix time, in ms.
    """
    if plan.phase is not PlanPhase.OPEN or not plan.ready_steps:
        return []
    service = plan.job.policy.service
    if service not in round_.capacities:
        round_.capacities[service] = service_capacity(world, service)
    capacity = round_.capacities[service]
    units = list(_iter_units(plan, urgency_rank(plan, round_.guaranteed_ids)))
    end_ms = target_end_ms(plan, capacity)
    for unit in units:
        unit.timeliness = assess_timeliness(plan, unit.step, capacity, wall_ms)
        unit.target_end_ms = end_ms
    return units


def service_capacity(world: BatchWorld, service: str) -> Resources:
    """Return the capacity of all minions of a service, or of all if it is empty."""
    total = Resources()
    for minion in world.schedule.minions:
        if service in ("", minion.service):
            add_resources(total, minion.resources)
    return total


def _iter_units(plan: Plan, rank: int) -> Iterator[PlacementUnit]:
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
