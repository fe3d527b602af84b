"""State of the order under overload: demotions of jobs, and the work that runs."""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from kingcuppost.batch.tables.job import StepSpec, TaskName
from kingcuppost.batch.tables.resources import Resources

__all__ = ["OrderState", "Rate", "RunForecast", "RunningWork", "ServedShare"]


class Rate(NamedTuple):
    """Work that the minions of a service do at a time, by resource.

    Each minion counts with its speed.
    """

    cpu_millis: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0


@dataclass(slots=True)
class OrderState:
    """How the order under overload has treated a job that waits.

    Attributes
    ----------
    is_large : bool
        Whether the job was among the largest tenth of its rank when it was first seen.
    demotions : int
        0 if the job is planned to be in time, 1 if late, 2 if it comes last because its
        result is expected to be of no use.
    """

    is_large: bool
    demotions: int = 0


@dataclass(slots=True)
class ServedShare:
    """Jobs of one rank that were seen lately, and those expected to be of no use.

    Attributes
    ----------
    recent_work, sorted_work : deque of float, list of float
        Work of the newest jobs, in the order of their arrival and sorted.
    seen, lost : int
        Number of jobs, and of those that come last.
    seen_large, lost_large : int
        The same for the largest tenth.
    """

    recent_work: deque[float] = field(default_factory=deque)
    sorted_work: list[float] = field(default_factory=list)
    seen: int = 0
    lost: int = 0
    seen_large: int = 0
    lost_large: int = 0


class RunForecast(NamedTuple):
    """What is expected of a run when it is placed.

    Attributes
    ----------
    end_ms : int
        Expected end as Unix time, in ms.
    estimate_ms : int
        Expected duration.
    step : StepSpec
        Demand of the run.
    """

    end_ms: int
    estimate_ms: int
    step: StepSpec


@dataclass(slots=True)
class RunningWork:
    """Runs of one service and priority that are expected to go on for a while.

    The sums are integers, so that they do not drift.

    Attributes
    ----------
    runs : dict of TaskName to RunForecast
        Expected end and demand of each run.
    ends : list of tuple of int and TaskName
        Heap of the expected ends; also holds those of runs that ended before.
    used : Resources
        Capacity that the runs occupy.
    end_sums : Resources
        Sum of each run's demand multiplied by its expected end.
    weight, weighted_ms : int
        Sum of the runs' weights, in thousandths of a core, and of each one's weight
        multiplied by its expected duration.
    """

    runs: dict[TaskName, RunForecast] = field(default_factory=dict)
    ends: list[tuple[int, TaskName]] = field(default_factory=list)
    used: Resources = field(default_factory=Resources)
    end_sums: Resources = field(default_factory=Resources)
    weight: int = 0
    weighted_ms: int = 0
