"""Messages between the edges and the systems."""

from dataclasses import dataclass, field
from enum import StrEnum

from kingcuppost.batch.tables.fleet import Configuration, Room
from kingcuppost.batch.tables.job import (
    Job,
    JobState,
    Life,
    Progress,
    RunEnd,
    StepSpec,
    TaskName,
)
from kingcuppost.tables.config import Address

__all__ = [
    "Append",
    "AppendEnded",
    "AppendOutcome",
    "CallKind",
    "CallReply",
    "CallerCall",
    "ConfigRecord",
    "CancelRecord",
    "ClaimRecord",
    "EndedRun",
    "EntryRecord",
    "Followed",
    "HoldMinion",
    "HolderRecord",
    "JobRecord",
    "ListMembers",
    "MinionHeard",
    "MinionLists",
    "MinionReport",
    "OrderAnswered",
    "OrderOutcome",
    "ProgressRecord",
    "RefusedRun",
    "RenewRecord",
    "Removed",
    "RunningRun",
    "SendSync",
    "StartOrder",
    "StartRun",
    "StopAsked",
    "StopProcess",
    "StopRun",
    "StopOrder",
    "Stream",
    "SubmittedJob",
    "SyncAnswered",
    "SyncCall",
    "SyncReply",
    "Verdict",
    "ZoneRecord",
]


class Stream(StrEnum):
    """Streams of records that the log keeps."""

    JOBS = "jobs"
    MEMBERS = "members"
    OPERATORS = "operators"


@dataclass(frozen=True, slots=True)
class JobRecord:
    """A job that an entry accepted; its offset is filled in when it is read."""

    job: Job


@dataclass(frozen=True, slots=True)
class CancelRecord:
    """A caller cancelled a job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class ProgressRecord:
    """The scheduler's newest word on a job."""

    job_id: str
    progress: Progress


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """An entry announced itself."""

    name: str
    address: Address
    availability_zone: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """An entry claimed the scheduling lease; the record's offset makes the term."""

    name: str
    address: Address
    incarnation: str


@dataclass(frozen=True, slots=True)
class RenewRecord:
    """The holder of a term renews its lease, or gives it back."""

    term: int
    released: bool


HolderRecord = ClaimRecord | RenewRecord


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """A configuration of the operators."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ZoneRecord:
    """The operators took an availability zone out."""

    availability_zone: str


@dataclass(frozen=True, slots=True)
class Removed:
    """A key whose newest record was removed."""

    key: str


Record = (
    JobRecord
    | CancelRecord
    | ProgressRecord
    | EntryRecord
    | ClaimRecord
    | RenewRecord
    | ConfigRecord
    | ZoneRecord
    | Removed
)


@dataclass(frozen=True, slots=True)
class Followed:
    """Records of a stream, in order, or a whole listing of it.

    Attributes
    ----------
    stream : Stream
        Where they stand.
    records : list of tuple of int and Record
        Offset and record.
    sent_ms : int
        When the read was sent; the records are at least as new.
    end : int
        Offset behind the last record of the stream.
    whole : bool
        Whether this lists the newest record of every key.
    """

    stream: Stream
    records: list[tuple[int, Record]]
    sent_ms: int
    end: int
    whole: bool = False


@dataclass(frozen=True, slots=True)
class Append:
    """Records to append in one piece.

    Attributes
    ----------
    id : str
        Names the append in its answer.
    stream : Stream
        Where to.
    records : tuple of Record
        What; may be empty for a writer that opens its term.
    at : int or None
        Offset that the stream must end at.
    term, sequence : int or None
        Term of the writer, and the number of the append within it.
    timeout_ms : int
        How long the answer is waited for.
    """

    id: str
    stream: Stream
    records: tuple[Record, ...]
    at: int | None = None
    term: int | None = None
    sequence: int = 0
    timeout_ms: int = 1_000


class AppendOutcome(StrEnum):
    """What became of an append."""

    DONE = "done"
    REFUSED = "refused"
    CONFLICT = "conflict"
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AppendEnded:
    """Answer to an append."""

    id: str
    outcome: AppendOutcome
    offset: int = -1
    end: int = -1
    reason: str = ""


class CallKind(StrEnum):
    """What a caller asks for."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"
    COUNT = "count"


@dataclass(frozen=True, slots=True)
class SubmittedJob:
    """Body of a submission."""

    spec: str
    steps: tuple[StepSpec, ...]


@dataclass(frozen=True, slots=True)
class CallerCall:
    """A caller's call.

    Attributes
    ----------
    exchange_id : str
        Names the open exchange.
    kind : CallKind
        What is asked for; a state without an identifier is a count.
    host, path, key : str
        Where it was sent, and the caller's key, empty for none.
    received_ms : int
        When it was read.
    timeout_ms : int
        How long the caller waits.
    job : SubmittedJob or None
        Body of a submission.
    fault : str
        Why the body could not be read; empty if it could.
    """

    exchange_id: str
    kind: CallKind
    host: str
    path: str
    key: str
    received_ms: int
    timeout_ms: int
    job: SubmittedJob | None = None
    fault: str = ""


class Verdict(StrEnum):
    """Answer to a caller."""

    OK = "ok"
    BAD = "bad"
    NO_KEY = "no key"
    NO_QUEUE = "no queue"
    NO_JOB = "no job"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CallReply:
    """Answer to a caller's call."""

    exchange_id: str
    verdict: Verdict
    state: JobState | None = None
    waiting: int | None = None
    retry_after_ms: int = 0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class RunningRun:
    """A run that a minion has."""

    task: TaskName
    run: int
    saved: str
    percent: int


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that ended at a minion; `number` grows within the minion's life."""

    number: int
    task: TaskName
    run: int
    how: RunEnd
    saved: str


@dataclass(frozen=True, slots=True)
class RefusedRun:
    """A run that surely never began: the minion refused it."""

    task: TaskName
    run: int
    reason: str


@dataclass(frozen=True, slots=True)
class MinionReport:
    """What a sidecar says of its minion.

    Attributes
    ----------
    listed : bool
        Whether the lists of runs were read in this life by this process.
    """

    life: Life
    service: str
    availability_zone: str
    labels: tuple[str, ...]
    room: Room
    draining: bool
    remaining_ms: int
    listed: bool


@dataclass(frozen=True, slots=True)
class SyncCall:
    """A sidecar's report to the scheduler."""

    exchange_id: str
    sidecar: str
    incarnation: str
    number: int
    wait_ms: int
    minion: MinionReport | None
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    refused: tuple[RefusedRun, ...]


@dataclass(frozen=True, slots=True)
class StartOrder:
    """A run that a minion is to begin."""

    task: TaskName
    run: int
    spec: str
    saved: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """A run that a minion is to end."""

    task: TaskName
    run: int


@dataclass(frozen=True, slots=True)
class SyncReply:
    """The scheduler's answer to a sidecar.

    Attributes
    ----------
    exchange_id : str
        Names the open exchange.
    term : int
        Term of the holder; -1 if this process does not hold the lease.
    holder : Address or None
        Who holds it, if this process does not.
    life : Life or None
        Life that the orders are for.
    noted : int
        Ends up to this number are in the log.
    entries : tuple of Address
        All entries.
    """

    exchange_id: str
    term: int
    holder: Address | None = None
    life: Life | None = None
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[StopOrder, ...] = ()
    settled: tuple[StopOrder, ...] = ()
    noted: int = 0
    entries: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True)
class SendSync:
    """A sidecar's report on its way out."""

    number: int
    address: Address
    call: SyncCall
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class ListMembers:
    """Ask the log for the entries, once."""


@dataclass(frozen=True, slots=True)
class SyncAnswered:
    """What became of a report; `reply` is None if nothing came back."""

    number: int
    address: Address
    sent_ms: int
    reply: SyncReply | None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class MinionHeard:
    """A heartbeat of the minion beside the sidecar."""

    address: Address
    report: MinionReport
    sequence: int
    gone: bool = False


@dataclass(frozen=True, slots=True)
class HoldMinion:
    """Ask the minion for its lists and extend its lease.

    Attributes
    ----------
    until_ms : int or None
        End of the lease on the minion's clock; None to leave it as it is.
    """

    address: Address
    life: Life
    term: int
    seen: int
    wait_ms: int
    until_ms: int | None


@dataclass(frozen=True, slots=True)
class MinionLists:
    """Answer to `HoldMinion`; a failure has a reason and no lists.

    Attributes
    ----------
    sent_ms, received_ms : int
        When the question left and the answer came.
    clock_ms : int
        The minion's clock when it answered.
    """

    life: Life
    sent_ms: int
    received_ms: int
    clock_ms: int = 0
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StartRun:
    """Begin a run at the minion beside the sidecar."""

    address: Address
    life: Life
    term: int
    order: StartOrder
    until_ms: int


@dataclass(frozen=True, slots=True)
class StopRun:
    """End a run at the minion beside the sidecar."""

    address: Address
    life: Life
    term: int
    order: StopOrder


class OrderOutcome(StrEnum):
    """What a minion made of an order."""

    DONE = "done"
    REFUSED = "refused"
    BUSY = "busy"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """Answer to `StartRun` or `StopRun`."""

    life: Life
    task: TaskName
    run: int
    start: bool
    outcome: OrderOutcome
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StopAsked:
    """The process was told to stop."""


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Nothing is left to do; end the process."""

    lines: tuple[str, ...] = field(default=())
