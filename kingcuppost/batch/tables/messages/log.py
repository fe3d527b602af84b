"""Messages between the systems and the log."""

from dataclasses import dataclass
from enum import StrEnum

from kingcuppost.batch.tables.fleet import Configuration, Speed
from kingcuppost.batch.tables.job import Job, Progress
from kingcuppost.tables.config import Address

__all__ = [
    "Append",
    "AppendEnded",
    "AppendOutcome",
    "CancelRecord",
    "ClaimRecord",
    "ConfigRecord",
    "EntryRecord",
    "RecordsRead",
    "JobRecord",
    "ListMembers",
    "ProgressRecord",
    "Record",
    "RemovalRecord",
    "RenewRecord",
    "SpeedsRecord",
    "Stream",
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


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """A configuration of the operators."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ZoneRecord:
    """The operators took an availability zone out."""

    availability_zone: str


@dataclass(frozen=True, slots=True)
class RemovalRecord:
    """A key whose newest record was removed."""

    key: str


@dataclass(frozen=True, slots=True)
class SpeedsRecord:
    """How fast machines work, by the sidecar's name, as a holder has learned it."""

    speeds: dict[str, Speed]


Record = (
    JobRecord
    | CancelRecord
    | ProgressRecord
    | EntryRecord
    | ClaimRecord
    | RenewRecord
    | ConfigRecord
    | ZoneRecord
    | SpeedsRecord
    | RemovalRecord
)


@dataclass(frozen=True, slots=True)
class RecordsRead:
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


@dataclass(frozen=True, slots=True)
class ListMembers:
    """Ask the log for the entries, once."""
