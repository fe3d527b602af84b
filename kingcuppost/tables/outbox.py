"""Messages that systems hand to edges, as data classes."""

from dataclasses import dataclass
from typing import Any

from kingcuppost.tables.job import Urgency
from kingcuppost.tables.record import Record
from kingcuppost.tables.task import MemberReport

__all__ = [
    "AppendRecords",
    "AskHolder",
    "CheckpointTask",
    "ExitProcess",
    "HandOver",
    "ReadLog",
    "RenewTasks",
    "Reply",
    "ReserveTask",
    "SendAttempt",
    "SendGangReports",
    "SendHeartbeat",
    "StartTask",
    "StopTask",
    "TaskLease",
]


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer to an open HTTP exchange.

    Attributes
    ----------
    exchange_id : str
        The exchange.
    status : int
        HTTP status code.
    body : Any
        A data class that the edge encodes.
    """

    exchange_id: str
    status: int
    body: Any


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read records after an offset; the log may wait `wait_ms` for one.

    A `hedge` goes out on a new connection, since an earlier read is late.
    """

    read_id: str
    after: int
    wait_ms: int
    timeout_ms: int
    hedge: bool = False


@dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append records, all or none.

    A `hedge` goes out on a new connection, since an earlier append is late.
    """

    records: tuple[Record, ...]
    timeout_ms: int
    hedge: bool = False


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send an attempt to a sidecar.

    The attempt is of use for `timeout_ms`. The sidecar answers within `hold_ms`,
    if only that it still runs; an exchange silent for `silence_ms` is abandoned.
    """

    attempt_id: str
    minion: str
    incarnation: str
    host: str
    port: int
    team: str
    body: str
    keyed: bool
    urgency: Urgency
    timeout_ms: int
    claim_offset: int = 0
    hold_ms: int = 0
    silence_ms: int = 0


@dataclass(frozen=True, slots=True)
class HandOver:
    """Give an attempt to the minion beside this sidecar."""

    attempt_id: str
    body: str
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Tell an entry how this sidecar and its members are."""

    entry: str
    host: str
    port: int
    minion: str
    incarnation: str
    free_slots: int
    leaving: bool
    service_ms: float
    reports: tuple[MemberReport, ...]
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class SendGangReports:
    """Tell the sidecar of a gang's leader how members are."""

    worker: str
    host: str
    port: int
    from_worker: str
    reports: tuple[MemberReport, ...]
    timeout_ms: int
    sent_ms: int


@dataclass(frozen=True, slots=True)
class ReserveTask:
    """Reserve a worker's resources for a member, under a lease."""

    task_id: str
    cores: int
    memory_mb: int
    accelerators: tuple[int, ...]
    payload: str
    lease_ms: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start a reserved member."""

    task_id: str
    lease_ms: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class TaskLease:
    """How much longer the worker may hold a task, in ms from the order's arrival."""

    task_id: str
    lease_ms: int


@dataclass(frozen=True, slots=True)
class RenewTasks:
    """Renew each task's lease and ask how all tasks of the worker are."""

    leases: tuple[TaskLease, ...]
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Ask a member to write a checkpoint."""

    task_id: str
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a member and free what it reserved."""

    task_id: str
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """Stop the loop; nothing is under way any more."""

    code: int


@dataclass(frozen=True, slots=True)
class AskHolder:
    """Ask the holder of the scheduling lease whether it is alive."""

    entry: str
    host: str
    port: int
    sent_ms: int
    timeout_ms: int
