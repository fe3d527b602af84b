"""Measures the holder's longest ticks for work of any shape, up to what is accepted."""

from collections.abc import Callable
from dataclasses import dataclass
from time import perf_counter

from bench.holder import Holder
from bench.shapes import Steps, shapes
from kingcuppost.batch.models import encode_record
from kingcuppost.batch.tables.job import Job, JobPolicy
from kingcuppost.batch.tables.messages import JobRecord
from kingcuppost.utils import ManualClock

__all__ = ["SHAPE_MINIONS", "SHAPE_TASKS", "LongestTicks", "measure_shape"]

SHAPE_TASKS = (100, 1_000, 10_000)
SHAPE_MINIONS = (3, 160)
RECORD_BYTES = 262_144  # of the deployments' log
MS_PER_SECOND = 1_000
NEWS_TICKS = 5
MAX_TICKS = 10_000


class RunningClock(ManualClock):
    """Clock that runs, and that may be advanced besides."""

    def now_ms(self) -> int:
        """Return the current time of this clock in ms."""
        return super().now_ms() + int(perf_counter() * MS_PER_SECOND)


@dataclass(frozen=True, slots=True)
class LongestTicks:
    """Durations of the longest tick after each kind of change, in ms.

    Attributes
    ----------
    tasks : int
        Number of tasks, at most as many as the log accepts in one job.
    first : float
        After the submission, until all work is decided on.
    news : float
        After the end of one run.
    load : float
        After a new holder has begun to load the plans.
    cancel : float
        After all jobs were cancelled.
    """

    tasks: int
    first: float
    news: float
    load: float
    cancel: float


def _record_bytes(steps: Steps) -> int:
    """Return the size of the record of a job."""
    policy = JobPolicy("svc", 2, 3, 2.0)
    job = Job("0" * 16, "queue-2", "a", "work", steps, 0, -1, policy)
    key, value = encode_record(JobRecord(job))
    return len(key) + len(value)


def make_accepted(shape: str, tasks: int) -> tuple[int, list[Steps]]:
    """Return jobs of a shape that the log accepts, after their number of tasks.

    There are fewer tasks than asked for if the record of a job would be too large.
    """
    jobs = shapes[shape](tasks)
    while max(_record_bytes(steps) for steps in set(jobs)) > RECORD_BYTES:
        tasks -= max(tasks // 20, 1)
        jobs = shapes[shape](tasks)
    return sum(step.count for steps in jobs for step in steps), jobs


def _longest_tick_ms(holder: Holder) -> float:
    """Run ticks until nothing is left to adopt, load or decide; return the longest."""
    longest_ms = 0.0
    for _ in range(MAX_TICKS):
        start_s = perf_counter()
        holder.tick()
        longest_ms = max(longest_ms, (perf_counter() - start_s) * MS_PER_SECOND)
        schedule = holder.world.schedule
        is_idle = not (schedule.changed_jobs or schedule.decision_round)
        if schedule.is_loaded and is_idle:
            return longest_ms
    raise RuntimeError("the decision does not end")


def _report_end(holder: Holder) -> None:
    """Report the end of the first run of the first sidecar that has any."""
    for index in range(len(holder.running)):
        runs = holder.running[f"side-{index}"]
        if runs:
            holder.report(index, ended=(next(iter(runs)),))
            return


def _after(holder: Holder, change: Callable[[], None]) -> float:
    change()
    return _longest_tick_ms(holder)


def measure_shape(shape: str, tasks: int, minions: int) -> LongestTicks:
    """Return the longest ticks of a holder whose callers submit one shape of work."""
    holder = Holder(minions, RunningClock(start_ms=100_000))
    count, jobs = make_accepted(shape, tasks)
    for steps in jobs:
        holder.submit(steps)
    first = _longest_tick_ms(holder)
    holder.settle(1)
    news = [_after(holder, lambda: _report_end(holder)) for _ in range(NEWS_TICKS)]
    load = _after(holder, holder.hand_over)
    for job in holder.world.agreed.jobs:
        holder.cancel(job.id)
    return LongestTicks(count, first, max(news), load, _longest_tick_ms(holder))
