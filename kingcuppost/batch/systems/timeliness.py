"""Whether a job can still be of use to its caller, by its own estimates.

A queue's slack factor sets the target of a job: that multiple of its longest chain of
work. A step that is wide compared with the service runs in waves, each of which counts.
"""

from heapq import heapify, heappop, heappush
from math import ceil

from kingcuppost.batch.systems.speeds import corrected_estimate_ms
from kingcuppost.batch.tables.decision import Timeliness
from kingcuppost.batch.tables.job import StepSpec
from kingcuppost.batch.tables.plan import Chains, Plan
from kingcuppost.batch.tables.resources import Resources

__all__ = ["assess_timeliness", "refresh_chains", "target_end_ms"]

LATE_FACTOR = 3  # a result that takes this multiple of its target is of no use
WAVE_SHARE = 4  # one wave of a step uses at most this fraction of a service


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


def refresh_chains(plan: Plan, capacity: Resources) -> Chains:
    """Return the longest chains of work of a plan, brought up to date.

    Only the steps whose own duration has changed are looked at, and those before them
    whose chain changes with it.

    Parameters
    ----------
    capacity : Resources
        Capacity of all minions of the job's service.
    """
    chains = plan.chains
    if chains is None:
        step_count = len(plan.job.steps)
        chains = Chains(capacity, [0.0] * step_count, [0.0] * step_count, 0.0)
        changed = list(range(step_count))
    elif chains.capacity != capacity:
        changed = list(range(len(chains.work_ms)))
    else:
        changed = list(plan.changed_estimates)
    plan.chains = chains
    plan.changed_estimates.clear()
    chains.capacity = capacity
    changed = [index for index in changed if _update_work(plan, chains, index)]
    if changed:
        _update_chains(plan, chains, changed)
    return chains


def _update_work(plan: Plan, chains: Chains, index: int) -> bool:
    """Update the duration of a step; return whether it has changed."""
    waves = _count_waves(plan.job.steps[index], chains.capacity)
    work_ms = waves * corrected_estimate_ms(plan, index)
    is_changed = work_ms != chains.work_ms[index]
    chains.work_ms[index] = work_ms
    return is_changed


def _update_chains(plan: Plan, chains: Chains, changed: list[int]) -> None:
    """Update the chains of changed steps, and of those before them, last step first."""
    queue = [-index for index in changed]
    heapify(queue)
    while queue:
        index = -heappop(queue)
        if queue and queue[0] == -index:
            continue
        dependents = plan.step_progress[index].dependents
        following_ms = max(map(chains.chains_ms.__getitem__, dependents), default=0.0)
        chain_ms = chains.work_ms[index] + following_ms
        if chain_ms != chains.chains_ms[index]:
            chains.chains_ms[index] = chain_ms
            for needed in plan.job.steps[index].needs:
                heappush(queue, -needed)
    chains.path_ms = max(chains.chains_ms)


def target_end_ms(plan: Plan, capacity: Resources) -> float:
    """Return the Unix time by which a job should end, in ms.

    Parameters
    ----------
    plan : Plan
        The job's plan.
    capacity : Resources
        Capacity of all minions of the job's service.
    """
    path_ms = refresh_chains(plan, capacity).path_ms
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
    chains = refresh_chains(plan, capacity)
    target_ms = plan.job.policy.slack_factor * chains.path_ms
    taken_ms = wall_ms - plan.job.accepted_ms + chains.chains_ms[step]
    if taken_ms <= target_ms:
        return Timeliness.IN_TIME
    if taken_ms <= LATE_FACTOR * target_ms:
        return Timeliness.LATE
    return Timeliness.TOO_LATE
