"""Jobs with ready work, as the order under overload sees them in one round."""

from dataclasses import dataclass, field
from typing import NamedTuple

from kingcuppost.batch.tables.decision import PlacementUnit
from kingcuppost.batch.tables.plan import Plan

__all__ = ["IN_TIME", "LATE", "NO_USE", "JobLoad", "LateEnd", "OrderPass"]

IN_TIME, LATE, NO_USE = range(3)  # numbers of demotions


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
        Whether it keeps its place and giving it up counts more, as few jobs of its size
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


@dataclass(slots=True)
class OrderPass:
    """How far a pass over the jobs of one rank and service is.

    Attributes
    ----------
    loads : list of JobLoad
        The jobs.
    wall_ms : int
        Time of the pass as Unix time, in ms.
    begin_ms : float
        Time at which the next job would start, as Unix time, in ms.
    taken : list of tuple of JobLoad and int
        Jobs in order, with the demotions that they had when they were taken; one that
        was demoted later does not count there.
    waiting : list of tuple of float, int and int
        Heap of the jobs to take: latest start, time of acceptance and index.
    victims : list of tuple of float, int and int
        Heap of the jobs taken, the one with the most work for its loss first: negative
        work by loss, index, and demotions that the loss is for.
    """

    loads: list[JobLoad]
    wall_ms: int
    begin_ms: float
    taken: list[tuple[JobLoad, int]] = field(default_factory=list)
    waiting: list[tuple[float, int, int]] = field(default_factory=list)
    victims: list[tuple[float, int, int]] = field(default_factory=list)
