"""Order of jobs when not all can be in time: some are demoted so that others are.

Jobs are taken by their latest start, and whenever one would start too late, those with
the most work for their loss so far are demoted, as by Moore and Hodgson (1968). With
losses and a second due time this is a heuristic.
"""

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from math import inf

from kingcuppost.batch.tables.job_load import (
    IN_TIME,
    NO_USE,
    JobLoad,
    LateEnd,
    OrderPass,
)

__all__ = ["MayAbandon", "order_jobs"]

# Losses relative to a job in time, by priority: a late result is worth 0.85 for urgent
# and normal work, and 0.3 for the rest. A job of no use costs its caller another unit.
LATE_LOSS = {0: 0.15, 1: 0.15}
OTHER_LATE_LOSS = 0.7
NO_USE_LOSS = 2.0
PROTECTED_FACTOR = 20  # above the ratio of the work of the largest jobs to the mean

MayAbandon = Callable[[JobLoad], bool]


def order_jobs(
    loads: list[JobLoad], ahead_ms: float, wall_ms: int, may_abandon: MayAbandon
) -> list[JobLoad]:
    """Return jobs of one rank and service in the order in which they are scheduled.

    Sets the demotions of each. Jobs that must not be overtaken any longer come first,
    those of no use last.

    Parameters
    ----------
    loads : list of JobLoad
        The jobs, in the order that holds without overload.
    ahead_ms : float
        Time for which the service works on what precedes all of them.
    wall_ms : int
        Current Unix time, in ms.
    may_abandon : callable
        Whether a job may be given up in favour of others.
    """
    for load in loads:
        load.demotions = _count_reachable(load, wall_ms)
    exempt = [load for load in loads if load.is_exempt]
    others = [load for load in loads if not load.is_exempt]
    begin_ms = wall_ms + ahead_ms + sum(load.work_ms for load in exempt)
    row = OrderPass(others, wall_ms, begin_ms)
    row.waiting = [
        _waiting_key(load, index)
        for index, load in enumerate(others)
        if load.demotions != NO_USE
    ]
    heapify(row.waiting)
    while row.waiting:
        _, _, index = heappop(row.waiting)
        _take(row, index, may_abandon)
    ordered = [load for load, demotions in row.taken if load.demotions == demotions]
    abandoned = [load for load in others if load.demotions == NO_USE]
    return exempt + ordered + abandoned


def _count_reachable(load: JobLoad, wall_ms: int) -> int:
    """Return the fewest demotions with which a job that starts now is not too late."""
    end_ms = wall_ms + load.path_ms
    passed = [due_ms for due_ms in load.due_ms if end_ms > due_ms]
    if passed:
        load.late_end = LateEnd(load.plan.job.id, end_ms, passed[-1])
    return len(passed)


def _waiting_key(load: JobLoad, index: int) -> tuple[float, int, int]:
    """Return the place of a job: its latest start, which a protected one keeps."""
    due_ms = load.due_ms[IN_TIME] if load.is_protected else load.present_due_ms
    return due_ms - load.path_ms, load.plan.job.accepted_ms, index


def _take(row: OrderPass, index: int, may_abandon: MayAbandon) -> None:
    """Add a job to the order; demote jobs if it would start too late."""
    load = row.loads[index]
    row.taken.append((load, load.demotions))
    end_ms = max(row.begin_ms, row.wall_ms) + load.path_ms
    late = LateEnd(load.plan.job.id, end_ms, load.present_due_ms)
    row.begin_ms += load.work_ms
    _add_victim(row, index)
    excess_ms = late.end_ms - late.due_ms
    while excess_ms > 0:
        victim = _find_victim(row, load, excess_ms, may_abandon)
        if victim is None:
            if _may_demote(load, may_abandon):
                _demote(row, index, late)
            return
        excess_ms -= row.loads[victim].work_ms
        _demote(row, victim, late)
        if victim == index:
            return


def _add_victim(row: OrderPass, index: int) -> None:
    load = row.loads[index]
    ratio = load.work_ms / _demotion_loss(load)
    heappush(row.victims, (-ratio, index, load.demotions))


def _demotion_loss(load: JobLoad) -> float:
    """Return the loss of another demotion of a job."""
    late_loss = LATE_LOSS.get(load.plan.job.policy.priority, OTHER_LATE_LOSS)
    if load.demotions == IN_TIME:
        return late_loss
    loss = NO_USE_LOSS - late_loss
    return loss * PROTECTED_FACTOR if load.is_protected else loss


def _find_victim(
    row: OrderPass, late: JobLoad, excess_ms: float, may_abandon: MayAbandon
) -> int | None:
    """Return the job to demote in favour of a late one; None for the late one.

    As many jobs like the one with the most work for its loss as make up for the excess
    must lose no more than the late job would. A job that counts as no work demotes no
    other.
    """
    while row.victims and late.work_ms:
        ratio, index, demotions = row.victims[0]
        load = row.loads[index]
        if load.demotions == demotions and _may_demote(load, may_abandon):
            loss = max(excess_ms / -ratio if ratio else inf, _demotion_loss(load))
            return index if loss <= _demotion_loss(late) else None
        heappop(row.victims)
    return None


def _may_demote(load: JobLoad, may_abandon: MayAbandon) -> bool:
    return load.demotions == IN_TIME or may_abandon(load)


def _demote(row: OrderPass, index: int, late: LateEnd) -> None:
    """Demote a job that was taken; unless it is of no use then, it is taken again."""
    load = row.loads[index]
    load.late_end = late
    row.begin_ms -= load.work_ms
    load.demotions += 1
    if load.demotions != NO_USE:
        heappush(row.waiting, _waiting_key(load, index))
