"""Where the tasks of a step fit: pure functions over free room."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from math import inf

from kingcuppost.batch.tables.fleet import MinionRow, Room
from kingcuppost.batch.tables.job import Plan, StepSpec, Task

__all__ = [
    "Candidate",
    "Eviction",
    "RankFunction",
    "Victim",
    "add_resources",
    "choose_candidates",
    "count_fitting_tasks",
    "plan_evictions",
    "subtract_resources",
    "subtract_tasks",
]


@dataclass(slots=True)
class Victim:
    """Work that may be stopped for a more urgent step.

    Attributes
    ----------
    plan, task : Plan, Task
        The run and its job.
    rank : int
        How urgent it is; 0 comes first.
    resources : Room
        What stopping it sets free.
    cost : float
        Work that would be lost, in core-seconds.
    ends_soon : bool
        Whether the run is about to end by itself.
    """

    plan: Plan
    task: Task
    rank: int
    resources: Room
    cost: float
    ends_soon: bool = False


@dataclass(slots=True)
class Candidate:
    """A minion as placement sees it.

    Attributes
    ----------
    minion : MinionRow
        The minion.
    free_after_stops : Room
        What is free, or will be when runs that are being stopped have ended.
    free_now : Room
        What is free at once.
    free_soon : Room
        What is free once runs have ended that are all but done.
    rack_free_accelerators : list of int
        Accelerators that are free in the whole rack; one list for all its sites.
    step_task_count : int
        Tasks of the step at hand that are there already.
    victims : list of Victim
        What may be stopped, cheapest first.
    is_slow : bool
        Whether the minion works much slower than most.
    """

    minion: MinionRow
    free_after_stops: Room
    free_now: Room
    free_soon: Room
    rack_free_accelerators: list[int]
    step_task_count: int = 0
    victims: list[Victim] = field(default_factory=list)
    is_slow: bool = False


def subtract_tasks(resources: Room, step: StepSpec, count: int = 1) -> None:
    """Take room for tasks of a step."""
    subtract_resources(
        resources,
        Room(
            step.cpu_millis * count,
            step.memory_mb * count,
            step.accelerators * count,
        ),
    )


def add_resources(resources: Room, other: Room) -> None:
    """Add room that is set free."""
    resources.cpu_millis += other.cpu_millis
    resources.memory_mb += other.memory_mb
    resources.accelerators += other.accelerators


def subtract_resources(resources: Room, other: Room) -> None:
    """Take room away."""
    resources.cpu_millis -= other.cpu_millis
    resources.memory_mb -= other.memory_mb
    resources.accelerators -= other.accelerators


def count_fitting_tasks(resources: Room, step: StepSpec, limit: int) -> int:
    """Return how many tasks of a step fit into room.

    Examples
    --------
    >>> count_fitting_tasks(Room(64_000, 100, 8), StepSpec(4, cpu_millis=26_000), 9)
    2
    """
    count = limit
    for available, required in (
        (resources.cpu_millis, step.cpu_millis),
        (resources.memory_mb, step.memory_mb),
        (resources.accelerators, step.accelerators),
    ):
        if required:
            count = min(count, available // required)
    return max(count, 0)


def _limit_per_minion(candidate: Candidate, step: StepSpec, wanted: int) -> int:
    if not step.most_per_minion:
        return wanted
    return min(wanted, max(step.most_per_minion - candidate.step_task_count, 0))


RankFunction = Callable[[Candidate, StepSpec], tuple]


def choose_candidates(
    candidates: Iterable[Candidate],
    step: StepSpec,
    wanted: int,
    rank: RankFunction,
    use_soon_free: bool = False,
) -> list[Candidate]:
    """Return a site for each of as many tasks as fit, best ranks first.

    Parameters
    ----------
    candidates : iterable of Site
        Where the tasks may go.
    step : StepSpec
        What each task needs.
    wanted : int
        How many tasks.
    rank : callable
        Ranks a site for a step; the smallest goes first.
    use_soon_free : bool
        Whether room counts that is about to be free.
    """
    chosen: list[Candidate] = []
    for candidate in sorted(candidates, key=lambda candidate: rank(candidate, step)):
        missing = wanted - len(chosen)
        if not missing:
            break
        resources = candidate.free_soon if use_soon_free else candidate.free_now
        count = count_fitting_tasks(
            resources, step, _limit_per_minion(candidate, step, missing)
        )
        chosen.extend([candidate] * count)
    return chosen


@dataclass(slots=True)
class Eviction:
    """Tasks that fit at a site once some victims are stopped."""

    candidate: Candidate
    count: int
    cost: float
    victims: list[Victim]


def _extend_eviction(
    candidate: Candidate, step: StepSpec, current: Eviction, limit: int
) -> Eviction:
    """Return how one more task could fit at a site, or the same if it can't."""
    wanted = current.count + 1
    resources = replace(candidate.free_after_stops)
    victims: list[Victim] = []
    for victim in candidate.victims:
        if count_fitting_tasks(resources, step, limit) >= wanted:
            break
        add_resources(resources, victim.resources)
        victims.append(victim)
    if count_fitting_tasks(resources, step, limit) < wanted:
        return current
    victims = _drop_unneeded_victims(resources, step, wanted, victims)
    cost = sum(victim.cost for victim in victims)
    return Eviction(
        candidate, count_fitting_tasks(resources, step, limit), cost, victims
    )


def _drop_unneeded_victims(
    resources: Room, step: StepSpec, wanted: int, victims: list[Victim]
) -> list[Victim]:
    """Return the victims without which the room would be too small."""
    needed = []
    for victim in reversed(victims):
        remaining = replace(resources)
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
    rank: RankFunction,
    max_cost_core_s: float = inf,
) -> list[Eviction]:
    """Return the cheapest evictions that make room for as many tasks as possible.

    Tasks go one by one to where the next one costs least; among equals to the
    site that ranks first.

    Parameters
    ----------
    candidates : list of Site
        Where the tasks may go.
    step : StepSpec
        What each task needs.
    wanted : int
        How many tasks.
    rank : callable
        Ranks a site for a step; the smallest goes first.
    max_cost_core_s : float
        Most core-seconds that may be lost for one task.
    """
    evictions = {
        id(candidate): Eviction(candidate, 0, 0.0, []) for candidate in candidates
    }
    placed = 0
    while placed < wanted:
        best: Eviction | None = None
        best_key: tuple | None = None
        for candidate in candidates:
            current = evictions[id(candidate)]
            limit = _limit_per_minion(candidate, step, current.count + wanted - placed)
            extended = _extend_eviction(candidate, step, current, limit)
            if extended.count == current.count:
                continue
            key = (
                (extended.cost - current.cost) / (extended.count - current.count),
                rank(candidate, step),
            )
            if best_key is None or key < best_key:
                best, best_key = extended, key
        if best is None or best_key[0] > max_cost_core_s:
            break
        placed += best.count - evictions[id(best.candidate)].count
        evictions[id(best.candidate)] = best
    return [eviction for eviction in evictions.values() if eviction.count]
