"""Checks of the scheduler's guarantees, from what callers and minions observe."""

from collections import defaultdict
from collections.abc import Callable

from kingcuppost.batch.tables.job import JobState, RunEnd, TaskName
from kingcuppost.batch.tables.messages import EndedRun

__all__ = ["Checks"]

# A start within this time after an accepted cancellation is no violation, because the
# scheduler may have ordered it before the cancellation.
CANCEL_GRACE_MS = 3_000


class Checks:
    """Records submissions, starts and ends of runs, and each violated guarantee.

    Attributes
    ----------
    violations : list of str
        One line for each violated guarantee, which its first word names: ``UNASKED``
        for a run that no caller has requested, or that does not start from the
        checkpoint of its gang, ``TWICE`` for a second run of a task,
        ``BUDGET`` for a run after too many failures, ``ORDER`` for a step that starts
        too early, ``GANG`` for a gang member without its gang, ``MIXED`` for a job
        shown as completed before its tasks are.
    live_runs : dict of TaskName to set of int
        Runs that minions have started and not ended.
    completed_tasks : set of TaskName
        Tasks with a run that was done; for a gang all tasks of its step.
    acknowledged_tasks : set of TaskName
        Completed tasks whose end the scheduler has acknowledged; they must not start
        again.
    failure_counts : dict of TaskName to int
        Number of failed runs of each task.
    starts : int
        Number of all starts.
    last_start_ms : dict of str to int
        Time of the newest start of a single task of each job, in ms.
    ends : dict of RunEnd to int
        Number of run ends of each kind.
    task_counts : dict of str to list of int
        Number of tasks in each step of a job.
    needs : dict of str to tuple of tuple of int
        For each step of a job, the steps that must be complete before it starts.
    gangs : dict of str to tuple of bool
        For each step of a job, whether its tasks are a gang.
    gang_checkpoints : dict of tuple of str, int and int to str
        Checkpoint that the run of a gang started from, by job, step and run.
    max_failures : dict of str to int
        Number of failed runs after which a task of the job must not start again.
    expects_no_faults : bool
        Whether a gang member that ran alone counts as a violation.
    cancelled : dict of str to int
        Time at which the cancellation of a job was accepted, in ms.
    now_ms : callable
        Returns the current time, in ms.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.live_runs: dict[TaskName, set[int]] = defaultdict(set)
        self.completed_tasks: set[TaskName] = set()
        self.acknowledged_tasks: set[TaskName] = set()
        self.failure_counts: dict[TaskName, int] = defaultdict(int)
        self.starts = 0
        self.last_start_ms: dict[str, int] = {}
        self.ends: dict[RunEnd, int] = defaultdict(int)
        self.task_counts: dict[str, list[int]] = {}
        self.needs: dict[str, tuple[tuple[int, ...], ...]] = {}
        self.gangs: dict[str, tuple[bool, ...]] = {}
        self.gang_checkpoints: dict[tuple[str, int, int], str] = {}
        self.max_failures: dict[str, int] = {}
        self.expects_no_faults = False
        self.cancelled: dict[str, int] = {}
        self.now_ms: Callable[[], int] = lambda: 0

    def record_job(
        self,
        job_id: str,
        counts: list[int],
        needs: tuple[tuple[int, ...], ...],
        gangs: tuple[bool, ...],
        max_failures: int,
    ) -> None:
        """Record a job that a caller has submitted."""
        self.task_counts[job_id] = counts
        self.needs[job_id] = needs
        self.gangs[job_id] = gangs
        self.max_failures[job_id] = max_failures

    def _tasks_ended_together(self, task: TaskName) -> list[TaskName]:
        if not self.gangs[task.job][task.step]:
            return [task]
        count = self.task_counts[task.job][task.step]
        return [TaskName(task.job, 0, task.step, index) for index in range(count)]

    def record_start(
        self, minion: str, task: TaskName, run: int, checkpoint: str
    ) -> None:
        """Record the start of a run and check that it was allowed."""
        self.starts += 1
        if task.job not in self.task_counts:
            self.violations.append(f"UNASKED {task} run {run} at {minion}")
            return
        if self.gangs[task.job][task.step]:
            self._check_gang_checkpoint(task, run, checkpoint)
        else:
            self.last_start_ms[task.job] = self.now_ms()
        cancelled_ms = self.cancelled.get(task.job)
        if cancelled_ms is not None and self.now_ms() - cancelled_ms > CANCEL_GRACE_MS:
            self.violations.append(f"UNASKED {task} run {run} after its cancelling")
        if self.live_runs[task]:
            self.violations.append(
                f"TWICE {task} run {run} beside {self.live_runs[task]}"
            )
        if task in self.acknowledged_tasks:
            self.violations.append(f"TWICE {task} run {run} after it was done")
        if self.failure_counts[task] >= self.max_failures[task.job]:
            self.violations.append(f"BUDGET {task} run {run}")
        for needed in self.needs[task.job][task.step]:
            for index in range(self.task_counts[task.job][needed]):
                if TaskName(task.job, 0, needed, index) not in self.completed_tasks:
                    self.violations.append(f"ORDER {task} before step {needed}")
                    return
        self.live_runs[task].add(run)

    def _check_gang_checkpoint(self, task: TaskName, run: int, checkpoint: str) -> None:
        """Check that all members of a run of a gang start from one checkpoint."""
        key = (task.job, task.step, run)
        expected = self.gang_checkpoints.setdefault(key, checkpoint)
        if checkpoint != expected:
            self.violations.append(
                f"UNASKED {task} run {run} from {checkpoint!r}, its gang {expected!r}"
            )

    def record_end(self, minion: str, task: TaskName, run: int, how: RunEnd) -> None:
        """Record the end of a run."""
        self.live_runs[task].discard(run)
        self.ends[how] += 1
        if how is RunEnd.DONE:
            self.completed_tasks.update(self._tasks_ended_together(task))
        elif how is RunEnd.FAILED:
            self.failure_counts[task] += 1
        elif how is RunEnd.ALONE and self.expects_no_faults:
            self.violations.append(f"GANG {task} run {run} was alone at {minion}")

    def record_lost_run(self, task: TaskName, run: int) -> None:
        """Record a run that was lost with its minion."""
        self.live_runs[task].discard(run)
        self.ends[RunEnd.LOST] += 1

    def record_acknowledged(self, minion: str, ends: list[EndedRun]) -> None:
        """Record run ends that the scheduler has acknowledged."""
        for end in ends:
            if end.run_end is RunEnd.DONE:
                self.acknowledged_tasks.update(self._tasks_ended_together(end.task))

    def check_shown_state(self, job_id: str, state: JobState) -> None:
        """Check that a job shown as completed has a completed run of each task."""
        if state is not JobState.COMPLETED:
            return
        for step, count in enumerate(self.task_counts[job_id]):
            for index in range(count):
                if TaskName(job_id, 0, step, index) not in self.completed_tasks:
                    self.violations.append(f"MIXED {job_id} step {step} task {index}")
                    return
