"""Preemption: stops less urgent runs to release capacity for a placement unit.

Designed for loads in which urgent work arrives while all minions run other work. What
most units may cost others is limited, so that less work is lost than they bring; work
within its team's guarantee may cost any amount.
"""

from dataclasses import replace
from math import inf

from kingcuppost.batch.systems.candidate_order import make_sort_key
from kingcuppost.batch.systems.candidates import Decision, find_victims
from kingcuppost.batch.systems.decision import carry_out, outcome_appliers
from kingcuppost.batch.systems.evictions import Eviction, plan_evictions
from kingcuppost.batch.systems.placement import add_resources, reserve_capacity
from kingcuppost.batch.systems.plans import request_stop
from kingcuppost.batch.systems.reservations import reserve_for_tasks
from kingcuppost.batch.tables.decision import Candidate, PlacementUnit, Preemption
from kingcuppost.batch.tables.end_cause import CauseKind, EndCause
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["preempt_for_unit"]


def preempt_for_unit(
    decision: Decision,
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
    best = _choose_evictions(decision, unit, groups, max_cost_core_s)
    if best:
        # more may be released than the unit takes
        decision.round.failed_tries.clear()
    for eviction in best:
        _stop_victims(decision, unit, eviction)
        # the copy with fewer victims shares these objects with the original candidate
        reserve_capacity(eviction.candidate, unit.spec, eviction.count)
        tasks = unit.tasks[: eviction.count]
        unit.tasks = unit.tasks[eviction.count :]
        reserve_for_tasks(decision, tasks, eviction.candidate.minion)
    return not unit.tasks


def _count_tasks(evictions: list[Eviction]) -> int:
    return sum(eviction.count for eviction in evictions)


def _choose_evictions(
    decision: Decision,
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
            find_victims(decision, candidate)
        narrowed = [_keep_victims_below(decision, item, unit.rank) for item in group]
        found = plan_evictions(
            narrowed, unit.spec, wanted, make_sort_key(unit), max_task_cost_core_s
        )
        cost_core_s = sum(eviction.cost_core_s for eviction in found)
        is_partial = _count_tasks(found) < wanted
        if unit.spec.gang and (is_partial or cost_core_s > max_cost_core_s * wanted):
            continue
        key = (-_count_tasks(found), cost_core_s)
        if key < best_key:
            best, best_key = found, key
    return best


def _keep_victims_below(
    decision: Decision, candidate: Candidate, rank: int
) -> Candidate:
    """Return a copy of a candidate with only the victims that a rank may preempt.

    Victims are less urgent than the rank. Only rank 0 may preempt runs that end soon.
    """
    victims = [
        victim
        for victim in candidate.victims
        if not victim.task.stopping
        and victim.task.name not in decision.round.preempted
        and (victim.rank > max(rank, 1) or (rank == 0 and victim.rank == 1))
        and (rank == 0 or not victim.ends_soon)
    ]
    return replace(candidate, victims=victims)


def _stop_victims(decision: Decision, unit: PlacementUnit, eviction: Eviction) -> None:
    for victim in eviction.victims:
        plan, task = victim.plan, victim.task
        step = plan.job.steps[task.name.step]
        stopped = plan.tasks[task.name.step] if step.gang else [task]
        add_resources(eviction.candidate.free_after_stops, victim.resources)
        decision.round.preempted.update(member.name for member in stopped)
        carry_out(decision, Preemption(unit, victim, stopped))


@outcome_appliers.register(Preemption)
def apply_preemption(world: BatchWorld, outcome: Preemption) -> None:
    """Request the stop of a preempted run, with its gang."""
    victim, urgent_id = outcome.victim, outcome.unit.plan.job.id
    cause = EndCause(CauseKind.PREEMPTED, job=urgent_id)
    for member in outcome.stopped:
        request_stop(world, victim.plan, member, cause)
    world.tally.add("preemptions")
    world.note(
        "preempt",
        "A run is preempted.",
        task=str(victim.task.name),
        run=victim.task.run,
        lost_core_s=round(victim.cost_core_s, 1),
        urgent=urgent_id,
    )
