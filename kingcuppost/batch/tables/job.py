"""Jobs, their steps and tasks, and what the scheduler plans for them."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "Job",
    "JobState",
    "MinionIncarnation",
    "Plan",
    "PlanState",
    "EstimateError",
    "RunEnd",
    "StepSpec",
    "Task",
    "TaskName",
    "TaskPhase",
    "JobPolicy",
]


class JobState(StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskPhase(StrEnum):
    """What the scheduler has in mind for a task.

    `PLACED` covers a run from its decision to its sure end: the run may not have
    begun, or may be over without the scheduler's knowing.
    """

    WAITING = "w"
    PLACED = "p"
    DONE = "d"


class RunEnd(StrEnum):
    """How a run ended."""

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
        """Return the name that a text spells.

        Raises
        ------
        ValueError
            If the text is none.
        """
        job, occurrence, step, index = text.split(".")
        return cls(job, int(occurrence), int(step), int(index))


@dataclass(frozen=True, slots=True)
class MinionIncarnation:
    """One life of a minion, from its start to its end.

    Attributes
    ----------
    minion : str
        Identifier of the minion.
    born_ms : int
        Unix time of its start, in ms.
    """

    minion: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class StepSpec:
    """What the tasks of one step need.

    Attributes
    ----------
    count : int
        Number of tasks.
    cpu_millis : int
        Thousandths of a core for each task.
    memory_mb, accelerators : int
        Memory in MB and accelerators for each task.
    estimate_ms : int
        The caller's rough estimate of a task's time.
    needs : tuple of int
        Steps whose tasks must all be done first.
    gang : bool
        Whether the tasks work only together.
    one_rack : bool
        Whether the tasks are slow unless all run in one rack.
    label : str
        Label that a minion must have; empty for none.
    rack : str
        Rack where the data lies; empty for none.
    most_per_minion : int
        Most tasks of the step on one minion; 0 for any number.
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
    """What the queue promised when a job was accepted.

    Attributes
    ----------
    service : str
        Service whose minions run the job.
    priority : int
        0 comes first and may stop others.
    most_failures : int
        Failed runs of one task after which the job has failed.
    slack_factor : float
        Objective in multiples of the longest chain of work.
    """

    service: str = ""
    priority: int = 1
    most_failures: int = 1
    slack_factor: float = 1.0


@dataclass(slots=True)
class Job:
    """A job as the log tells it, the same in every entry.

    Attributes
    ----------
    id : str
        Identifier that the caller chose.
    queue, team : str
        Queue that it came by, and the team that it belongs to.
    spec : str
        Text that is handed to every task.
    steps : tuple of StepSpec
        Steps in order.
    accepted_ms : int
        Unix time at which an entry took it, in ms.
    offset : int
        Offset of the record that submitted it.
    policy : Terms
        What its queue promised; they outlive the queue.
    cancelled : bool
        Whether a caller has cancelled it.
    state : JobState
        Its state by the newest progress record.
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
    """One task in a progress record."""

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
    """What a progress record says of a job."""

    state: JobState
    begun: bool
    tasks: tuple[TaskProgress, ...]


@dataclass(slots=True)
class Task:
    """A task in the scheduler's plan.

    Attributes
    ----------
    name : TaskName
        Name of the task.
    phase : TaskPhase
        Whether it waits, has a run, or is done.
    run : int
        Number of its newest run; 0 before the first.
    failures : int
        Runs that ended as failed.
    incarnation : Life or None
        Where its run is placed.
    sidecar : str
        Sidecar of the minion where its run is placed.
    placed_ms : int
        Unix time at which its run was placed, in ms.
    checkpoint : str
        Newest checkpoint; empty for none.
    checkpoint_ms : int
        Unix time at which it was first seen, in ms.
    version : int
        Version of the plan that placed the run.
    sent_ms : int or None
        When the start was last handed to the sidecar.
    confirmed : bool
        Whether the minion was seen to have the run.
    running_since_ms : int or None
        When the run was first seen.
    stopping : bool
        Whether the run is to be stopped.
    stop_sent_ms : int or None
        When the stop was last handed to the sidecar.
    percent : int
        How much of the run's work is done, as the minion says.
    initial_percent : int
        What it said when the run was first seen.
    percent_changed_ms : int
        When the percentage last changed.
    was_migrated : bool
        Whether a run of it was stopped since its minion was slow.
    last_failed_run : int
        Newest run of the gang that was counted as failed; at its first member.
    avoided_minions : set of str
        Minions on which a run of it has failed.
    avoid_until_ms : int
        Until when it rather waits than runs there again.
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
    version: int = 0
    sent_ms: int | None = None
    confirmed: bool = False
    running_since_ms: int | None = None
    stopping: bool = False
    stop_sent_ms: int | None = None
    percent: int = 0
    initial_percent: int = 0
    percent_changed_ms: int = 0
    last_failed_run: int = 0
    was_migrated: bool = False
    avoided_minions: set[str] = field(default_factory=set)
    avoid_until_ms: int = 0


@dataclass(slots=True)
class EstimateError:
    """How the runs of a step compare with the caller's estimate.

    Attributes
    ----------
    log_sum : float
        Sum of the logarithms of estimate over time taken at speed 1.0.
    count : int
        Number of runs in the sum.
    """

    log_sum: float = 0.0
    count: int = 0

    @property
    def mean_log(self) -> float:
        """Return the mean logarithm, with one more run that fits the estimate."""
        return self.log_sum / (self.count + 1)


class PlanState(StrEnum):
    """Whether the scheduler still has work with a job."""

    OPEN = "open"
    CLOSING = "closing"
    OVER = "over"


@dataclass(slots=True)
class Plan:
    """The scheduler's working view of a job.

    Attributes
    ----------
    job : Job
        The agreed row.
    tasks : list of list of Task
        Tasks by step and index.
    state : JobState
        State that goes into the next progress record.
    phase : PlanState
        `CLOSING` while runs of an ended job are stopped.
    version : int
        Grows with each change.
    committed : int
        Newest version that is in the log.
    has_new_checkpoint : bool
        Whether a checkpoint is newer than its last record.
    over_ms : int or None
        When this process found the job to be over.
    estimate_errors : dict of int to EstimateError
        What runs have told of the estimates, by step.
    """

    job: Job
    tasks: list[list[Task]]
    state: JobState = JobState.QUEUED
    phase: PlanState = PlanState.OPEN
    begun: bool = False
    version: int = 0
    committed: int = 0
    has_new_checkpoint: bool = False
    over_ms: int | None = None
    estimate_errors: dict[int, EstimateError] = field(default_factory=dict)
