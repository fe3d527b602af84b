"""Placement and preemption: assigns ready placement units to minions by urgency.

Designed for loads in which urgent gangs arrive while all minions run overnight work,
wide steps must not starve, and a quarter of the minions work at half the speed.
"""

from dataclasses import replace
from math import inf

from kingcuppost.batch.systems.candidates import (
    DecisionInputs,
    eligible_candidates,
    exclude_avoided,
    fast_candidates,
    find_soon_free,
    find_victims,
    list_candidates,
    make_decision_inputs,
    request_decision,
)
from kingcuppost.batch.systems.freshness import (
    is_configuration_current,
    view_age_ms,
)
from kingcuppost.batch.systems.placement import (
    Candidate,
    CandidateSortKey,
    Eviction,
    add_resources,
    choose_candidates,
    count_fitting_tasks,
    plan_evictions,
    subtract_tasks,
)
from kingcuppost.batch.systems.plans import mark_plan_changed, place_task, request_stop
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.term_opening import is_scheduling
from kingcuppost.batch.systems.units import (
    PlacementUnit,
    find_guaranteed_jobs,
    iter_units,
    task_core_equivalents,
)
from kingcuppost.batch.tables.job import JobState, StepSpec
from kingcuppost.batch.tables.messages import Stream
from kingcuppost.batch.tables.world import BatchWorld, Schedule
from kingcuppost.tables.identity import Role
from kingcuppost.utils.clock import NEVER_MS

__all__ = ["schedule_units"]

URGENT_RETRY_MS = 1_000  # the progress of runs alone triggers no decision
MS_PER_SECOND = 1_000
SPEED_STEPS_PER_UNIT = 4  # speeds within one step count as equal
MAX_LOSS_RATIO = 0.7  # of the work of the task that preempts
MIN_DELAY_TOLERANT_PRIORITY = 2


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
    schedule.inputs_changed = False
    schedule.decide_at_ms = NEVER_MS
    guaranteed_ids = find_guaranteed_jobs(world)
    inputs = make_decision_inputs(world, now_ms, guaranteed_ids)
    candidates = list_candidates(world, now_ms)
    units = sorted(
        iter_units(world, guaranteed_ids),
        key=lambda unit: (unit.rank, unit.plan.job.accepted_ms),
    )
    for unit in units:
        _schedule_unit(world, inputs, unit, candidates)
        if unit.is_urgent:
            request_decision(world, now_ms + URGENT_RETRY_MS)


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


def _schedule_unit(
    world: BatchWorld,
    inputs: DecisionInputs,
    unit: PlacementUnit,
    candidates: list[Candidate],
) -> None:
    """Place a unit on minions where it has not failed, or else on any eligible one.

    A faulty minion must not use up the attempts of a task only because the other
    minions are full. The unit therefore waits for the other minions until the
    `avoid_until_ms` of its tasks has passed, provided that it would fit on them if
    they were idle.
    """
    allowed = eligible_candidates(unit, candidates)
    preferred = exclude_avoided(unit, allowed)
    if _schedule_unit_at(world, inputs, unit, preferred):
        return
    if len(preferred) == len(allowed):
        return
    until_ms = max(task.avoid_until_ms for task in unit.tasks)
    if world.clock.now_ms() < until_ms and _unit_fits_idle(unit, preferred):
        request_decision(world, until_ms)
        return
    _schedule_unit_at(world, inputs, unit, allowed)


def _schedule_unit_at(
    world: BatchWorld,
    inputs: DecisionInputs,
    unit: PlacementUnit,
    candidates: list[Candidate],
) -> bool:
    """Place a unit or preempt runs for it; return whether no task is left over.

    Urgent units prefer fast minions. They preempt runs there if the lost work is below
    `MAX_LOSS_RATIO` of their own. Only units within their team's guarantee may
    preempt at any cost, or spread over several racks, where they run slowly. Before
    other urgent units preempt, they wait for capacity that is about to be released.
    """
    all_groups = _candidate_groups(unit, candidates)
    if not unit.is_urgent:
        return _place_unit(world, unit, all_groups)
    fast_groups = _candidate_groups(unit, fast_candidates(candidates))
    if _place_unit(world, unit, fast_groups):
        return True
    if not unit.is_guaranteed and _reserve_soon_free(
        world.schedule, inputs, unit, fast_groups
    ):
        return True
    max_cost_core_s = MAX_LOSS_RATIO * _task_work_core_s(unit)
    if _preempt_for_unit(world, inputs, unit, fast_groups, max_cost_core_s):
        return True
    if _place_unit(world, unit, all_groups):
        return True
    if not unit.is_guaranteed:
        return _preempt_for_unit(world, inputs, unit, all_groups, max_cost_core_s)
    if _preempt_for_unit(world, inputs, unit, all_groups) or _place_unit(
        world, unit, [candidates]
    ):
        return True
    return _preempt_for_unit(world, inputs, unit, [candidates])


def _task_work_core_s(unit: PlacementUnit) -> float:
    """Return the estimated work of one task of a unit, in core-seconds."""
    return task_core_equivalents(unit.spec) * unit.spec.estimate_ms / MS_PER_SECOND


def _unit_fits_idle(unit: PlacementUnit, candidates: list[Candidate]) -> bool:
    """Return whether a unit would fit on the candidates if they were idle."""
    count = len(unit.tasks) if unit.spec.gang else 1
    return any(
        _tasks_fit_idle(group, unit.spec, count)
        for group in _candidate_groups(unit, candidates)
        if group
    )


def _reserve_soon_free(
    schedule: Schedule,
    inputs: DecisionInputs,
    unit: PlacementUnit,
    groups: list[list[Candidate]],
) -> bool:
    """Reserve for the tasks of a unit the capacity that is about to be released.

    Returns
    -------
    bool
        Whether the capacity suffices for all tasks.
    """
    for group in groups:
        for candidate in group:
            find_soon_free(schedule, inputs, candidate)
        sort_key = _make_sort_key(unit)
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
            group, unit.spec, len(unit.tasks), _make_sort_key(unit)
        )
        is_whole = len(chosen) == len(unit.tasks)
        if is_whole or (chosen and not unit.spec.gang):
            _place_tasks(world, unit, chosen)
            if is_whole:
                return True
            unit.tasks = unit.tasks[len(chosen) :]
    return False


def _candidate_groups(
    unit: PlacementUnit, candidates: list[Candidate]
) -> list[list[Candidate]]:
    """Return the groups of candidates to try one after another, best first."""
    spec = unit.spec
    if spec.one_rack and spec.gang:
        racks = _group_by_rack(candidates)
        large_racks = [
            rack for rack in racks if _tasks_fit_idle(rack, spec, len(unit.tasks))
        ]
        if large_racks:
            return sorted(large_racks, key=lambda rack: _rack_sort_key(unit, rack))
    if spec.rack:
        in_rack = [
            candidate for candidate in candidates if candidate.minion.rack == spec.rack
        ]
        if in_rack:
            return [in_rack]
    return [candidates]


def _group_by_rack(candidates: list[Candidate]) -> list[list[Candidate]]:
    racks: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        racks.setdefault(candidate.minion.rack, []).append(candidate)
    return list(racks.values())


def _tasks_fit_idle(candidates: list[Candidate], spec: StepSpec, count: int) -> bool:
    """Return whether the tasks would fit on the candidates if they were idle."""
    return (
        sum(
            count_fitting_tasks(candidate.minion.resources, spec, count)
            for candidate in candidates
        )
        >= count
    )


def _rack_sort_key(unit: PlacementUnit, rack: list[Candidate]) -> tuple:
    """Return the sort key of a rack.

    For urgent units, racks where all tasks fit at once come first, and of these the one
    whose slowest chosen minion is fastest. Other racks follow, the fullest first. For
    other units the fullest rack comes first.
    """
    free = sum(candidate.free_now.accelerators for candidate in rack)
    if not unit.is_urgent:
        return (free,)
    chosen = choose_candidates(rack, unit.spec, len(unit.tasks), _make_sort_key(unit))
    if len(chosen) < len(unit.tasks):
        return (1, 0.0, free)
    return (0, -min(candidate.minion.speed.value for candidate in chosen), free)


def _make_sort_key(unit: PlacementUnit) -> CandidateSortKey:
    """Return the function that gives the sort key of a candidate for a unit.

    Urgent units prefer reliable and fast minions. Other units fill up racks and minions
    that are nearly full, so that whole racks stay free for urgent gangs. Delay-tolerant
    units prefer slow minions and leave the fast ones to others. The last attempt of a
    task prefers a minion that has completed a run before.
    """
    is_last_attempt = unit.is_last_attempt
    is_delay_tolerant = unit.plan.job.policy.priority >= MIN_DELAY_TOLERANT_PRIORITY

    def sort_key(candidate: Candidate, step: StepSpec) -> tuple:
        minion = candidate.minion
        free_resources = (
            candidate.free_after_stops.accelerators,
            candidate.free_after_stops.cpu_millis,
        )
        risk = minion.failures + (
            0 if minion.has_completed_run else 1 if is_last_attempt else 0
        )
        if unit.is_urgent:
            speed = round(minion.speed.value * SPEED_STEPS_PER_UNIT)
            return (risk, -speed, *free_resources, minion.sidecar)
        wastes_fast_minion = is_delay_tolerant and not candidate.is_slow
        return (
            risk,
            wastes_fast_minion,
            candidate.rack_free_accelerators[0],
            *free_resources,
            -minion.speed.value,
            minion.sidecar,
        )

    return sort_key


def _place_tasks(
    world: BatchWorld, unit: PlacementUnit, chosen: list[Candidate]
) -> None:
    """Place one task of a unit on each chosen candidate."""
    plan = unit.plan
    tasks = unit.tasks[: len(chosen)]
    gang_run = 1 + max(task.run for task in tasks)
    plan.begun = True
    plan.state = JobState.RUNNING
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


def _preempt_for_unit(
    world: BatchWorld,
    inputs: DecisionInputs,
    unit: PlacementUnit,
    groups: list[list[Candidate]],
    max_cost_core_s: float = inf,
) -> bool:
    """Preempt the cheapest less urgent runs and reserve their capacity for the unit.

    If the capacity does not suffice for all tasks, a gang preempts nothing; other units
    preempt for some of their tasks.

    Parameters
    ----------
    max_cost_core_s : float
        Maximum work that may be lost for one task, in core-seconds.

    Returns
    -------
    bool
        Whether the capacity suffices for all tasks.
    """
    best = _choose_evictions(world.schedule, inputs, unit, groups, max_cost_core_s)
    for eviction in best:
        _stop_victims(world, unit, eviction)
        # the copy with fewer victims shares these objects with the original candidate
        eviction.candidate.reserve(unit.spec, eviction.count)
    unit.tasks = unit.tasks[_count_tasks(best) :]
    return not unit.tasks


def _count_tasks(evictions: list[Eviction]) -> int:
    return sum(eviction.count for eviction in evictions)


def _choose_evictions(
    schedule: Schedule,
    inputs: DecisionInputs,
    unit: PlacementUnit,
    groups: list[list[Candidate]],
    max_cost_core_s: float,
) -> list[Eviction]:
    """Return the evictions for the most tasks, at the lowest cost among equals."""
    best: list[Eviction] = []
    best_key = (0, 0.0)
    wanted = len(unit.tasks)
    # a gang needs all its members, so only its total cost is limited
    max_task_cost_core_s = inf if unit.spec.gang else max_cost_core_s
    for group in groups:
        for candidate in group:
            find_victims(schedule, inputs, candidate)
        narrowed = [_keep_victims_below(candidate, unit.rank) for candidate in group]
        found = plan_evictions(
            narrowed, unit.spec, wanted, _make_sort_key(unit), max_task_cost_core_s
        )
        cost_core_s = sum(eviction.cost_core_s for eviction in found)
        is_partial = _count_tasks(found) < wanted
        if unit.spec.gang and (is_partial or cost_core_s > max_cost_core_s * wanted):
            continue
        key = (-_count_tasks(found), cost_core_s)
        if key < best_key:
            best, best_key = found, key
    return best


def _keep_victims_below(candidate: Candidate, rank: int) -> Candidate:
    """Return a copy of a candidate with only the victims that a rank may preempt.

    Victims are less urgent than the rank. Only rank 0 may preempt runs that end soon.
    """
    victims = [
        victim
        for victim in candidate.victims
        if not victim.task.stopping
        and (victim.rank > max(rank, 1) or (rank == 0 and victim.rank == 1))
        and (rank == 0 or not victim.ends_soon)
    ]
    return replace(candidate, victims=victims)


def _stop_victims(world: BatchWorld, unit: PlacementUnit, eviction: Eviction) -> None:
    for victim in eviction.victims:
        plan, task = victim.plan, victim.task
        step = plan.job.steps[task.name.step]
        stopped = plan.tasks[task.name.step] if step.gang else [task]
        add_resources(eviction.candidate.free_after_stops, victim.resources)
        for member in stopped:
            request_stop(world, plan, member)
        world.tally.add("preemptions")
        world.note(
            "preempt",
            "A run is preempted.",
            task=str(task.name),
            run=task.run,
            lost_core_s=round(victim.cost_core_s, 1),
            urgent=unit.plan.job.id,
        )
