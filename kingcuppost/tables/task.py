"""Tasks at a sidecar, gangs as their leader sees them, and reservations."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "GangMonitor",
    "MemberReport",
    "MemberTask",
    "Renewal",
    "Reservation",
    "TaskState",
]


class TaskState(StrEnum):
    """Stage of one member of a gang on its worker."""

    RESERVING = "reserving"
    RESERVED = "reserved"
    STARTING = "starting"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPING = "stopping"
    STOPPED = "stopped"
    REFUSED = "refused"


@dataclass(slots=True)
class MemberTask:
    """One member of a gang at its sidecar.

    Attributes
    ----------
    task_id : str
        ``JOB/INCARNATION/MEMBER``.
    job : str
        Name of the job.
    incarnation, member : int
        Number of the gang; number of the member from 0.
    state : TaskState
        Stage of the member.
    lease_ms : int
        Until when the member may run unless the gang is confirmed again.
    reported : str
        The state that the scheduler and the leader were last told.
    result : str
        What the finished member returned.
    stop_ms : int
        From when on a stopping member is ordered to stop, in ms.
    confirmed : bool
        False for a task taken over until its leader has confirmed it.
    """

    task_id: str
    job: str
    incarnation: int
    member: int
    state: TaskState
    lease_ms: int
    reported: str = ""
    result: str = ""
    stop_ms: int = 0
    confirmed: bool = True


@dataclass(frozen=True, slots=True)
class Renewal:
    """A renewal of the worker's leases that is under way.

    Attributes
    ----------
    sent_ms : int
        When it was sent; reservations count from there.
    task_ids : frozenset of str
        Tasks that it renews.
    """

    sent_ms: int
    task_ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class MemberReport:
    """What a member says of itself to the scheduler and to its gang's leader.

    Attributes
    ----------
    job : str
        Name of the job.
    incarnation, member : int
        Number of the gang; number of the member.
    state : TaskState
        Stage of the member.
    result : str
        What a finished member returned.
    age_ms : int
        How long ago the worker was last asked and showed it running.
    """

    job: str
    incarnation: int
    member: int
    state: TaskState
    result: str = ""
    age_ms: int = 0


@dataclass(slots=True)
class GangMonitor:
    """A gang as the sidecar of its member 0 sees it.

    Attributes
    ----------
    key : str
        ``gang_key(job, incarnation)``.
    since_ms : int
        When this process began to watch the gang.
    last_report_ms : dict of int to int
        When each member was last heard running or finished.
    results : dict of int to str
        Results of finished members.
    broken : str
        Why the gang is not whole; empty while it is.
    finish_id : str
        Record that was proposed once all had finished; empty before.
    """

    key: str
    since_ms: int
    last_report_ms: dict[int, int]
    results: dict[int, str]
    broken: str = ""
    finish_id: str = ""


@dataclass(slots=True)
class Reservation:
    """A member as the scheduler knows it from the sidecars' reports.

    Attributes
    ----------
    member_id : str
        ``JOB/INCARNATION/MEMBER``.
    key : str
        Gang that the member belongs to.
    state : TaskState
        State last reported.
    last_report_ms : int
        When it was last reported.
    since_ms : int
        When this state was first reported.
    """

    member_id: str
    key: str
    state: TaskState
    last_report_ms: int
    since_ms: int
