"""The cheapest runs to stop so that the tasks of a step fit."""

from dataclasses import dataclass
from heapq import heappop, heappush
from math import inf

from kingcuppost.batch.systems.placement import (
    CandidateSortKey,
    add_resources,
    copy_resources,
    count_fitting_tasks,
    limit_per_minion,
    subtract_resources,
)
from kingcuppost.batch.tables.decision import Candidate, Victim
from kingcuppost.batch.tables.job import StepSpec
from kingcuppost.batch.tables.resources import Resources

__all__ = ["Eviction", "plan_evictions"]


@dataclass(slots=True)
class Eviction:
    """Tasks that fit on a candidate once some victims are stopped.

    Attributes
    ----------
    candidate : Candidate
        The minion.
    count : int
        Number of tasks that fit.
    cost_core_s : float
        Work that stopping the victims loses, in core-seconds.
    victims : list of Victim
        Runs to stop.
    """

    candidate: Candidate
    count: int
    cost_core_s: float
    victims: list[Victim]


def _extend_eviction(
    candidate: Candidate, step: StepSpec, current: Eviction, limit: int
) -> Eviction:
    """Return an eviction for more tasks than the current one, or the current one.

    Stops the cheapest victims until at least one further task fits.
    """
    wanted = current.count + 1
    resources = copy_resources(candidate.free_after_stops)
    victims: list[Victim] = []
    for victim in candidate.victims:
        if count_fitting_tasks(resources, step, limit) >= wanted:
            break
        add_resources(resources, victim.resources)
        victims.append(victim)
    if count_fitting_tasks(resources, step, limit) < wanted:
        return current
    victims = _drop_unneeded_victims(resources, step, wanted, victims)
    cost_core_s = sum(victim.cost_core_s for victim in victims)
    return Eviction(
        candidate, count_fitting_tasks(resources, step, limit), cost_core_s, victims
    )


def _drop_unneeded_victims(
    resources: Resources, step: StepSpec, wanted: int, victims: list[Victim]
) -> list[Victim]:
    """Return the victims without which the capacity would not suffice.

    Tries to drop the last victims first, which cost most, and subtracts the capacity of
    those that it drops from `resources`.
    """
    needed = []
    for victim in reversed(victims):
        remaining = copy_resources(resources)
        subtract_resources(remaining, victim.resources)
        if count_fitting_tasks(remaining, step, wanted) >= wanted:
            subtract_resources(resources, victim.resources)
        else:
            needed.append(victim)
    return needed


def plan_evictions(
    candidates: list[Candidate],
    step: StepSpec,
    wanted: int,
    sort_key: CandidateSortKey,
    max_cost_core_s: float = inf,
) -> list[Eviction]:
    """Return the cheapest evictions that release capacity for the most tasks.

    Greedy: each next task goes to the candidate where it costs least, among equals to
    the one with the smallest sort key.

    Parameters
    ----------
    candidates : list of Candidate
        Minions that may be given the tasks.
    step : StepSpec
        Demand of each task.
    wanted : int
        Number of tasks.
    sort_key : callable
        Returns the sort key of a candidate for a step; the smallest comes first.
    max_cost_core_s : float
        Maximum work that may be lost for one task, in core-seconds.
    """
    evictions = [Eviction(candidate, 0, 0.0, []) for candidate in candidates]
    extensions: list[tuple[float, tuple, int, Eviction]] = []

    def push_extension(index: int, missing: int) -> None:
        current = evictions[index]
        candidate = current.candidate
        limit = limit_per_minion(candidate, step, current.count + missing)
        extended = _extend_eviction(candidate, step, current, limit)
        added = extended.count - current.count
        if added:
            cost_core_s = (extended.cost_core_s - current.cost_core_s) / added
            row = (cost_core_s, sort_key(candidate, step), index, extended)
            heappush(extensions, row)

    for index in range(len(evictions)):
        push_extension(index, wanted)
    missing = wanted
    while missing and extensions:
        cost_core_s, _, index, extended = heappop(extensions)
        added = extended.count - evictions[index].count
        if added <= missing:
            if cost_core_s > max_cost_core_s:
                break
            evictions[index] = extended
            missing -= added
        # one for more tasks than are missing costs more for each of the missing ones
        if missing:
            push_extension(index, missing)
    return [eviction for eviction in evictions if eviction.count]
