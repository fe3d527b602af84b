"""The scheduler's working state of jobs: plans and their tasks."""

from dataclasses import dataclass, field
from enum import StrEnum
from itertools import accumulate

from kingcuppost.batch.tables.job import (
    Job,
    JobState,
    MinionIncarnation,
    TaskName,
    TaskPhase,
)

__all__ = ["EstimateError", "Plan", "PlanPhase", "Task"]


@dataclass(slots=True)
class Task:
    """A task in the scheduler's plan.

    Times are readings of the monotonic clock, unless described as Unix times.

    Attributes
    ----------
    name : TaskName
        Name of the task.
    phase : TaskPhase
        Whether the task waits, has a run, or is done.
    run : int
        Number of its newest run; 0 before the first.
    failures : int
        Number of failed runs.
    incarnation : MinionIncarnation or None
        Minion incarnation where its run is placed.
    sidecar : str
        Sidecar of the minion where its run is placed.
    placed_ms : int
        Unix time at which its run was placed, in ms.
    checkpoint : str
        Newest checkpoint; empty for none.
    checkpoint_ms : int
        Unix time at which that checkpoint was first reported, in ms.
    plan_version : int
        Version of the plan that placed the run.
    start_sent_ms : int or None
        Time at which the start was last sent to the sidecar.
    reported_ms : int or None
        Time of the newest report of the run; before the first, time at which its start
        was first sent; None before that.
    confirmed : bool
        Whether the minion has reported the run.
    running_since_ms : int or None
        Time at which the first reported percentage was read.
    stopping : bool
        Whether the run is to be stopped.
    stop_requested_ms : int
        Time at which the stop was first requested, while the run is to be stopped.
    stop_sent_ms : int or None
        Time at which the stop was last sent to the sidecar.
    was_lost : bool
        Whether the run was lost with an earlier incarnation of its minion, where it is
        stopped so that no copy of its start is carried out any more.
    percent : int
        Percentage of the run's work that is done, as reported by the minion.
    initial_percent : int
        Percentage that was done when the run was first reported.
    percent_changed_ms : int
        Time at which the reported percentage was read first.
    percent_read_ms : int
        Time at which it was read last.
    was_migrated : bool
        Whether a run of it was stopped because its minion was slow.
    last_failed_run : int
        Newest run of the gang that was counted as failed; set at its first member.
    avoided_minions : set of str
        Minions where a run of it failed, did not begin, made no progress or was slow.
    avoid_until_ms : int
        Time until which it waits for other minions rather than run on one of those.
    reserved_incarnation : MinionIncarnation or None
        Minion incarnation where runs are stopped to make room for it.
    reserved_until_ms : int
        Time until which that room is kept for it.
    """

    name: TaskName
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    failures: int = 0
    incarnation: MinionIncarnation | None = None
    sidecar: str = ""
    placed_ms: int = 0
    checkpoint: str = ""
    checkpoint_ms: int = 0
    plan_version: int = 0
    start_sent_ms: int | None = None
    reported_ms: int | None = None
    confirmed: bool = False
    running_since_ms: int | None = None
    stopping: bool = False
    stop_requested_ms: int = 0
    stop_sent_ms: int | None = None
    was_lost: bool = False
    percent: int = 0
    initial_percent: int = 0
    percent_changed_ms: int = 0
    percent_read_ms: int = 0
    last_failed_run: int = 0
    was_migrated: bool = False
    avoided_minions: set[str] = field(default_factory=set)
    avoid_until_ms: int = 0
    reserved_incarnation: MinionIncarnation | None = None
    reserved_until_ms: int = 0

    @property
    def percent_unchanged_ms(self) -> int:
        """Return how long the percentage had not changed when it was read last."""
        return self.percent_read_ms - self.percent_changed_ms


@dataclass(slots=True)
class EstimateError:
    """Deviation of a step's runs from the caller's estimate.

    Attributes
    ----------
    log_sum : float
        Sum of the logarithms of the estimate divided by the duration at speed 1.0.
    count : int
        Number of runs in the sum.
    """

    log_sum: float = 0.0
    count: int = 0

    @property
    def mean_log(self) -> float:
        """Return the mean logarithm, damped by one extra run that fits the estimate."""
        return self.log_sum / (self.count + 1)


class PlanPhase(StrEnum):
    """Phase of the scheduler's work on a job.

    Attributes
    ----------
    OPEN
        The job has not ended.
    CLOSING
        The job has ended, and its remaining runs are being stopped.
    OVER
        The job has ended and has no runs left.
    """

    OPEN = "open"
    CLOSING = "closing"
    OVER = "over"


@dataclass(slots=True)
class Plan:
    """The scheduler's working state of a job.

    Attributes
    ----------
    job : Job
        Row of the job in the agreed state.
    tasks : list of list of Task
        Tasks by step and index.
    phase_counts : dict of TaskPhase to int
        Number of tasks in each phase; `task_phases` keeps it up to date.
    state : JobState
        State for the next progress record.
    phase : PlanPhase
        Phase of the scheduler's work on the job.
    begun : bool
        Whether a minion has begun a run of a task.
    version : int
        Increases with each change.
    committed_version : int
        Newest version whose record is in the log.
    changed_parts : dict of int to None
        Parts with tasks that differ from the newest record, in the order of the oldest
        change; only for a plan that is written in parts.
    step_starts : list of int
        Number of tasks before each step.
    has_new_checkpoint : bool
        Whether a checkpoint is newer than the newest record of the plan.
    over_ms : int or None
        Time at which this process found that the job is over.
    estimate_errors : dict of int to EstimateError
        Deviation of the runs from the estimates, by step.
    """

    job: Job
    tasks: list[list[Task]]
    phase_counts: dict[TaskPhase, int] = field(init=False)
    state: JobState = JobState.QUEUED
    phase: PlanPhase = PlanPhase.OPEN
    begun: bool = False
    version: int = 0
    committed_version: int = 0
    changed_parts: dict[int, None] = field(default_factory=dict)
    step_starts: list[int] = field(init=False)
    has_new_checkpoint: bool = False
    over_ms: int | None = None
    estimate_errors: dict[int, EstimateError] = field(default_factory=dict)

    def __post_init__(self) -> None:
        counts = [len(step) for step in self.tasks]
        self.step_starts = [0, *accumulate(counts)][:-1]
        self.phase_counts = dict.fromkeys(TaskPhase, 0)
        for step in self.tasks:
            for task in step:
                self.phase_counts[task.phase] += 1
