"""Measures ticks of the holder at several sizes, with the same changes at each."""

from collections.abc import Callable
from dataclasses import dataclass
from statistics import quantiles
from time import perf_counter

from bench.holder import Holder
from kingcuppost.batch.tables.job import StepSpec

__all__ = ["SIZES", "TickTimes", "measure_holder"]

SIZES = (160, 540, 1_600)  # minions
RUNNING_TASKS = 10_000
TASKS_PER_JOB = 200
TICK_COUNT = 300
TICK_PERIOD_MS = 1  # the other sidecars wait for their answers all the while
MS_PER_SECOND = 1_000
FILLING = StepSpec(TASKS_PER_JOB, cpu_millis=1_000, memory_mb=100, estimate_ms=60_000)
SMALL = StepSpec(1, cpu_millis=500, memory_mb=100, estimate_ms=1_000)


@dataclass(frozen=True, slots=True)
class TickTimes:
    """Durations of ticks, in ms.

    Attributes
    ----------
    report_p50, report_p99 : float
        Ticks with one report without news.
    decision_p50, decision_p99 : float
        Ticks with one run that has ended and one new urgent job.
    """

    report_p50: float
    report_p99: float
    decision_p50: float
    decision_p99: float


def _time_ms(run: Callable[[], None]) -> float:
    start_s = perf_counter()
    run()
    return (perf_counter() - start_s) * MS_PER_SECOND


def measure_holder(minions: int) -> TickTimes:
    """Return the tick times beside a fleet with `RUNNING_TASKS` running tasks."""
    holder = Holder(minions)
    for _ in range(RUNNING_TASKS // TASKS_PER_JOB):
        holder.submit((FILLING,))
        holder.tick()
    holder.settle()
    reports, decisions = [], []
    for number in range(TICK_COUNT):
        index = number % minions
        holder.report(index)
        reports.append(_time_ms(holder.tick))
        runs = list(holder.running[f"side-{index}"])
        holder.report(index, ended=tuple(runs[:1]))
        holder.submit((SMALL,), priority=0)
        decisions.append(_time_ms(holder.tick))
        holder.clock.advance(TICK_PERIOD_MS)
    report, decision = (quantiles(times, n=100) for times in (reports, decisions))
    return TickTimes(report[49], report[98], decision[49], decision[98])
