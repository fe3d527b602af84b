"""Placement and preemption: assigns ready placement units to minions by urgency.

Designed for loads in which urgent gangs arrive while all minions run overnight work,
wide steps must not starve, and a quarter of the minions work at half the speed.
"""

from itertools import groupby
from math import inf

from kingcuppost.batch.systems.candidate_order import (
    make_sort_key,
    preferred_groups,
)
from kingcuppost.batch.systems.candidates import (
    Decision,
    eligible_candidates,
    exclude_avoided,
    fast_candidates,
    find_soon_free,
    list_candidates,
    request_decision,
)
from kingcuppost.batch.systems.freshness import (
    is_configuration_current,
    view_age_ms,
)
from kingcuppost.batch.systems.placement import (
    Candidate,
    choose_candidates,
    fits_idle,
    subtract_tasks,
)
from kingcuppost.batch.systems.plans import mark_plan_changed, place_task
from kingcuppost.batch.systems.preemption import preempt_for_unit
from kingcuppost.batch.systems.preference_waits import (
    waits_for_other_minions,
    waits_for_rack,
)
from kingcuppost.batch.systems.queue_order import queue_orders
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.reservations import hold_reserved, release_reserved
from kingcuppost.batch.systems.term_opening import is_scheduling
from kingcuppost.batch.systems.units import (
    PlacementUnit,
    find_guaranteed_jobs,
    iter_units,
    task_core_equivalents,
)
from kingcuppost.batch.systems.waits import forget_ended_waits, note_wait
from kingcuppost.batch.tables.messages import Stream
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role
from kingcuppost.utils.clock import NEVER_MS

__all__ = ["schedule_units"]

URGENT_RETRY_MS = 1_000  # the progress of runs alone triggers no decision
MS_PER_SECOND = 1_000
FLEET_QUIET_MS = 100  # without a new minion
MAX_FLEET_SETTLE_MS = 400  # from the begin of a term
MAX_LOSS_RATIO = 0.7  # of the work of the task that preempts


@system(Phase.DECIDE, (Role.ENTRY,), order=20)
def schedule_units(world: BatchWorld, now_ms: int) -> None:
    """Place waiting tasks and preempt other runs for urgent ones.

    Nothing is placed while the operators may have closed a zone unseen. The decision
    stays due, and the next read of their stream triggers a tick.
    """
    schedule = world.schedule
    is_due = schedule.inputs_changed or now_ms >= schedule.decide_at_ms
    if not is_scheduling(world) or not is_due or _is_paused(world, now_ms):
        return
    if _is_fleet_settling(world, now_ms):
        return
    schedule.inputs_changed = False
    schedule.decide_at_ms = NEVER_MS
    decision = Decision(
        world, now_ms, world.clock.wall_ms(), find_guaranteed_jobs(world)
    )
    order_key = queue_orders[world.queue_order]
    units = sorted(
        iter_units(world, decision.guaranteed_ids),
        key=lambda unit: (unit.rank, *order_key(unit, decision.wall_ms)),
    )
    candidates = list_candidates(decision) if units else []
    for _, rank_units in groupby(units, key=lambda unit: unit.rank):
        _schedule_rank(decision, list(rank_units), candidates)
    forget_ended_waits(world, now_ms)


def _schedule_rank(
    decision: Decision, units: list[PlacementUnit], candidates: list[Candidate]
) -> None:
    """Schedule the units of one rank, in order.

    Capacity that is being released for one of them is kept from the others, but not
    from more urgent ranks, which were scheduled before.
    """
    by_incarnation = {
        candidate.minion.incarnation: candidate for candidate in candidates
    }
    reservations = [hold_reserved(decision, unit, by_incarnation) for unit in units]
    for unit, held in zip(units, reservations, strict=True):
        release_reserved(unit, held)
        tasks = unit.tasks
        eligible = eligible_candidates(unit, candidates)
        _schedule_unit(decision, unit, eligible)
        note_wait(decision, unit, tasks, eligible)
        if unit.is_urgent:
            request_decision(decision.world, decision.now_ms + URGENT_RETRY_MS)


def _is_paused(world: BatchWorld, now_ms: int) -> bool:
    """Return whether the operators' records are too old to place by; log changes."""
    schedule = world.schedule
    is_paused = not is_configuration_current(world, now_ms)
    if is_paused != schedule.is_placement_paused:
        schedule.is_placement_paused = is_paused
        world.note(
            "place",
            "Placement pauses." if is_paused else "Placement goes on.",
            operators_age_ms=view_age_ms(world, Stream.OPERATORS, now_ms),
        )
    return is_paused


def _is_fleet_settling(world: BatchWorld, now_ms: int) -> bool:
    """Return whether a new term should wait for more minions to be reported.

    Sidecars find a new holder one after another. A decision between the first few
    minions would place urgent work on slow ones, though most of the fleet is idle.
    """
    schedule = world.schedule
    settled_ms = min(
        schedule.minion_added_ms + FLEET_QUIET_MS,
        schedule.loaded_ms + MAX_FLEET_SETTLE_MS,
    )
    if now_ms >= settled_ms:
        return False
    world.deadlines.add(settled_ms)
    return True


def _schedule_unit(
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
    if _place_unit(decision.world, unit, [candidates]):
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
        return _place_unit(decision.world, unit, groups)
    fast = fast_candidates(candidates)
    fast_groups = preferred_groups(unit, fast) or [fast]
    if _place_unit(decision.world, unit, fast_groups):
        return True
    if not unit.is_guaranteed and _reserve_soon_free(decision, unit, fast_groups):
        return True
    max_cost_core_s = MAX_LOSS_RATIO * _task_work_core_s(unit)
    if preempt_for_unit(decision, unit, fast_groups, max_cost_core_s):
        return True
    if _place_unit(decision.world, unit, groups):
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
    world: BatchWorld, unit: PlacementUnit, groups: list[list[Candidate]]
) -> bool:
    """Place the tasks that fit; return whether these are all tasks of the unit."""
    for group in groups:
        chosen = choose_candidates(
            group, unit.spec, len(unit.tasks), make_sort_key(unit)
        )
        is_whole = len(chosen) == len(unit.tasks)
        if is_whole or (chosen and not unit.spec.gang):
            _place_tasks(world, unit, chosen)
            if is_whole:
                return True
            unit.tasks = unit.tasks[len(chosen) :]
    return False


def _place_tasks(
    world: BatchWorld, unit: PlacementUnit, chosen: list[Candidate]
) -> None:
    """Place one task of a unit on each chosen candidate."""
    plan = unit.plan
    tasks = unit.tasks[: len(chosen)]
    gang_run = 1 + max(task.run for task in tasks)
    mark_plan_changed(world, plan)
    # a placement alone is no reason for another decision
    world.schedule.inputs_changed = False
    configuration = world.agreed.configuration
    for task, candidate in zip(tasks, chosen, strict=True):
        run = gang_run if unit.spec.gang else task.run + 1
        place_task(world, plan, task, run, candidate.minion)
        candidate.reserve(unit.spec)
        candidate.step_task_count += 1
        candidate.rack_free_accelerators[0] -= unit.spec.accelerators
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
