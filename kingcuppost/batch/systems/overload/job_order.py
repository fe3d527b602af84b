"""Order of jobs when not all can be in time: some are demoted so that others are.

Jobs are taken by their due times, and whenever one would end too late, the job with the
most work for the least loss so far is demoted, as by Moore and Hodgson (1968). With
losses and with the job's own critical path this is a heuristic.
"""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from math import inf
from typing import NamedTuple

from kingcuppost.batch.tables.decision import PlacementUnit
from kingcuppost.batch.tables.plan import Plan

__all__ = [
    "IN_TIME",
    "LATE",
    "NO_USE",
    "JobLoad",
    "LateEnd",
    "MayAbandon",
    "order_jobs",
]

IN_TIME, LATE, NO_USE = range(3)  # numbers of demotions
# Losses relative to a job in time, by priority: a late result is worth 0.85 for urgent
# and normal work, and 0.3 for the rest. A job of no use costs its caller another unit.
LATE_LOSS = {0: 0.15, 1: 0.15}
OTHER_LATE_LOSS = 0.7
NO_USE_LOSS = 2.0
PROTECTED_FACTOR = 20  # above the ratio of the work of the largest jobs to the mean


class LateEnd(NamedTuple):
    """Forecast because of which a job is demoted: its own, or that of another one.

    Attributes
    ----------
    job_id : str
        Job that would have ended too late.
    end_ms, due_ms : float
        Its forecast end, and the time by which it is due, as Unix times in ms.
    """

    job_id: str
    end_ms: float
    due_ms: float


@dataclass(slots=True)
class JobLoad:
    """A job with ready work, as the order under overload sees it.

    Attributes
    ----------
    plan : Plan
        The job's plan.
    units : list of PlacementUnit
        All its ready units.
    due_ms : tuple of float
        Unix times by which it is in time, and by which it is still of use, in ms.
    path_ms : float
        Longest chain of work from its ready units on, in ms.
    work_ms : float
        Time for which the whole service works on the ready units, in ms.
    is_exempt : bool
        Whether it must not be overtaken any longer.
    is_protected : bool
        Whether giving it up counts `PROTECTED_FACTOR` times, as few jobs of its size
        are served.
    demotions : int
        `IN_TIME`, `LATE` or `NO_USE`.
    late_end : LateEnd or None
        Forecast because of which it was last demoted.
    """

    plan: Plan
    units: list[PlacementUnit]
    due_ms: tuple[float, float]
    path_ms: float = 0.0
    work_ms: float = 0.0
    is_exempt: bool = False
    is_protected: bool = False
    demotions: int = IN_TIME
    late_end: LateEnd | None = None

    @property
    def present_due_ms(self) -> float:
        """Return the due time that follows from the demotions."""
        return self.due_ms[self.demotions]

    @property
    def latest_start_ms(self) -> float:
        """Return the time from which a start would be too late for that."""
        return self.present_due_ms - self.path_ms

    @property
    def demotion_loss(self) -> float:
        """Return the loss of another demotion."""
        late_loss = LATE_LOSS.get(self.plan.job.policy.priority, OTHER_LATE_LOSS)
        if self.demotions == IN_TIME:
            return late_loss
        loss = NO_USE_LOSS - late_loss
        return loss * PROTECTED_FACTOR if self.is_protected else loss


MayAbandon = Callable[[JobLoad], bool]


class _Pass:
    """One pass over the jobs of a rank and a service, by due time."""

    def __init__(
        self, loads: list[JobLoad], ahead_ms: float, wall_ms: int, may: MayAbandon
    ) -> None:
        self.loads = loads
        self.wall_ms = wall_ms
        self.begin_ms = wall_ms + ahead_ms
        self.may_abandon = may
        self.taken: list[tuple[JobLoad, int]] = []
        self.waiting: list[tuple[float, int, int]] = []
        self.victims: list[tuple[float, int, int]] = []

    def run(self) -> list[JobLoad]:
        """Return the jobs in their order, those of no use last."""
        self.waiting = [
            self._waiting_key(index)
            for index, load in enumerate(self.loads)
            if load.demotions != NO_USE
        ]
        heapify(self.waiting)
        while self.waiting:
            _, _, index = heappop(self.waiting)
            self._take(index)
        ordered = [load for load, level in self.taken if load.demotions == level]
        abandoned = [load for load in self.loads if load.demotions == NO_USE]
        return ordered + abandoned

    def _waiting_key(self, index: int) -> tuple[float, int, int]:
        load = self.loads[index]
        due_ms = load.due_ms[IN_TIME] if load.is_protected else load.present_due_ms
        return due_ms - load.path_ms, load.plan.job.accepted_ms, index

    def _take(self, index: int) -> None:
        """Add a job to the order; demote jobs if it would end too late."""
        load = self.loads[index]
        self.taken.append((load, load.demotions))
        start_ms = max(self.begin_ms, self.wall_ms)
        excess_ms = start_ms - load.latest_start_ms
        self.begin_ms += load.work_ms
        self._add_victim(index)
        late = LateEnd(load.plan.job.id, start_ms + load.path_ms, load.present_due_ms)
        while excess_ms > 0:
            victim = self._find_victim(load, excess_ms)
            if victim is None:
                if self._may_demote(load):
                    self._demote(index, late)
                return
            excess_ms -= self.loads[victim].work_ms
            self._demote(victim, late)
            if victim == index:
                return

    def _add_victim(self, index: int) -> None:
        load = self.loads[index]
        row = (-load.work_ms / load.demotion_loss, index, load.demotions)
        heappush(self.victims, row)

    def _find_victim(self, late: JobLoad, excess_ms: float) -> int | None:
        """Return the job to demote in favour of a late one; None for the late one.

        As many jobs like the one with the most work for its loss as make up for the
        excess must lose less than the late job would. A job that counts as no work
        demotes no other.
        """
        while self.victims and late.work_ms:
            ratio, index, level = self.victims[0]
            load = self.loads[index]
            if load.demotions == level and self._may_demote(load):
                loss = max(excess_ms / -ratio if ratio else inf, load.demotion_loss)
                return index if loss <= late.demotion_loss else None
            heappop(self.victims)
        return None

    def _may_demote(self, load: JobLoad) -> bool:
        return load.demotions == IN_TIME or self.may_abandon(load)

    def _demote(self, index: int, late: LateEnd) -> None:
        load = self.loads[index]
        load.late_end = late
        self.begin_ms -= load.work_ms
        load.demotions += 1
        if load.demotions != NO_USE:
            heappush(self.waiting, self._waiting_key(index))


def order_jobs(
    loads: list[JobLoad], ahead_ms: float, wall_ms: int, may_abandon: MayAbandon
) -> list[JobLoad]:
    """Return jobs of one rank and service in the order in which they are scheduled.

    Sets the demotions of each. Jobs that must not be overtaken any longer come first.

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
    exempt = [load for load in loads if load.is_exempt]
    others = [load for load in loads if not load.is_exempt]
    for load in loads:
        load.demotions = _reachable(load, wall_ms)
    ahead_ms += sum(load.work_ms for load in exempt)
    return exempt + _Pass(others, ahead_ms, wall_ms, may_abandon).run()


def _reachable(load: JobLoad, wall_ms: int) -> int:
    """Return the fewest demotions with which a job that starts now is not too late."""
    end_ms = wall_ms + load.path_ms
    passed = [due_ms for due_ms in load.due_ms if end_ms > due_ms]
    if passed:
        load.late_end = LateEnd(load.plan.job.id, end_ms, passed[-1])
    return len(passed)
