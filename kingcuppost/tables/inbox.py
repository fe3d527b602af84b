"""Messages from the edges to the systems, as data classes."""

from dataclasses import dataclass

from kingcuppost.tables.job import Urgency
from kingcuppost.tables.record import Record, RecordBody
from kingcuppost.tables.request import Outcome
from kingcuppost.tables.task import MemberReport, TaskState

__all__ = [
    "AppendAnswered",
    "AttemptAnswered",
    "AttemptArrived",
    "CallerRequest",
    "ExchangeLost",
    "GangReplyArrived",
    "GangReportArrived",
    "HeartbeatAnswered",
    "HeartbeatArrived",
    "HolderAnswered",
    "HolderPingArrived",
    "MinionAnswered",
    "ProposalRequest",
    "ReadAnswered",
    "StopRequested",
    "StoredRecord",
    "ViewRequest",
    "WorkerAnswered",
    "WorkerTask",
]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request.

    `timeout_ms` counts from the arrival of the request; `issued_ms` is when the
    caller created the key, Unix ms, or 0 if not given.
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
    """A request of an operator or caller to append one record."""

    exchange_id: str
    author: str
    body: RecordBody


@dataclass(frozen=True, slots=True)
class ViewRequest:
    """A request for a view of the tables.

    Attributes
    ----------
    exchange_id : str
        HTTP exchange that waits for the view.
    view : str
        Name of the registered view, such as ``"job"``.
    argument : str
        Name of the row; empty for a view of all rows.
    """

    exchange_id: str
    view: str
    argument: str = ""


@dataclass(frozen=True, slots=True)
class ExchangeLost:
    """The peer closed its HTTP exchange before the answer."""

    exchange_id: str


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record that is in the log, with its offset."""

    offset: int
    record: Record


@dataclass(frozen=True, slots=True)
class ReadAnswered:
    """The log's answer to a read, or the failure of the exchange.

    Attributes
    ----------
    read_id : str
        Identifier of the read.
    ok : bool
        False if the read failed or timed out.
    records : tuple of StoredRecord
        Records in order of offset.
    head, earliest : int
        Offsets of the newest and the oldest record in the log.
    end_offset : int
        Offset of the last record read, valid or not; 0 if none was read. `records`
        omits records that cannot be decoded, such as those of another program.
    reason : str
        Why the read failed.
    """

    read_id: str
    ok: bool
    records: tuple[StoredRecord, ...] = ()
    head: int = 0
    earliest: int = 0
    end_offset: int = 0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class AppendAnswered:
    """The log's answer to an append, or the failure of the exchange.

    Whether a record is in the log and takes effect follows only from the fold.

    Attributes
    ----------
    record_ids : tuple of str
        Identifiers of the appended records.
    ok : bool
        Whether the log confirmed the append.
    reason : str
        Why it was not confirmed.
    never_sent : bool
        True if no connection was established, so that no record can be in the log.
    """

    record_ids: tuple[str, ...]
    ok: bool
    reason: str = ""
    never_sent: bool = False


@dataclass(frozen=True, slots=True)
class AttemptArrived:
    """An attempt that an entry sent to this sidecar.

    Attributes
    ----------
    exchange_id : str
        HTTP exchange that waits for the answer.
    incarnation : str
        Sidecar process that the attempt is addressed to.
    keyed : bool
        Whether the request is non-idempotent.
    timeout_ms : int
        Time in ms from its arrival after which the attempt is of no use.
    claim_offset : int
        Log offset of the claim of its key; 0 if none.
    hold_ms : int
        Time in ms after which the exchange is answered even if the attempt is still
        running; 0 for no limit.
    """

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
        Outcome of the attempt.
    body : str
        The complete answer of the minion.
    free_slots : int
        Free slots that the sidecar reports; -1 on failure.
    leaving : bool
        Whether the sidecar is leaving.
    service_ms : float
        The sidecar's smoothed service time, in ms.
    never_sent : bool
        True if no connection was established, so that the attempt cannot have run.
    reason : str
        Why there is no answer.
    running : bool
        Whether the attempt has not finished yet.
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
    """The minion's answer to an attempt, or the failure of the exchange."""

    attempt_id: str
    ok: bool
    body: str = ""
    never_sent: bool = False
    reason: str = ""


@dataclass(frozen=True, slots=True)
class HeartbeatArrived:
    """A sidecar's heartbeat, with reports on its gang members."""

    exchange_id: str
    minion: str
    incarnation: str
    free_slots: int
    leaving: bool
    service_ms: float
    reports: tuple[MemberReport, ...]


@dataclass(frozen=True, slots=True)
class HeartbeatAnswered:
    """An entry's answer to a heartbeat, or the failure of the exchange.

    `folded_offset` is the log offset up to which the entry has folded.
    """

    entry: str
    ok: bool
    reason: str = ""
    folded_offset: int = 0


@dataclass(frozen=True, slots=True)
class GangReportArrived:
    """Reports on gang members at `worker` to the gang leaders at this sidecar."""

    exchange_id: str
    worker: str
    reports: tuple[MemberReport, ...]


@dataclass(frozen=True, slots=True)
class GangReplyArrived:
    """A leader's answer to reports, or the failure of the exchange.

    `worker` is the leader's worker; `whole` and `broken` are the keys of gangs.
    `sent_ms` is when the reports were sent; leases count from that time.
    """

    worker: str
    ok: bool
    sent_ms: int
    whole: tuple[str, ...] = ()
    broken: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkerTask:
    """State of a task as the worker reports it."""

    task_id: str
    state: TaskState
    result: str = ""


@dataclass(frozen=True, slots=True)
class WorkerAnswered:
    """The worker's answer to an order, or the failure of the exchange.

    Attributes
    ----------
    order : str
        Name of the order, such as ``"start"``.
    task_id : str
        Task that the order concerned; empty for a renewal, which concerns all tasks.
    ok : bool
        Whether the worker confirmed the order.
    tasks : tuple of WorkerTask
        Tasks that the worker reported in its answer.
    reason : str
        Why the order was not confirmed.
    """

    order: str
    task_id: str
    ok: bool
    tasks: tuple[WorkerTask, ...] = ()
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A request to stop the process gracefully; a second one stops it at once."""


@dataclass(frozen=True, slots=True)
class HolderPingArrived:
    """A ping of another entry to this process as the lease holder."""

    exchange_id: str
    entry: str


@dataclass(frozen=True, slots=True)
class HolderAnswered:
    """The lease holder's answer to a ping, or the failure of the exchange.

    `sent_ms` is when the ping was sent; `follows_log` is whether the holder has
    recently read the log up to its head.
    """

    ok: bool
    incarnation: str
    sent_ms: int
    reason: str = ""
    follows_log: bool = True
