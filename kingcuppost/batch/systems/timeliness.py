"""Whether a job can still be of use to its caller, by its own estimates.

A queue's slack factor sets the target of a job: that multiple of its longest chain of
work. A step that is wide compared with the service runs in waves, each of which counts.
"""

from enum import IntEnum
from math import ceil

from kingcuppost.batch.systems.speeds import corrected_estimate_ms
from kingcuppost.batch.tables.fleet import Resources
from kingcuppost.batch.tables.job import StepSpec
from kingcuppost.batch.tables.plan import Plan

__all__ = ["Timeliness", "assess_timeliness", "target_end_ms"]

LATE_FACTOR = 3  # a result that takes this multiple of its target is of no use
WAVE_SHARE = 4  # one wave of a step uses at most this fraction of a service


class Timeliness(IntEnum):
    """What a job can still reach, best first.

    Attributes
    ----------
    IN_TIME
        It can end within its target.
    LATE
        It can end within `LATE_FACTOR` of its target.
    TOO_LATE
        It ends later than that.
    """

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


def _count_waves(step: StepSpec, capacity: Resources) -> int:
    """Return in how many waves the tasks of a step run."""
    if step.gang:
        return 1
    shares = [
        step.count * required * WAVE_SHARE / available
        for required, available in (
            (step.cpu_millis, capacity.cpu_millis),
            (step.memory_mb, capacity.memory_mb),
            (step.accelerators, capacity.accelerators),
        )
        if required and available
    ]
    return max(1, ceil(max(shares, default=1)))


def _chains_ms(plan: Plan, capacity: Resources) -> list[float]:
    """Return the longest chain of work from each step on, in ms at speed 1.0."""
    steps = plan.job.steps
    chains = [0.0] * len(steps)
    for index in reversed(range(len(steps))):
        following = [
            chains[later]
            for later in range(index + 1, len(steps))
            if index in steps[later].needs
        ]
        waves = _count_waves(steps[index], capacity)
        chains[index] = waves * corrected_estimate_ms(plan, index) + max(
            following, default=0.0
        )
    return chains


def target_end_ms(plan: Plan, capacity: Resources) -> float:
    """Return the Unix time by which a job should end, in ms.

    Parameters
    ----------
    plan : Plan
        The job's plan.
    capacity : Resources
        Capacity of all minions of the job's service.
    """
    path_ms = max(_chains_ms(plan, capacity))
    return plan.job.accepted_ms + plan.job.policy.slack_factor * path_ms


def assess_timeliness(
    plan: Plan, step: int, capacity: Resources, wall_ms: int
) -> Timeliness:
    """Return what a job can still reach if the tasks of a step start now.

    Parameters
    ----------
    step : int
        Index of the step, whose tasks have not started.
    wall_ms : int
        Current Unix time, in ms.
    """
    chains_ms = _chains_ms(plan, capacity)
    target_ms = plan.job.policy.slack_factor * max(chains_ms)
    taken_ms = wall_ms - plan.job.accepted_ms + chains_ms[step]
    if taken_ms <= target_ms:
        return Timeliness.IN_TIME
    if taken_ms <= LATE_FACTOR * target_ms:
        return Timeliness.LATE
    return Timeliness.TOO_LATE
