"""Measures how one task's change is written, in jobs of several widths."""

from dataclasses import dataclass
from statistics import median
from time import perf_counter

from bench.holder import Holder
from kingcuppost.batch.models import decode_record, encode_record
from kingcuppost.batch.systems.fold import fold_streams
from kingcuppost.batch.systems.plan_writing import write_plans
from kingcuppost.batch.systems.plans import (
    adopt_job,
    apply_run_end,
    mark_plan_changed,
    place_task,
)
from kingcuppost.batch.tables.job import JobState, RunEnd, StepSpec
from kingcuppost.batch.tables.messages import (
    Append,
    AppendEnded,
    AppendOutcome,
    RecordsRead,
    Stream,
)
from kingcuppost.batch.tables.task import Task
from kingcuppost.platform.framing import encode_keyed_record

__all__ = ["WIDTHS", "ChangeCost", "measure_change"]

WIDTHS = (10, 400, 4_000, 10_000)  # tasks of a job
MINIONS = 160
CHANGES = 400
MS_PER_SECOND = 1_000


@dataclass(frozen=True, slots=True)
class ChangeCost:
    """Cost of writing one task's change, and of reading it back.

    Attributes
    ----------
    size_bytes : int
        Largest append, as the log receives it.
    median_ms : float
        Time to apply a run's end to the plan, to write the plan and to read it.
    """

    size_bytes: int
    median_ms: float


class _WidePlan:
    """The plan of a job whose tasks all have a run, and the log that it is written to.

    Parameters
    ----------
    tasks : int
        Number of tasks of the job.
    """

    def __init__(self, tasks: int) -> None:
        self.holder = Holder(MINIONS)
        world = self.holder.world
        job_id = self.holder.submit((StepSpec(tasks, cpu_millis=1),))
        fold_streams(world, self.holder.clock.now_ms())
        self._offset = world.agreed.views[Stream.JOBS].end
        adopt_job(world, job_id)
        self.plan = world.schedule.plans[job_id]
        self.tasks = self.plan.tasks[0]
        for index, task in enumerate(self.tasks):
            self._place(task, index)
        self.write()

    def _place(self, task: Task, index: int) -> None:
        world = self.holder.world
        minions = list(world.schedule.minions)
        self.plan.begun = True
        self.plan.state = JobState.RUNNING
        place_task(world, self.plan, task, task.run + 1, minions[index % MINIONS])
        mark_plan_changed(world, self.plan)

    def change(self, index: int) -> int:
        """End a run, and return the bytes that are appended for it."""
        task = self.tasks[index]
        apply_run_end(self.holder.world, self.plan, task, RunEnd.STOPPED, "")
        return self.write()

    def restore(self, index: int) -> None:
        """Place a task again."""
        self._place(self.tasks[index], index)
        self.write()

    def write(self) -> int:
        """Write what has changed; return the bytes of the appends."""
        size_bytes = 0
        world = self.holder.world
        while world.schedule.unwritten_jobs or world.schedule.plan_writes.in_flight:
            write_plans(world, self.holder.clock.now_ms())
            for append in world.outbox.take(Append):
                size_bytes += self._append(append)
        return size_bytes

    def _append(self, append: Append) -> int:
        world = self.holder.world
        pairs = [encode_record(record) for record in append.records]
        first = self._offset
        self._offset += len(pairs)
        rows = [
            (offset, decode_record(*pair, "log").ok)
            for offset, pair in enumerate(pairs, first)
        ]
        now_ms = self.holder.clock.now_ms()
        world.inbox.put(RecordsRead(Stream.JOBS, rows, now_ms, self._offset))
        fold_streams(world, now_ms)
        ended = AppendEnded(append.id, AppendOutcome.DONE)
        world.schedule.append_results.append(ended)
        return sum(len(encode_keyed_record(*pair)) for pair in pairs)


def measure_change(tasks: int) -> ChangeCost:
    """Return the cost of one task's change in a job with a number of tasks."""
    wide = _WidePlan(tasks)
    sizes, times_ms = [], []
    for number in range(CHANGES):
        index = number * (tasks // 10) % tasks
        start_s = perf_counter()
        sizes.append(wide.change(index))
        times_ms.append((perf_counter() - start_s) * MS_PER_SECOND)
        wide.restore(index)
    return ChangeCost(max(sizes), median(times_ms))
