"""Explanations of where a job would be placed, without submitting it."""

from dataclasses import dataclass

from kingcuppost.batch.tables.decision import Timeliness
from kingcuppost.batch.tables.job import TaskName
from kingcuppost.batch.tables.waiting import WaitReason

__all__ = [
    "ChosenMinion",
    "PlacementExplanation",
    "PreemptedRun",
    "StepExplanation",
]


@dataclass(frozen=True, slots=True)
class ChosenMinion:
    """A minion that would be given tasks of a step.

    Attributes
    ----------
    minion, rack, availability_zone : str
        The minion and its location.
    tasks : int
        Number of the tasks.
    speed : float
        Estimated speed of its machine.
    is_slow : bool
        Whether it works much slower than most.
    """

    minion: str
    rack: str
    availability_zone: str
    tasks: int
    speed: float
    is_slow: bool


@dataclass(frozen=True, slots=True)
class PreemptedRun:
    """A run that would be stopped to make room for a step.

    Attributes
    ----------
    task : TaskName
        Task of the run.
    run : int
        Number of the run.
    minion : str
        Minion where it runs.
    rank : int
        Urgency of its job; 0 is the most urgent.
    stopped : int
        Number of runs that stop, with the other members of its gang.
    lost_core_s : float
        Work that is lost, in core-seconds.
    """

    task: TaskName
    run: int
    minion: str
    rank: int
    stopped: int
    lost_core_s: float


@dataclass(frozen=True, slots=True)
class StepExplanation:
    """What a decision would do with a step of a job now.

    Attributes
    ----------
    step, tasks : int
        Index of the step, and number of its tasks.
    needs : tuple of int
        Steps that must be complete before it is decided on; empty for a ready step.
    eligible : int
        Number of usable minions whose service and labels suit it.
    fits_idle : bool
        Whether those minions would hold it if no other work ran there; a gang whole,
        other steps one task.
    chosen : tuple of ChosenMinion
        Minions that would be given tasks.
    preempted : tuple of PreemptedRun
        Runs that would be stopped for it.
    waiting : int
        Number of its tasks that would wait.
    reason : WaitReason or None
        Why they would wait; None if none would wait for capacity.
    expected_ms : int or None
        Time until the capacity for it is expected to be free, by the expected ends of
        runs and with nothing else placed meanwhile; None if that is not known.
    retry_ms : int or None
        Time after which a decision is made even if nothing changes; None if there is
        no such time.
    """

    step: int
    tasks: int
    needs: tuple[int, ...] = ()
    eligible: int = 0
    fits_idle: bool = True
    chosen: tuple[ChosenMinion, ...] = ()
    preempted: tuple[PreemptedRun, ...] = ()
    waiting: int = 0
    reason: WaitReason | None = None
    expected_ms: int | None = None
    retry_ms: int | None = None


@dataclass(frozen=True, slots=True)
class PlacementExplanation:
    """What a decision would do with a job now.

    Attributes
    ----------
    rank : int
        Urgency of the job; 0 is urgent work within its team's guarantee.
    timeliness : Timeliness
        What the job can reach if its first tasks start now.
    minions, usable : int
        Number of minions, and of those that may be given tasks.
    waiting_steps : int
        Number of steps of other jobs that the newest decision left waiting.
    is_decision_due : bool
        Whether a decision on other work is due, which may change the answer.
    are_reservations_whole : bool
        Whether all capacity that is kept for other waiting tasks was regarded.
    steps : tuple of StepExplanation
        Steps in order; those after the first `MAX_EXPLAINED_STEPS` are left out.
    """

    rank: int
    timeliness: Timeliness
    minions: int
    usable: int
    waiting_steps: int
    is_decision_due: bool
    are_reservations_whole: bool
    steps: tuple[StepExplanation, ...]
