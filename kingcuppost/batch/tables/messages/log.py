"""Records of the log, and messages between the systems and the log."""

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
    "JobRecord",
    "ListMembers",
    "PARTS_FORMAT",
    "ProgressPartRecord",
    "ProgressRecord",
    "Record",
    "ReadStream",
    "RecordsRead",
    "RemovalRecord",
    "RenewRecord",
    "SpeedsRecord",
    "Stream",
    "ZoneRecord",
]


PARTS_FORMAT = 1  # format of records with the progress of wide jobs in parts


class Stream(StrEnum):
    """Streams of records in the log.

    Attributes
    ----------
    JOBS
        Jobs, their cancellations and progress, and speeds of machines.
    MEMBERS
        Entries, and claims and renewals of the scheduling lease.
    OPERATORS
        Configurations, and availability zones out of service.
    """

    JOBS = "jobs"
    MEMBERS = "members"
    OPERATORS = "operators"


@dataclass(frozen=True, slots=True)
class JobRecord:
    """An entry accepted a job; the job's offset is set when the record is read."""

    job: Job


@dataclass(frozen=True, slots=True)
class CancelRecord:
    """A caller cancelled a job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class ProgressRecord:
    """The scheduler changed the state of a job or of its tasks."""

    job_id: str
    progress: Progress


@dataclass(frozen=True, slots=True)
class ProgressPartRecord:
    """The scheduler changed the state of a wide job or of some of its tasks.

    Attributes
    ----------
    part : int
        Number of the part of the job's tasks, `PART_TASKS` in each.
    progress : Progress
        State of the job, and progress of the tasks of this part.
    """

    job_id: str
    part: int
    progress: Progress


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """An entry announced itself.

    Attributes
    ----------
    record_format : int
        Newest format of records that it reads: 0, or `PARTS_FORMAT`.
    """

    name: str
    address: Address
    availability_zone: str
    incarnation: str
    record_format: int = 0


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """An entry claimed the scheduling lease; the record's offset defines the term."""

    name: str
    address: Address
    incarnation: str


@dataclass(frozen=True, slots=True)
class RenewRecord:
    """The holder of a term renewed its lease, or released it."""

    term: int
    released: bool


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """The operators set a configuration."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ZoneRecord:
    """The operators took an availability zone out of service."""

    availability_zone: str


@dataclass(frozen=True, slots=True)
class RemovalRecord:
    """The newest record of a key was removed."""

    key: str


@dataclass(frozen=True, slots=True)
class SpeedsRecord:
    """Estimated speeds of machines by sidecar, learned by a holder of the lease."""

    speeds: dict[str, Speed]


Record = (
    JobRecord
    | CancelRecord
    | ProgressRecord
    | ProgressPartRecord
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
    """Records of a stream in order, or the newest record of each of its keys.

    Attributes
    ----------
    stream : Stream
        Stream of the records.
    records : list of tuple of int and Record
        Records with their offsets.
    sent_ms : int
        Time at which the read was sent; the records are at least as recent.
    end : int
        Offset at which the next read starts.
    is_complete : bool
        Whether these are the newest records of all keys.
    reaches_end : bool
        Whether the stream held no further records when it was read.
    """

    stream: Stream
    records: list[tuple[int, Record]]
    sent_ms: int
    end: int
    is_complete: bool = False
    reaches_end: bool = True


@dataclass(frozen=True, slots=True)
class Append:
    """Request to append records atomically.

    Attributes
    ----------
    id : str
        Identifier that the answer repeats.
    stream : Stream
        Stream to append to.
    records : tuple of Record
        Records to append; may be empty for a writer that opens its term.
    required_end : int or None
        Offset at which the stream must end, or the log rejects the append; None if the
        stream may end anywhere.
    term : int or None
        Term of the writer; None for an append that any entry may make.
    sequence : int
        Number of the append within the term; unused without a term.
    timeout_ms : int
        Time to wait for the answer.
    """

    id: str
    stream: Stream
    records: tuple[Record, ...]
    required_end: int | None = None
    term: int | None = None
    sequence: int = 0
    timeout_ms: int = 1_000


class AppendOutcome(StrEnum):
    """Outcome of an append.

    Attributes
    ----------
    DONE
        The records are in the log.
    REFUSED
        The append was certainly not carried out, but may be when it is sent again.
    INVALID
        The append was not carried out and never will be, since it is too large or
        malformed.
    CONFLICT
        The stream ends elsewhere, or the log expects another sequence number.
    FENCED
        The log has accepted an append of a newer term.
    UNKNOWN
        The append may have been carried out.
    """

    DONE = "done"
    REFUSED = "refused"
    INVALID = "invalid"
    CONFLICT = "conflict"
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AppendEnded:
    """Answer to an append.

    Attributes
    ----------
    id : str
        Identifier of the append.
    outcome : AppendOutcome
        Outcome of the append.
    offset : int
        Offset of the first appended record; -1 if none is known.
    end : int
        Offset after the last record of the stream; -1 if it is not known.
    reason : str
        Why the append failed; empty if it was carried out.
    """

    id: str
    outcome: AppendOutcome
    offset: int = -1
    end: int = -1
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ReadStream:
    """Request to read a stream to its present end at once, beside following it."""

    stream: Stream


@dataclass(frozen=True, slots=True)
class ListMembers:
    """Request to read the list of entries from the log once."""
