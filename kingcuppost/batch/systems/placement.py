"""Fitting of the tasks of a step into free or preemptible capacity."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from heapq import heappop, heappush
from math import inf

from kingcuppost.batch.tables.decision import Candidate, Victim
from kingcuppost.batch.tables.fleet import Resources
from kingcuppost.batch.tables.job import StepSpec

__all__ = [
    "Candidate",
    "CandidateSortKey",
    "Eviction",
    "Victim",
    "add_resources",
    "choose_candidates",
    "copy_resources",
    "count_fitting_tasks",
    "fits_idle",
    "fits_now",
    "limit_per_minion",
    "plan_evictions",
    "reserve_capacity",
    "subtract_resources",
    "subtract_tasks",
]


def copy_resources(resources: Resources) -> Resources:
    """Return a copy of `resources`."""
    return Resources(resources.cpu_millis, resources.memory_mb, resources.accelerators)


def subtract_tasks(resources: Resources, step: StepSpec, count: int = 1) -> None:
    """Subtract the demand of `count` tasks of a step from `resources` in place."""
    subtract_resources(
        resources,
        Resources(
            step.cpu_millis * count,
            step.memory_mb * count,
            step.accelerators * count,
        ),
    )


def reserve_capacity(candidate: Candidate, step: StepSpec, count: int = 1) -> None:
    """Subtract the demand of `count` tasks of a step from a candidate's capacity."""
    for resources in (
        candidate.free_now,
        candidate.free_soon,
        candidate.free_after_stops,
    ):
        if resources is not None:
            subtract_tasks(resources, step, count)


def add_resources(resources: Resources, other: Resources) -> None:
    """Add the released capacity `other` to `resources` in place."""
    resources.cpu_millis += other.cpu_millis
    resources.memory_mb += other.memory_mb
    resources.accelerators += other.accelerators


def subtract_resources(resources: Resources, other: Resources) -> None:
    """Subtract the used capacity `other` from `resources` in place."""
    resources.cpu_millis -= other.cpu_millis
    resources.memory_mb -= other.memory_mb
    resources.accelerators -= other.accelerators


def count_fitting_tasks(resources: Resources, step: StepSpec, limit: int) -> int:
    """Return how many tasks of a step fit, at most `limit`.

    Examples
    --------
    >>> free = Resources(64_000, 100, 8)
    >>> count_fitting_tasks(free, StepSpec(4, cpu_millis=26_000), 9)
    2
    """
    count = limit
    if step.cpu_millis:
        count = min(count, resources.cpu_millis // step.cpu_millis)
    if step.memory_mb:
        count = min(count, resources.memory_mb // step.memory_mb)
    if step.accelerators:
        count = min(count, resources.accelerators // step.accelerators)
    return max(count, 0)


def limit_per_minion(candidate: Candidate, step: StepSpec, wanted: int) -> int:
    """Return how many of `wanted` further tasks a step's limit per minion allows."""
    if not step.most_per_minion:
        return wanted
    return min(wanted, max(step.most_per_minion - candidate.step_task_count, 0))


def fits_now(step: StepSpec, candidates: Iterable[Candidate], times: int = 1) -> bool:
    """Return whether the free capacity of candidates holds a step `times` times.

    For a gang it must hold all members, for other steps one task.
    """
    needed = times * (step.count if step.gang else 1)
    return _hold_tasks(needed, step, candidates, lambda item: item.free_now)


def fits_idle(step: StepSpec, candidates: Iterable[Candidate]) -> bool:
    """Return whether candidates would hold a step if no other step ran there."""
    needed = step.count if step.gang else 1
    return _hold_tasks(needed, step, candidates, lambda item: item.minion.resources)


def _hold_tasks(
    needed: int,
    step: StepSpec,
    candidates: Iterable[Candidate],
    capacity: Callable[[Candidate], Resources],
) -> bool:
    """Return whether at least `needed` tasks of a step fit on the candidates."""
    count = 0
    for candidate in candidates:
        allowed = limit_per_minion(candidate, step, needed - count)
        count += count_fitting_tasks(capacity(candidate), step, allowed)
        if count >= needed:
            return True
    return False


CandidateSortKey = Callable[[Candidate, StepSpec], tuple]


def choose_candidates(
    candidates: Iterable[Candidate],
    step: StepSpec,
    wanted: int,
    sort_key: CandidateSortKey,
    use_soon_free: bool = False,
) -> list[Candidate]:
    """Return one candidate for each task that fits, smallest sort keys first.

    Parameters
    ----------
    candidates : iterable of Candidate
        Minions that may be given the tasks.
    step : StepSpec
        Demand of each task.
    wanted : int
        Number of tasks.
    sort_key : callable
        Returns the sort key of a candidate for a step; the smallest comes first.
    use_soon_free : bool
        Whether capacity that is about to be released counts as free.
    """
    fitting = []
    for candidate in candidates:
        resources = candidate.free_soon if use_soon_free else candidate.free_now
        limit = limit_per_minion(candidate, step, wanted)
        count = count_fitting_tasks(resources, step, limit)
        if count:
            fitting.append((sort_key(candidate, step), candidate, count))
    fitting.sort(key=lambda row: row[0])
    chosen: list[Candidate] = []
    for _, candidate, count in fitting:
        missing = wanted - len(chosen)
        if not missing:
            break
        chosen.extend([candidate] * min(count, missing))
    return chosen


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
