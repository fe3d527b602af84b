"""The scheduler's working state of jobs: plans and their tasks."""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import accumulate

from kingcuppost.batch.tables.job import (
    Job,
    JobState,
    TaskPhase,
)
from kingcuppost.batch.tables.overload import OrderState
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.task import Task

__all__ = [
    "Chains",
    "EstimateError",
    "GangCheckpoint",
    "Plan",
    "PlanPhase",
    "StepProgress",
]


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


@dataclass(frozen=True, slots=True)
class GangCheckpoint:
    """Newest checkpoint of a gang, from which its next run starts.

    Attributes
    ----------
    value : str
        The checkpoint; one of any member is valid for the whole gang.
    read_ms : int
        Time at which a member had it; 0 if it was loaded from the log.
    """

    value: str
    read_ms: int = 0


@dataclass(slots=True)
class StepProgress:
    """How far a step is, kept up to date with the phases of its tasks.

    Attributes
    ----------
    waiting : int
        Number of its tasks that wait.
    not_done : int
        Number of its tasks that are not done.
    open_needs : int
        Number of the steps that it depends on and that are not done.
    dependents : list of int
        Indices of the steps that depend on it, in order.
    """

    waiting: int = 0
    not_done: int = 0
    open_needs: int = 0
    dependents: list[int] = field(default_factory=list)

    @property
    def is_ready(self) -> bool:
        """Return whether tasks of the step wait for nothing but capacity."""
        return self.waiting > 0 and not self.open_needs


@dataclass(slots=True)
class Chains:
    """Longest chains of work of a job, by its estimates and a service's capacity.

    Attributes
    ----------
    capacity : Resources
        Capacity of all minions of the job's service.
    work_ms : list of float
        Duration of each step at speed 1.0, in ms.
    chains_ms : list of float
        Longest chain of work from each step on, in ms.
    path_ms : float
        Longest of these chains, in ms.
    """

    capacity: Resources
    work_ms: list[float]
    chains_ms: list[float]
    path_ms: float


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
    gang_checkpoints : dict of int to GangCheckpoint
        Newest checkpoint of each gang that has one, by step.
    over_ms : int or None
        Time at which this process found that the job is over.
    estimate_errors : dict of int to EstimateError
        Deviation of the runs from the estimates, by step.
    step_progress : list of StepProgress
        How far each step is; `task_phases` keeps it up to date.
    widest_accelerators : int
        Accelerators that the tasks of one step need together; of the step that needs
        most.
    ready_steps : dict of int to None
        Steps with tasks that wait for nothing but capacity, in no particular order.
    chains : Chains or None
        The longest chains of work; None until they are needed.
    changed_estimates : dict of int to None
        Steps whose estimate was corrected since the chains were brought up to date.
    order_state : OrderState or None
        How the order under overload has treated the job; None before it is first seen.
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
    gang_checkpoints: dict[int, GangCheckpoint] = field(default_factory=dict)
    over_ms: int | None = None
    estimate_errors: dict[int, EstimateError] = field(default_factory=dict)
    step_progress: list[StepProgress] = field(init=False)
    widest_accelerators: int = field(init=False)
    ready_steps: dict[int, None] = field(init=False)
    chains: Chains | None = None
    changed_estimates: dict[int, None] = field(default_factory=dict)
    order_state: OrderState | None = None

    def __post_init__(self) -> None:
        counts = [len(step) for step in self.tasks]
        self.step_starts = [0, *accumulate(counts)][:-1]
        self.phase_counts = dict.fromkeys(TaskPhase, 0)
        self.widest_accelerators = max(
            step.count * step.accelerators for step in self.job.steps
        )
        self.step_progress = [self._count_phases(tasks) for tasks in self.tasks]
        for index, spec in enumerate(self.job.steps):
            self._count_needs(index, set(spec.needs))
        self.ready_steps = {
            index: None
            for index, progress in enumerate(self.step_progress)
            if progress.is_ready
        }

    def _count_phases(self, tasks: list[Task]) -> StepProgress:
        """Count the phases of a step's tasks, also in `phase_counts`."""
        counts = Counter(task.phase for task in tasks)
        for phase, count in counts.items():
            self.phase_counts[phase] += count
        not_done = len(tasks) - counts[TaskPhase.DONE]
        return StepProgress(counts[TaskPhase.WAITING], not_done)

    def _count_needs(self, index: int, needs: set[int]) -> None:
        """Count the open needs of a step, and add it to their dependents."""
        for needed in needs:
            self.step_progress[needed].dependents.append(index)
        self.step_progress[index].open_needs = sum(
            self.step_progress[needed].not_done > 0 for needed in needs
        )
