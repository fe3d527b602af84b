"""Jobs, their steps and tasks, and the scheduler's plans for them."""

from dataclasses import dataclass, field
from enum import StrEnum
from itertools import accumulate

__all__ = [
    "ENDED_STATES",
    "MAX_JOB_TASKS",
    "EstimateError",
    "Job",
    "JobPolicy",
    "JobState",
    "MinionIncarnation",
    "Plan",
    "PlanPhase",
    "Progress",
    "ProgressParts",
    "RunEnd",
    "StepSpec",
    "Task",
    "TaskName",
    "TaskPhase",
]

MAX_JOB_TASKS = 10_000  # more than the tasks of all jobs at the size to design for


class JobState(StrEnum):
    """State of a job, as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_STATES = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class TaskPhase(StrEnum):
    """Phase of a task in the scheduler's plan.

    `PLACED` lasts from the decision on a run until its end is confirmed: the run may
    not have begun yet, or may have ended without the scheduler's knowledge.
    """

    WAITING = "w"
    PLACED = "p"
    DONE = "d"


class RunEnd(StrEnum):
    """How a run ended.

    Attributes
    ----------
    DONE, FAILED, STOPPED
        The work was completed, failed, or was stopped by an order.
    LAPSED
        The lease expired at the minion.
    BROKEN
        Another member of the gang was missing or being stopped.
    ALONE
        The other members of the gang did not start within `Bounds.gang_ms`.
    REFUSED
        The run never began and cannot begin later.
    LOST
        The minion lease expired, or the minion's incarnation ended, before the end of
        the run was reported.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True, order=True)
class TaskName:
    """Name of a task.

    Attributes
    ----------
    job : str
        Identifier of the job.
    occurrence : int
        Number of the repetition of the job; always 0, since repeated jobs are not
        supported.
    step, index : int
        Index of the step in the job, and of the task in the step.

    Examples
    --------
    >>> str(TaskName("5c0e7a21d94b36f8", 0, 1, 17))
    '5c0e7a21d94b36f8.0.1.17'
    >>> TaskName.parse("5c0e7a21d94b36f8.0.1.17").step
    1
    """

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> "TaskName":
        """Return the task name in a text.

        Raises
        ------
        ValueError
            If the text is not a task name.
        """
        job, occurrence, step, index = text.split(".")
        return cls(job, int(occurrence), int(step), int(index))


@dataclass(frozen=True, slots=True)
class MinionIncarnation:
    """One incarnation of a minion, from its start to its end.

    Attributes
    ----------
    minion : str
        Identifier of the minion.
    born_ms : int
        Unix time of the start, in ms.
    """

    minion: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class StepSpec:
    """Requirements of the tasks of one step.

    Attributes
    ----------
    count : int
        Number of tasks.
    cpu_millis : int
        Processor capacity for each task, in thousandths of a core.
    memory_mb, accelerators : int
        Memory in MB and accelerators for each task.
    estimate_ms : int
        The caller's rough estimate of a task's duration; 0 if there is none.
    needs : tuple of int
        Indices of the steps whose tasks must all be completed first.
    gang : bool
        Whether the tasks make progress only while all of them run.
    one_rack : bool
        Whether the tasks are slow unless all of them run in one rack.
    label : str
        Label that a minion must have; empty for none.
    rack : str
        Rack that holds the data; empty for none.
    most_per_minion : int
        Maximum number of tasks of the step on one minion; 0 for no limit.
    saves : bool
        Whether the tasks checkpoint their progress.
    """

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    needs: tuple[int, ...] = ()
    gang: bool = False
    one_rack: bool = False
    label: str = ""
    rack: str = ""
    most_per_minion: int = 0
    saves: bool = False


@dataclass(frozen=True, slots=True)
class JobPolicy:
    """Settings of a job's queue when the job was accepted.

    Attributes
    ----------
    service : str
        Service whose minions run the job.
    priority : int
        0 is the most urgent and may preempt others.
    most_failures : int
        Number of failed runs of one task after which the job fails.
    slack_factor : float
        Target time of the job as a multiple of its critical path.
    """

    service: str = ""
    priority: int = 1
    most_failures: int = 1
    slack_factor: float = 1.0


@dataclass(slots=True)
class Job:
    """A job, derived from the log and therefore the same in all entries.

    Attributes
    ----------
    id : str
        Identifier that the caller chose.
    queue, team : str
        Queue to which it was submitted, and team that it belongs to.
    spec : str
        Text that is passed to every task.
    steps : tuple of StepSpec
        Steps in order.
    accepted_ms : int
        Unix time at which an entry accepted it, in ms.
    offset : int
        Offset of the record that submitted it; -1 until that record is read.
    policy : JobPolicy
        Settings of its queue when it was accepted; kept if the queue is removed.
    cancelled : bool
        Whether a caller has cancelled it.
    state : JobState
        Its state in the newest progress record; queued if there is none.
    begun : bool
        Whether a run of a task was ever placed.
    progress : Progress or None
        The newest progress record.
    """

    id: str
    queue: str
    team: str
    spec: str
    steps: tuple[StepSpec, ...]
    accepted_ms: int
    offset: int
    policy: JobPolicy = JobPolicy()
    cancelled: bool = False
    state: JobState = JobState.QUEUED
    begun: bool = False
    progress: "Progress | None" = None


@dataclass(frozen=True, slots=True)
class TaskProgress:
    """Progress of one task, as a progress record stores it.

    Attributes
    ----------
    minion, born_ms : str, int
        Minion incarnation where the run is placed; empty and 0 if no run is placed.
    sidecar : str
        Sidecar of that minion; empty if no run is placed.
    placed_ms : int
        Unix time at which the run was placed, in ms; 0 if no run is placed.
    checkpoint : str
        Newest checkpoint; empty for none, and for a task that is done.
    """

    step: int
    index: int
    phase: TaskPhase
    run: int
    failures: int
    minion: str
    born_ms: int
    sidecar: str
    placed_ms: int
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Progress:
    """Progress of a job, as a progress record stores it.

    Tasks that never had a run are left out.
    """

    state: JobState
    begun: bool
    tasks: tuple[TaskProgress, ...]


@dataclass(slots=True)
class ProgressParts:
    """Progress of a job's tasks that was stored in parts, after its progress record.

    Attributes
    ----------
    rows : dict of int to tuple of TaskProgress
        Newest rows of each part.
    newest_offset : int
        Offset of the newest part, which has the state of the job.
    """

    rows: dict[int, tuple[TaskProgress, ...]] = field(default_factory=dict)
    newest_offset: int = -1


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
    confirmed : bool
        Whether the minion has reported the run.
    running_since_ms : int or None
        Time at which the run was first reported.
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
        Time at which the reported percentage last changed.
    was_migrated : bool
        Whether a run of it was stopped because its minion was slow.
    last_failed_run : int
        Newest run of the gang that was counted as failed; set at its first member.
    avoided_minions : set of str
        Minions where a run of it failed, made no progress or was slow.
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
    confirmed: bool = False
    running_since_ms: int | None = None
    stopping: bool = False
    stop_requested_ms: int = 0
    stop_sent_ms: int | None = None
    was_lost: bool = False
    percent: int = 0
    initial_percent: int = 0
    percent_changed_ms: int = 0
    last_failed_run: int = 0
    was_migrated: bool = False
    avoided_minions: set[str] = field(default_factory=set)
    avoid_until_ms: int = 0
    reserved_incarnation: MinionIncarnation | None = None
    reserved_until_ms: int = 0


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
        Whether a run of a task was ever placed.
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
