"""Fitting of the tasks of a step into free capacity."""

from collections.abc import Callable, Iterable

from kingcuppost.batch.tables.decision import Candidate
from kingcuppost.batch.tables.job import StepSpec
from kingcuppost.batch.tables.resources import Resources

__all__ = [
    "CandidateSortKey",
    "add_resources",
    "choose_candidates",
    "copy_resources",
    "count_fitting_tasks",
    "fits_idle",
    "fits_now",
    "limit_per_minion",
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
