"""Why runs end: the cause of an end, and what it means for the rest of a gang."""

from collections.abc import Iterable

from kingcuppost.batch.tables.end_cause import CauseKind, EndCause
from kingcuppost.batch.tables.job import JobState, RunEnd
from kingcuppost.batch.tables.task import Task

__all__ = [
    "JOB_END_CAUSES",
    "MEMBER_CAUSES",
    "SYMPTOMS",
    "cause_for_members",
    "cause_of_end",
    "name_origin",
]

JOB_END_CAUSES: dict[JobState, CauseKind] = {
    JobState.CANCELLED: CauseKind.CANCELLED,
    JobState.FAILED: CauseKind.JOB_FAILED,
    JobState.COMPLETED: CauseKind.JOB_COMPLETED,
}

OWN_CAUSES: dict[RunEnd, CauseKind] = {
    RunEnd.DONE: CauseKind.DONE,
    RunEnd.FAILED: CauseKind.FAILED,
    # Only the holder has runs stopped, and the present one has not requested it.
    RunEnd.STOPPED: CauseKind.EARLIER_HOLDER,
    RunEnd.LAPSED: CauseKind.LAPSED,
    RunEnd.BROKEN: CauseKind.BROKEN,
    RunEnd.ALONE: CauseKind.ALONE,
    RunEnd.REFUSED: CauseKind.REFUSED,
    RunEnd.LOST: CauseKind.LOST,
}

MEMBER_CAUSES: dict[CauseKind, CauseKind] = {
    CauseKind.FAILED: CauseKind.MEMBER_FAILED,
    CauseKind.LAPSED: CauseKind.MEMBER_LAPSED,
    CauseKind.BROKEN: CauseKind.MEMBER_BROKEN,
    CauseKind.ALONE: CauseKind.MEMBER_ALONE,
    CauseKind.REFUSED: CauseKind.MEMBER_REFUSED,
    CauseKind.LOST: CauseKind.MEMBER_LOST,
}

# A member that is broken or alone misses another one, whose end is reported later.
SYMPTOMS = (
    CauseKind.BROKEN,
    CauseKind.ALONE,
    CauseKind.MEMBER_BROKEN,
    CauseKind.MEMBER_ALONE,
)
ORIGINS = (RunEnd.FAILED, RunEnd.LAPSED, RunEnd.LOST)


def cause_of_end(task: Task, run_end: RunEnd) -> EndCause:
    """Return why a run ended, before its end is applied to the plan.

    It is the reason for which its stop was first requested, or else the kind of the
    end. The run that other members of its gang missed has ended for a reason of its
    own, although its stop was requested after they were broken.
    """
    requested = task.stop_cause
    own = EndCause(OWN_CAUSES[run_end])
    if requested is None or run_end is RunEnd.DONE:
        return own
    if requested.kind in SYMPTOMS and run_end in ORIGINS:
        return own
    return requested


def cause_for_members(task: Task, cause: EndCause) -> EndCause:
    """Return why the other members of a gang are stopped after the end of a run."""
    if cause.kind not in MEMBER_CAUSES:
        return cause
    return EndCause(MEMBER_CAUSES[cause.kind], task.name)


def name_origin(members: Iterable[Task], cause: EndCause) -> None:
    """Give members that are stopped for a broken one the cause that is known now."""
    for member in members:
        requested = member.stop_cause
        if member.stopping and requested and requested.kind in SYMPTOMS:
            member.stop_cause = cause
