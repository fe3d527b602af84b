"""How many tasks the simulated minions hold, counted apart from the product."""

from collections.abc import Iterable

from kingcuppost.batch.tables.job import StepSpec
from kingcuppost.batch.tables.resources import Resources
from standins.batch.minions import Minion

__all__ = ["busy_ratio", "count_tasks", "holds_step", "holds_when_idle"]


def _used(minion: Minion) -> Resources:
    runs = minion.runs.values()
    return Resources(
        sum(run.step.cpu_millis for run in runs),
        sum(run.step.memory_mb for run in runs),
        sum(run.step.accelerators for run in runs),
    )


def count_tasks(step: StepSpec, minion: Minion, is_idle: bool = False) -> int | None:
    """Return how many tasks of a step a minion holds beside its runs; None for any.

    Parameters
    ----------
    is_idle : bool
        Whether to count as if nothing ran there.
    """
    if step.label and step.label not in (minion.kind, minion.rack):
        return 0
    total, used = minion.resources, Resources() if is_idle else _used(minion)
    counts = [step.most_per_minion] if step.most_per_minion else []
    for demand, size, taken in (
        (step.cpu_millis, total.cpu_millis, used.cpu_millis),
        (step.memory_mb, total.memory_mb, used.memory_mb),
        (step.accelerators, total.accelerators, used.accelerators),
    ):
        if demand:
            counts.append(max(size - taken, 0) // demand)
    return min(counts, default=None)


def holds_step(
    step: StepSpec, minions: Iterable[Minion], times: int, is_idle: bool = False
) -> bool:
    """Return whether minions hold a step several times.

    For a gang they must hold all members, for other steps one task.
    """
    needed = times * (step.count if step.gang else 1)
    found = 0
    for minion in minions:
        count = count_tasks(step, minion, is_idle)
        if count is None:
            return True
        found += count
    return found >= needed


def holds_when_idle(steps: Iterable[StepSpec], minions: list[Minion]) -> bool:
    """Return whether idle minions hold each of some steps."""
    return all(holds_step(step, minions, 1, is_idle=True) for step in steps)


def busy_ratio(minions: list[Minion]) -> float:
    """Return the share of the capacity in use.

    That of the processors or of the accelerators, whichever is smaller: capacity is
    wasted if either lies idle.
    """
    ratios = []
    for name in ("cpu_millis", "accelerators"):
        total = sum(getattr(minion.resources, name) for minion in minions)
        used = sum(getattr(_used(minion), name) for minion in minions)
        if total:
            ratios.append(used / total)
    return min(ratios, default=0.0)
