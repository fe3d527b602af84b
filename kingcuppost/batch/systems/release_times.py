"""When running work is expected to release enough capacity for a placement unit."""

from math import inf

from kingcuppost.batch.systems.candidates import Decision, is_stop_expected
from kingcuppost.batch.systems.placement import (
    copy_resources,
    count_fitting_tasks,
    limit_per_minion,
    subtract_tasks,
)
from kingcuppost.batch.systems.speeds import expected_remaining_ms
from kingcuppost.batch.systems.task_phases import placed_runs
from kingcuppost.batch.tables.decision import Candidate, PlacementUnit
from kingcuppost.batch.tables.job import StepSpec
from kingcuppost.batch.tables.resources import Resources

__all__ = ["expected_release_ms"]


def expected_release_ms(
    decision: Decision, unit: PlacementUnit, candidates: list[Candidate]
) -> float:
    """Return the time until the candidates are expected to hold a unit, in ms.

    The runs there end one after another by their expected durations, and nothing else
    is placed meanwhile. The result is infinite if they never hold the unit.
    """
    spec = unit.spec
    needed = spec.count if spec.gang else 1
    counts = [_count_tasks(item, item.free_now, spec, needed) for item in candidates]
    total = sum(counts)
    if total >= needed:
        return 0.0
    free = [copy_resources(candidate.free_now) for candidate in candidates]
    for remaining_ms, index, released in _expected_ends(decision, candidates):
        subtract_tasks(free[index], released, -1)
        count = _count_tasks(candidates[index], free[index], spec, needed)
        total += count - counts[index]
        counts[index] = count
        if total >= needed:
            return remaining_ms
    return inf


def _count_tasks(
    candidate: Candidate, free: Resources, spec: StepSpec, needed: int
) -> int:
    return count_fitting_tasks(free, spec, limit_per_minion(candidate, spec, needed))


def _expected_ends(
    decision: Decision, candidates: list[Candidate]
) -> list[tuple[float, int, StepSpec]]:
    """Return remaining time in ms, index of the candidate, and step of each run.

    The run that is expected to end first comes first.
    """
    stop_ms = decision.world.cfg.bounds.stop_ms
    ends = []
    for index, candidate in enumerate(candidates):
        minion = candidate.minion
        for plan, task in placed_runs(decision.world.schedule, minion.incarnation):
            remaining_ms = expected_remaining_ms(minion, plan, task)
            if is_stop_expected(decision, task):
                remaining_ms = min(remaining_ms, stop_ms)
            ends.append((remaining_ms, index, plan.job.steps[task.name.step]))
    return sorted(ends, key=lambda end: end[:2])
