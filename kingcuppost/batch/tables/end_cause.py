"""Causes of the ends of runs, as the log and the metrics name them."""

from dataclasses import dataclass
from enum import StrEnum

from kingcuppost.batch.tables.job import TaskName

__all__ = ["CAUSE_TEXTS", "CauseKind", "EndCause"]


class CauseKind(StrEnum):
    """Why a run ended.

    Attributes
    ----------
    DRAINING, SLOW, STALLED, VANISHED, NOT_BEGUN
        The holder moved the run, or its gang, away from a minion.
    PREEMPTED
        The holder made room for a more urgent job.
    CANCELLED, JOB_FAILED, JOB_COMPLETED
        The job had ended.
    MEMBER_FAILED, MEMBER_LOST, MEMBER_REFUSED, MEMBER_LAPSED
        Another member of the gang had ended in this way.
    MEMBER_BROKEN, MEMBER_ALONE
        Another member of the gang had ended in this way.
    EARLIER_HOLDER
        An earlier holder had requested the stop, and its reason is not stored.
    DONE, FAILED, LAPSED, BROKEN, ALONE, REFUSED, LOST
        Nobody had requested the end; see `RunEnd`.
    """

    DRAINING = "draining"
    PREEMPTED = "preempted"
    SLOW = "slow"
    STALLED = "stalled"
    VANISHED = "vanished"
    NOT_BEGUN = "not begun"
    CANCELLED = "cancelled"
    JOB_FAILED = "job failed"
    JOB_COMPLETED = "job completed"
    MEMBER_FAILED = "member failed"
    MEMBER_LOST = "member lost"
    MEMBER_REFUSED = "member refused"
    MEMBER_LAPSED = "member lapsed"
    MEMBER_BROKEN = "member broken"
    MEMBER_ALONE = "member alone"
    EARLIER_HOLDER = "an earlier holder"
    DONE = "done"
    FAILED = "failed"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REFUSED = "refused"
    LOST = "lost"


CAUSE_TEXTS: dict[CauseKind, str] = {
    CauseKind.DRAINING: "the minion is draining",
    CauseKind.PREEMPTED: "a more urgent job needed the capacity",
    CauseKind.SLOW: "the minion is slow",
    CauseKind.STALLED: "the run is stalled",
    CauseKind.VANISHED: "its minion lists it no more",
    CauseKind.NOT_BEGUN: "its minion never listed it",
    CauseKind.CANCELLED: "the job was cancelled",
    CauseKind.JOB_FAILED: "the job has failed",
    CauseKind.JOB_COMPLETED: "the job has completed",
    CauseKind.MEMBER_FAILED: "another member of the gang failed",
    CauseKind.MEMBER_LOST: "another member of the gang was lost",
    CauseKind.MEMBER_REFUSED: "the start of another member of the gang was refused",
    CauseKind.MEMBER_LAPSED: "the lease of another member of the gang expired there",
    CauseKind.MEMBER_BROKEN: "another member of the gang missed a member",
    CauseKind.MEMBER_ALONE: "another member of the gang was alone for too long",
    CauseKind.EARLIER_HOLDER: "an earlier holder requested the stop",
    CauseKind.DONE: "the work was completed",
    CauseKind.FAILED: "the run failed",
    CauseKind.LAPSED: "the lease expired at the minion",
    CauseKind.BROKEN: "a member of the gang was missing",
    CauseKind.ALONE: "the other members of the gang did not start in time",
    CauseKind.REFUSED: "the start was refused",
    CauseKind.LOST: "the minion was lost",
}


@dataclass(frozen=True, slots=True)
class EndCause:
    """Why a run ended or was to be stopped.

    Attributes
    ----------
    kind : CauseKind
        Kind of the cause.
    task : TaskName or None
        Member of the gang to which the cause happened, if not the run's own task only.
    job : str
        Job that a run is preempted for; empty for other causes.
    """

    kind: CauseKind
    task: TaskName | None = None
    job: str = ""
