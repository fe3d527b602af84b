"""Messages that edges put before the systems, as data classes."""

from dataclasses import dataclass

from kingcuppost.tables.job import Urgency
from kingcuppost.tables.record import Record, RecordBody
from kingcuppost.tables.request import Outcome
from kingcuppost.tables.task import MemberReport, TaskState

__all__ = [
    "AppendAnswered",
    "AttemptArrived",
    "AttemptAnswered",
    "CallerRequest",
    "ExchangeLost",
    "StoredRecord",
    "GangReplyArrived",
    "GangReportArrived",
    "HeartbeatArrived",
    "HeartbeatAnswered",
    "HolderAnswered",
    "HolderProbeArrived",
    "MinionAnswered",
    "ProposalRequest",
    "ReadAnswered",
    "ViewRequest",
    "StopRequested",
    "WorkerAnswered",
    "WorkerTask",
]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request.

    `timeout_ms` counts from its arrival; `issued_ms` is when the caller made the
    key, Unix ms, 0 if not said.
    """

    exchange_id: str
    team: str
    service: str
    body: str
    urgency: Urgency
    key: str
    timeout_ms: int
    issued_ms: int = 0


@dataclass(frozen=True, slots=True)
class ProposalRequest:
    """An operator's or caller's wish to append one record."""

    exchange_id: str
    author: str
    body: RecordBody


@dataclass(frozen=True, slots=True)
class ViewRequest:
    """A question that a view of the tables answers.

    Attributes
    ----------
    exchange_id : str
        HTTP exchange that waits.
    view : str
        Name of the registered view, such as ``"job"``.
    argument : str
        Name of the row; empty for a list.
    """

    exchange_id: str
    view: str
    argument: str = ""


@dataclass(frozen=True, slots=True)
class ExchangeLost:
    """The other end of an HTTP exchange has gone."""

    exchange_id: str


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record with its log offset."""

    offset: int
    record: Record


@dataclass(frozen=True, slots=True)
class ReadAnswered:
    """The answer to a read of the log.

    Attributes
    ----------
    read_id : str
        Identifier of the read.
    ok : bool
        False if the log failed or went silent.
    records : tuple of StoredRecord
        Records in order of offset.
    head, earliest : int
        Offsets of the newest and the oldest record that the log holds.
    end : int
        Offset of the last record read, ours or not; 0 if none was read.
    reason : str
        Why the read failed.
    """

    read_id: str
    ok: bool
    records: tuple[StoredRecord, ...] = ()
    head: int = 0
    earliest: int = 0
    end: int = 0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class AppendAnswered:
    """The answer to an append; it proves nothing, the fold decides.

    Attributes
    ----------
    record_ids : tuple of str
        The records of the append.
    ok : bool
        Whether the log confirmed it.
    reason : str
        Why it was not confirmed.
    never_sent : bool
        True if no connection was made, so that nothing can be in the log.
    """

    record_ids: tuple[str, ...]
    ok: bool
    reason: str = ""
    never_sent: bool = False


@dataclass(frozen=True, slots=True)
class AttemptArrived:
    """An attempt that an entry sent to this sidecar."""

    exchange_id: str
    attempt_id: str
    incarnation: str
    team: str
    body: str
    keyed: bool
    urgency: Urgency
    timeout_ms: int
    claim_offset: int = 0
    hold_ms: int = 0


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """A sidecar's answer to an attempt, or the failure of the exchange.

    Attributes
    ----------
    attempt_id : str
        The attempt that was sent.
    minion, incarnation : str
        The sidecar process that answered; empty incarnation on failure.
    outcome : Outcome
        What became of the attempt.
    body : str
        The minion's whole answer.
    free_slots : int
        Free slots that the sidecar tells; -1 on failure.
    leaving : bool
        Whether the sidecar is leaving.
    service_ms : float
        The sidecar's smoothed service time, in ms.
    never_sent : bool
        True if no connection was made, so that nothing can have run.
    reason : str
        Why there is no answer.
    running : bool
        Whether the sidecar has not finished the attempt yet.
    """

    attempt_id: str
    minion: str
    incarnation: str
    outcome: Outcome
    body: str = ""
    free_slots: int = -1
    leaving: bool = False
    service_ms: float = 0.0
    never_sent: bool = False
    reason: str = ""
    running: bool = False


@dataclass(frozen=True, slots=True)
class MinionAnswered:
    """The minion's answer to a handed-over attempt, or its failure."""

    attempt_id: str
    ok: bool
    body: str = ""
    never_sent: bool = False
    reason: str = ""


@dataclass(frozen=True, slots=True)
class HeartbeatArrived:
    """A sidecar's heartbeat with its members' reports."""

    exchange_id: str
    minion: str
    incarnation: str
    free_slots: int
    leaving: bool
    service_ms: float
    reports: tuple[MemberReport, ...]


@dataclass(frozen=True, slots=True)
class HeartbeatAnswered:
    """An entry's answer to a heartbeat, or the failure of the exchange."""

    entry: str
    ok: bool
    reason: str = ""
    folded_offset: int = 0


@dataclass(frozen=True, slots=True)
class GangReportArrived:
    """Members' reports to the leaders at this sidecar."""

    exchange_id: str
    worker: str
    reports: tuple[MemberReport, ...]


@dataclass(frozen=True, slots=True)
class GangReplyArrived:
    """A leader's answer to reports: gangs that are whole, gangs that are not.

    `sent_ms` is when the reports were sent; leases count from there.
    """

    worker: str
    ok: bool
    sent_ms: int
    whole: tuple[str, ...] = ()
    broken: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkerTask:
    """A task as the worker reports it."""

    task_id: str
    state: TaskState
    result: str = ""


@dataclass(frozen=True, slots=True)
class WorkerAnswered:
    """The worker's answer to an order, or the failure of the exchange."""

    order: str
    task_id: str
    ok: bool
    tasks: tuple[WorkerTask, ...] = ()
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was asked to stop; a second one asks to stop at once."""


@dataclass(frozen=True, slots=True)
class HolderProbeArrived:
    """Another entry asks whether this process is alive."""

    exchange_id: str
    entry: str


@dataclass(frozen=True, slots=True)
class HolderAnswered:
    """The holder's answer, or the failure of the exchange.

    `sent_ms` is when the question was sent; `follows_log` tells whether the holder
    has read the log at its head lately.
    """

    ok: bool
    incarnation: str
    sent_ms: int
    reason: str = ""
    follows_log: bool = True
