"""Placement of one unit: on free capacity, or on that of runs that it preempts.

Designed for loads in which urgent gangs arrive while all minions run overnight work,
wide steps must not starve, and a quarter of the minions work at half the speed.
"""

from math import inf

from kingcuppost.batch.systems.candidate_order import make_sort_key, preferred_groups
from kingcuppost.batch.systems.candidates import (
    exclude_avoided,
    fast_candidates,
    find_soon_free,
)
from kingcuppost.batch.systems.decision import (
    Decision,
    carry_out,
    outcome_appliers,
)
from kingcuppost.batch.systems.departures.rollouts import defer_for_rollout
from kingcuppost.batch.systems.placement import (
    choose_candidates,
    fits_idle,
    reserve_capacity,
    subtract_tasks,
)
from kingcuppost.batch.systems.plans import mark_unwritten, place_task
from kingcuppost.batch.systems.preemption import preempt_for_unit
from kingcuppost.batch.systems.preference_waits import (
    waits_for_other_minions,
    waits_for_rack,
)
from kingcuppost.batch.systems.units import task_core_equivalents
from kingcuppost.batch.tables.decision import Candidate, PlacementUnit, TaskPlacements
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["place_tasks", "schedule_unit"]

MS_PER_SECOND = 1_000
MAX_LOSS_RATIO = 0.7  # of the work of the task that preempts


def schedule_unit(
    decision: Decision,
    unit: PlacementUnit,
    eligible: list[Candidate],
) -> None:
    """Place a unit on minions where it has not failed, or else on any eligible one.

    A faulty minion must not use up the attempts of a task only because the other
    minions are full. The unit therefore waits for the other minions for a while,
    provided that it would fit on them if they were idle.
    """
    preferred = exclude_avoided(unit, eligible)
    if _schedule_unit_at(decision, unit, preferred) or len(preferred) == len(eligible):
        return
    if fits_idle(unit.spec, preferred) and waits_for_other_minions(
        decision, unit, eligible
    ):
        return
    _schedule_unit_at(decision, unit, eligible)


def _schedule_unit_at(
    decision: Decision, unit: PlacementUnit, candidates: list[Candidate]
) -> bool:
    """Place a unit in racks where it runs fast, or in any once that wait is over.

    Preempts runs if it may. Units within their team's guarantee do not wait for a rack.

    Returns
    -------
    bool
        Whether no task is left over.
    """
    groups = preferred_groups(unit, candidates)
    if _schedule_in_groups(decision, unit, candidates, groups or [candidates]):
        return True
    if not groups:
        return False
    if not unit.is_guaranteed and waits_for_rack(decision, unit, groups, candidates):
        return False
    if _place_unit(decision, unit, [candidates]):
        return True
    return unit.is_guaranteed and preempt_for_unit(decision, unit, [candidates])


def _schedule_in_groups(
    decision: Decision,
    unit: PlacementUnit,
    candidates: list[Candidate],
    groups: list[list[Candidate]],
) -> bool:
    """Place a unit or preempt runs for it; return whether no task is left over.

    Urgent units prefer fast minions. As long as their job's result is of use, they
    preempt runs there if the lost work is below `MAX_LOSS_RATIO` of their own. Only
    units within their team's guarantee may preempt at any cost. Before other urgent
    units preempt, they wait for capacity that is about to be released.
    """
    if not unit.may_preempt:
        return _place_unit(decision, unit, groups)
    fast = fast_candidates(candidates)
    fast_groups = preferred_groups(unit, fast) or [fast]
    if _place_unit(decision, unit, fast_groups):
        return True
    if not unit.is_guaranteed and _reserve_soon_free(decision, unit, fast_groups):
        return True
    max_cost_core_s = MAX_LOSS_RATIO * _task_work_core_s(unit)
    if preempt_for_unit(decision, unit, fast_groups, max_cost_core_s):
        return True
    if _place_unit(decision, unit, groups):
        return True
    if unit.is_guaranteed:
        max_cost_core_s = inf
    return preempt_for_unit(decision, unit, groups, max_cost_core_s)


def _task_work_core_s(unit: PlacementUnit) -> float:
    """Return the estimated work of one task of a unit, in core-seconds."""
    return task_core_equivalents(unit.spec) * unit.spec.estimate_ms / MS_PER_SECOND


def _reserve_soon_free(
    decision: Decision, unit: PlacementUnit, groups: list[list[Candidate]]
) -> bool:
    """Reserve for the tasks of a unit the capacity that is about to be released.

    Returns
    -------
    bool
        Whether the capacity suffices for all tasks.
    """
    for group in groups:
        for candidate in group:
            find_soon_free(decision, candidate)
        sort_key = make_sort_key(unit)
        chosen = choose_candidates(
            group, unit.spec, len(unit.tasks), sort_key, use_soon_free=True
        )
        if unit.spec.gang and len(chosen) < len(unit.tasks):
            continue
        for candidate in chosen:
            subtract_tasks(candidate.free_soon, unit.spec)
        unit.tasks = unit.tasks[len(chosen) :]
    return not unit.tasks


def _place_unit(
    decision: Decision, unit: PlacementUnit, groups: list[list[Candidate]]
) -> bool:
    """Place the tasks that fit; return whether these are all tasks of the unit.

    A gang is not placed where it would probably be lost in a rollout.
    """
    for group in groups:
        chosen = choose_candidates(
            group, unit.spec, len(unit.tasks), make_sort_key(unit)
        )
        is_whole = len(chosen) == len(unit.tasks)
        if is_whole and defer_for_rollout(decision, unit, chosen, group):
            continue
        if is_whole or (chosen and not unit.spec.gang):
            place_tasks(decision, unit, chosen)
            if is_whole:
                return True
            unit.tasks = unit.tasks[len(chosen) :]
    return False


def place_tasks(
    decision: Decision, unit: PlacementUnit, chosen: list[Candidate]
) -> None:
    """Place one task of a unit on each chosen candidate."""
    carry_out(decision, TaskPlacements(unit, unit.tasks[: len(chosen)], chosen))
    for candidate in chosen:
        reserve_capacity(candidate, unit.spec)
        candidate.step_task_count += 1
        candidate.rack_free_accelerators[0] -= unit.spec.accelerators


@outcome_appliers.register(TaskPlacements)
def apply_placements(world: BatchWorld, outcome: TaskPlacements) -> None:
    """Place tasks of a unit on the minions that were chosen for them."""
    unit, plan = outcome.unit, outcome.unit.plan
    gang_run = 1 + max(task.run for task in outcome.tasks)
    mark_unwritten(world, plan)  # a placement is no reason for another decision
    configuration = world.agreed.configuration
    for task, candidate in zip(outcome.tasks, outcome.candidates, strict=True):
        run = gang_run if unit.spec.gang else task.run + 1
        place_task(world, plan, task, run, candidate.minion)
        world.note(
            "place",
            "A run is placed.",
            task=str(task.name),
            run=run,
            minion=candidate.minion.incarnation.minion,
            rack=candidate.minion.rack,
            rank=unit.rank,
            speed=round(candidate.minion.speed.value, 2),
            version=configuration.version if configuration else -1,
        )
