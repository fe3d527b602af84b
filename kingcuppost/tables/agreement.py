"""State about the log: proposals, reads, snapshots and the scheduling lease."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from kingcuppost.tables.agreed_rows import KeyClaim, RecentRecord, SchedulingLease
from kingcuppost.tables.record import Record, SnapshotPart

__all__ = [
    "FoldResult",
    "HolderMonitor",
    "KeyClaim",
    "LogView",
    "PendingRead",
    "Proposal",
    "ProposalState",
    "RecentRecord",
    "SchedulingLease",
    "SnapshotProgress",
    "SnapshotSearch",
]


@dataclass(frozen=True, slots=True)
class FoldResult:
    """Result of folding a record.

    Attributes
    ----------
    accepted : bool
        Whether the record has taken effect.
    offset : int
        Log offset of the record.
    reason : str
        Why the record was rejected; empty if accepted.
    is_possible_repeat : bool
        Whether the record was rejected because it may repeat an earlier one whose
        identifier is no longer kept, and which may have taken effect.
    """

    accepted: bool
    offset: int
    reason: str = ""
    is_possible_repeat: bool = False


class ProposalState(StrEnum):
    """State of a proposal until its record is folded."""

    QUEUED = "queued"
    SENT = "sent"
    APPENDED = "appended"


@dataclass(slots=True)
class Proposal:
    """A record that this process proposes for the log.

    Attributes
    ----------
    record_id : str
        Identifier of the record.
    record : Record
        The record; retries send it under the same identifier.
    exchange_id : str
        HTTP exchange that waits for the result of the fold; empty if none.
    state : ProposalState
        Whether the record is queued, was sent, or was confirmed by the log.
    created_ms, retry_ms : int
        Time of creation; earliest time of the next append.
    give_up_ms : int
        Time after which the proposal is dropped and the waiting exchange answered:
        "not run" if no append can have reached the log, else "unknown"; 0 for a
        record that is sent until it is folded.
    appends : int
        Number of appends of the record that may have reached the log.
    appended_ms : int
        Time at which the log confirmed an append.
    """

    record_id: str
    record: Record
    exchange_id: str
    state: ProposalState
    created_ms: int
    retry_ms: int
    give_up_ms: int = 0
    appends: int = 0
    appended_ms: int = 0


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that the log has not answered yet.

    Attributes
    ----------
    sent_ms : int
        Time of sending.
    late_ms : int
        Time from which the read is overdue, and another is sent on a new connection.
    is_long_poll : bool
        Whether the log may delay the answer until there is a new record.
    after : int
        Offset after which the read begins.
    """

    sent_ms: int
    late_ms: int
    is_long_poll: bool
    after: int


@dataclass(slots=True)
class SnapshotSearch:
    """A search for the newest complete snapshot, backwards from the head.

    Attributes
    ----------
    upper_offset : int
        Highest offset that was not searched yet.
    after : int
        Offset after which the pending read starts.
    earliest : int
        Oldest offset that the log still has.
    parts : dict of str to dict of int to SnapshotPart
        Parts found, by snapshot and index.
    """

    upper_offset: int
    after: int
    earliest: int
    parts: dict[str, dict[int, SnapshotPart]] = field(default_factory=dict)


@dataclass(slots=True)
class SnapshotProgress:
    """Snapshots that this process has observed in the log, and its own draft.

    Attributes
    ----------
    covered_offset : int
        Log offset up to which the newest complete snapshot covers the log; 0 without
        a snapshot.
    wall_ms : int
        Time of that snapshot in Unix ms; without one, time of catching up.
    seen_parts : dict of str to set of int
        Indexes of observed parts, by incomplete snapshot.
    draft : deque of SnapshotPart
        Parts of this process's own snapshot that are not proposed yet.
    pending : list of str
        Identifiers of the records of proposed parts that are not folded yet.
    """

    covered_offset: int = 0
    wall_ms: int = 0
    seen_parts: dict[str, set[int]] = field(default_factory=dict)
    draft: deque[SnapshotPart] = field(default_factory=deque)
    pending: list[str] = field(default_factory=list)


@dataclass(slots=True)
class LogView:
    """Progress of this process in following the log.

    Attributes
    ----------
    folded_offset, head_offset : int
        Offset of the last record that was folded, and of the last known to exist.
    fresh_as_of_ms : int
        Sending time of the latest read that reached the head; -1 before any.
    last_answer_ms : int
        Time at which the answer to such a read last arrived; -1 before any.
    reads : dict of str to PendingRead
        Pending reads by identifier.
    next_read_ms : int
        Earliest time of the next read.
    failed_reads : int
        Number of reads that failed since the last successful one.
    barrier_ms : int
        A read of the head sent at or after this time is required; -1 if none is.
    caught_up : bool
        Whether the head was reached since the start, or since the log last dropped
        records that this process had not read.
    search : SnapshotSearch or None
        The current search for a snapshot; None outside a search.
    search_ended : bool
        Whether a search has ended since this process last caught up; then lag alone
        starts no further search.
    appends : dict of str to int
        Sending time of each pending append, by the identifier of its first record.
    """

    folded_offset: int = 0
    head_offset: int = 0
    fresh_as_of_ms: int = -1
    last_answer_ms: int = -1
    reads: dict[str, PendingRead] = field(default_factory=dict)
    next_read_ms: int = 0
    failed_reads: int = 0
    barrier_ms: int = -1
    caught_up: bool = False
    search: SnapshotSearch | None = None
    search_ended: bool = False
    appends: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class HolderMonitor:
    """State of an entry's pings of the holder of the scheduling lease.

    Attributes
    ----------
    term : int
        Scheduling term that the other attributes belong to.
    last_answered_ping_ms : int
        Sending time of the latest ping whose answer from the holder was accepted;
        before any in this term, the time at which this process first observed the term.
        Later by the time for which this process has been paused since.
    last_run_ms : int
        Time at which this process last monitored the holder.
    next_ping_ms : int
        Earliest time of the next ping.
    jitter : float
        Random number from 0 to 1, drawn once, that spreads the entries' claims.
    """

    term: int = -1
    last_answered_ping_ms: int = 0
    last_run_ms: int = 0
    next_ping_ms: int = 0
    jitter: float = 0.0
