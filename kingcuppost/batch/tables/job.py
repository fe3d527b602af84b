"""Jobs, their steps, and the progress of their tasks as the log stores it."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "ENDED_STATES",
    "MAX_JOB_TASKS",
    "Job",
    "JobPolicy",
    "JobState",
    "MinionIncarnation",
    "Progress",
    "ProgressParts",
    "RunEnd",
    "StepSpec",
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
        Whether a minion has begun a run of a task.
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
    started_from : str or None
        Checkpoint that the placed run of a gang's member starts from; None if it is the
        same.
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
    started_from: str | None = None


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
