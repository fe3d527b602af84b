"""Messages from the systems to the edges, as data classes."""

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
        The exchange to answer.
    status : int
        HTTP status code.
    body : Any
        Data class that the edge encodes.
    """

    exchange_id: str
    status: int
    body: Any


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read the records after an offset; the log may wait `wait_ms` for a new one.

    With `hedge`, this is a hedged request: an earlier read is late, so this one is sent
    on a new connection.
    """

    read_id: str
    after: int
    wait_ms: int
    timeout_ms: int
    hedge: bool = False


@dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append records to the log, all or none.

    With `hedge`, this is a hedged request: one of the records was sent before and is
    not folded yet, so this append is sent on a new connection.
    """

    records: tuple[Record, ...]
    timeout_ms: int
    hedge: bool = False


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send an attempt to a sidecar.

    The attempt is of no use after `timeout_ms`. The sidecar answers within `hold_ms`,
    even if the attempt is still running; an exchange without an answer for
    `silence_ms` is abandoned.
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
    """Send an attempt to the minion beside this sidecar."""

    attempt_id: str
    body: str
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send an entry a heartbeat with the state of this sidecar and its gang members."""

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
    """Report the state of gang members to the sidecar of their leader."""

    worker: str
    host: str
    port: int
    from_worker: str
    reports: tuple[MemberReport, ...]
    timeout_ms: int
    sent_ms: int


@dataclass(frozen=True, slots=True)
class ReserveTask:
    """Reserve resources of the worker for a gang member, under a lease."""

    task_id: str
    cores: int
    memory_mb: int
    accelerators: tuple[int, ...]
    payload: str
    lease_ms: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start a gang member whose resources are reserved."""

    task_id: str
    lease_ms: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class TaskLease:
    """Lease of a task: time in ms from the arrival of the order until it expires."""

    task_id: str
    lease_ms: int


@dataclass(frozen=True, slots=True)
class RenewTasks:
    """Renew the leases of tasks, and request the state of all tasks of the worker."""

    leases: tuple[TaskLease, ...]
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Order a gang member to write a checkpoint."""

    task_id: str
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a gang member and release its reservation."""

    task_id: str
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """Stop the loop and end the process with this exit code."""

    code: int


@dataclass(frozen=True, slots=True)
class AskHolder:
    """Ping the holder of the scheduling lease."""

    entry: str
    host: str
    port: int
    sent_ms: int
    timeout_ms: int
