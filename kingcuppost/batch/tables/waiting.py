"""Work that waits for capacity, and why."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["StepName", "Wait", "WaitReason"]


class WaitReason(StrEnum):
    """Why a step that is ready has tasks without a run.

    Attributes
    ----------
    NO_MINION
        No minion that may be used now is of its service and has its label.
    NO_CAPACITY
        The free capacity does not hold it.
    LOCALITY
        The free capacity holds it, but not in a rack where it runs fast.
    FAILED_MINIONS
        The free capacity holds it only on minions where runs of it have failed.
    ROLLOUT
        The free capacity holds it, but minions there would probably leave before it
        ends.
    PREEMPTION
        Capacity is about to be released for it.
    START
        A run is placed, and its minion has not confirmed it.
    STOP
        A run is to be stopped, and its end is not known.
    """

    NO_MINION = "no minion"
    NO_CAPACITY = "no capacity"
    LOCALITY = "locality"
    FAILED_MINIONS = "failed minions"
    ROLLOUT = "rollout"
    PREEMPTION = "preemption"
    START = "start"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class StepName:
    """Name of a step: its job, and its index in the job."""

    job: str
    index: int


@dataclass(slots=True)
class Wait:
    """A ready step with tasks that were not placed by the newest decision.

    Attributes
    ----------
    step : StepName
        The step.
    tasks : int
        Number of the waiting tasks.
    reason : WaitReason
        Why they wait.
    since_ms : int
        Time of the first decision that left a task of the step waiting.
    reason_since_ms : int
        Time since which the reason is the same.
    fits_since_ms : int or None
        Time of the first decision in which the free capacity would have held the
        step; None if there was none.
    round_number : int
        Number of the newest round of decisions that has left it waiting.
    """

    step: StepName
    tasks: int
    reason: WaitReason
    since_ms: int
    reason_since_ms: int
    fits_since_ms: int | None
    round_number: int
