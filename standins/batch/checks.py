"""Promises, checked from what callers and minions see."""

from collections import defaultdict
from collections.abc import Callable

from kingcuppost.batch.tables.job import JobState, RunEnd, TaskName
from kingcuppost.batch.tables.messages import EndedRun

__all__ = ["Checks"]

CANCEL_MS = 3_000


class Checks:
    """Notes what happens and keeps a line for each broken promise."""

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.live: dict[TaskName, set[int]] = defaultdict(set)
        self.done: set[TaskName] = set()
        self.settled: set[TaskName] = set()
        self.failures: dict[TaskName, int] = defaultdict(int)
        self.starts = 0
        self.ends: dict[RunEnd, int] = defaultdict(int)
        self.jobs: dict[str, list[int]] = {}
        self.needs: dict[str, tuple[tuple[int, ...], ...]] = {}
        self.gangs: dict[str, tuple[bool, ...]] = {}
        self.most_failures: dict[str, int] = {}
        self.is_calm = False
        self.cancelled: dict[str, int] = {}
        self.now_ms: Callable[[], int] = lambda: 0

    def submitted(
        self,
        job_id: str,
        counts: list[int],
        needs: tuple[tuple[int, ...], ...],
        gangs: tuple[bool, ...],
        most_failures: int,
    ) -> None:
        """Note a job that a caller has handed in."""
        self.jobs[job_id] = counts
        self.needs[job_id] = needs
        self.gangs[job_id] = gangs
        self.most_failures[job_id] = most_failures

    def _members(self, task: TaskName) -> list[TaskName]:
        if not self.gangs[task.job][task.step]:
            return [task]
        count = self.jobs[task.job][task.step]
        return [TaskName(task.job, 0, task.step, index) for index in range(count)]

    def started(self, minion: str, task: TaskName, run: int, checkpoint: str) -> None:
        """Check a start."""
        self.starts += 1
        if task.job not in self.jobs:
            self.broken.append(f"UNASKED {task} run {run} at {minion}")
            return
        cancelled_ms = self.cancelled.get(task.job)
        if cancelled_ms is not None and self.now_ms() - cancelled_ms > CANCEL_MS:
            self.broken.append(f"UNASKED {task} run {run} after its cancelling")
        if self.live[task]:
            self.broken.append(f"TWICE {task} run {run} beside {self.live[task]}")
        if task in self.settled:
            self.broken.append(f"TWICE {task} run {run} after it was done")
        if self.failures[task] >= self.most_failures[task.job]:
            self.broken.append(f"BUDGET {task} run {run}")
        for needed in self.needs[task.job][task.step]:
            for index in range(self.jobs[task.job][needed]):
                if TaskName(task.job, 0, needed, index) not in self.done:
                    self.broken.append(f"ORDER {task} before step {needed}")
                    return
        self.live[task].add(run)

    def ended(self, minion: str, task: TaskName, run: int, how: RunEnd) -> None:
        """Note an end."""
        self.live[task].discard(run)
        self.ends[how] += 1
        if how is RunEnd.DONE:
            self.done.update(self._members(task))
        elif how is RunEnd.FAILED:
            self.failures[task] += 1
        elif how is RunEnd.ALONE and self.is_calm:
            self.broken.append(f"GANG {task} run {run} was alone at {minion}")

    def lost(self, task: TaskName, run: int) -> None:
        """Note a run that went with its minion."""
        self.live[task].discard(run)
        self.ends[RunEnd.LOST] += 1

    def noted(self, minion: str, ends: list[EndedRun]) -> None:
        """Note ends that the system has taken note of."""
        for end in ends:
            if end.how is RunEnd.DONE:
                self.settled.update(self._members(end.task))

    def shown(self, job_id: str, state: JobState) -> None:
        """Check a state that a caller was shown."""
        if state is not JobState.COMPLETED:
            return
        for step, count in enumerate(self.jobs[job_id]):
            for index in range(count):
                if TaskName(job_id, 0, step, index) not in self.done:
                    self.broken.append(f"MIXED {job_id} step {step} task {index}")
                    return
