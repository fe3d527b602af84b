"""Tasks of gang members at a sidecar, a leader's monitors, and states of members."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "GangMonitor",
    "MemberReport",
    "MemberStatus",
    "MemberTask",
    "Renewal",
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
    """The task of one gang member at its sidecar.

    Attributes
    ----------
    task_id : str
        ``JOB/INCARNATION/MEMBER``.
    job : str
        Name of the job.
    incarnation, member : int
        Incarnation of the gang, and number of the member, from 0.
    state : TaskState
        Stage of the member.
    lease_expiry_ms : int
        When the member's lease expires. Renewals at the worker extend the lease of a
        reservation; the leader's confirmation that the gang is whole extends that of a
        running member.
    reported_state : str
        State that the scheduler last acknowledged; empty if it has to be reported.
    result : str
        Result of a finished member.
    stop_after_ms : int
        Time in ms from which a stopping member is ordered to stop, repeatedly until it
        has stopped; before that time, a running member may write a checkpoint.
    confirmed : bool
        False for an adopted task until the leader of its gang has confirmed it.
    """

    task_id: str
    job: str
    incarnation: int
    member: int
    state: TaskState
    lease_expiry_ms: int
    reported_state: str = ""
    result: str = ""
    stop_after_ms: int = 0
    confirmed: bool = True


@dataclass(frozen=True, slots=True)
class Renewal:
    """A pending renewal of leases at the worker.

    Attributes
    ----------
    sent_ms : int
        When it was sent; the leases of renewed reservations count from this time.
    task_ids : frozenset of str
        Tasks whose leases it renews.
    """

    sent_ms: int
    task_ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class MemberReport:
    """Report on a member to the scheduler and to the leader of its gang.

    Attributes
    ----------
    job : str
        Name of the job.
    incarnation, member : int
        Incarnation of the gang, and number of the member.
    state : TaskState
        Stage of the member.
    result : str
        Result of a finished member.
    age_ms : int
        For a running member, the time in ms since the sending of the last renewal or
        start that the worker confirmed; else 0.
    """

    job: str
    incarnation: int
    member: int
    state: TaskState
    result: str = ""
    age_ms: int = 0


@dataclass(slots=True)
class GangMonitor:
    """Monitor of a gang at its leader, the sidecar of member 0.

    Attributes
    ----------
    key : str
        ``gang_key(job, incarnation)``.
    since_ms : int
        When this process began to monitor the gang.
    last_report_ms : dict of int to int
        When each member was last reported running or finished.
    results : dict of int to str
        Results of finished members.
    broken_reason : str
        Why the gang is broken; empty while it is not.
    finish_record_id : str
        Record proposed once all members had finished; empty before.
    """

    key: str
    since_ms: int
    last_report_ms: dict[int, int]
    results: dict[int, str]
    broken_reason: str = ""
    finish_record_id: str = ""


@dataclass(slots=True)
class MemberStatus:
    """A gang member as its sidecar last reported it to the scheduler.

    Attributes
    ----------
    member_id : str
        ``JOB/INCARNATION/MEMBER``.
    key : str
        Key of the gang that the member belongs to.
    state : TaskState
        Last reported state.
    last_report_ms : int
        When the member was last reported.
    since_ms : int
        When this state was first reported.
    """

    member_id: str
    key: str
    state: TaskState
    last_report_ms: int
    since_ms: int
