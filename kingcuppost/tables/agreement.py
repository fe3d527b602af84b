"""Rows about the log: what was proposed, what was folded, who schedules."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from kingcuppost.tables.claims import KeyClaim, RecentRecord, SchedulingLease
from kingcuppost.tables.record import Record, SnapshotPart

__all__ = [
    "HolderWatch",
    "KeyClaim",
    "LogView",
    "Proposal",
    "ProposalState",
    "PendingRead",
    "RecentRecord",
    "SchedulingLease",
    "SnapshotSearch",
    "SnapshotWatch",
    "Verdict",
]


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the fold made of a record.

    Attributes
    ----------
    accepted : bool
        Whether the record took effect.
    offset : int
        Log offset of the record.
    reason : str
        Why it was rejected; empty if accepted.
    is_possible_repeat : bool
        True if an earlier copy may have taken effect and been forgotten.
    """

    accepted: bool
    offset: int
    reason: str = ""
    is_possible_repeat: bool = False


class ProposalState(StrEnum):
    """Stage of a record on its way to the log."""

    QUEUED = "queued"
    SENT = "sent"
    APPENDED = "appended"


@dataclass(slots=True)
class Proposal:
    """A record that this process wants in the log.

    Attributes
    ----------
    record_id : str
        Identifier of the record.
    record : Record
        The record itself; sent again under the same identifier.
    exchange_id : str
        HTTP exchange that waits for the verdict; empty if none.
    state : ProposalState
        Whether an append is under way or was confirmed.
    created_ms, retry_ms : int
        Time of creation; time at which to send again.
    give_up_ms : int
        Time after which the waiting exchange is told that the outcome is
        unknown; 0 for a record that is sent until it is folded.
    appends : int
        How many appends of it may have reached the log.
    appended_ms : int
        When the log confirmed an append.
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
        When it was sent.
    late_ms : int
        When another read is sent beside it, on a new connection.
    is_long_poll : bool
        Whether it may wait at the log for a new record.
    """

    sent_ms: int
    late_ms: int
    is_long_poll: bool


@dataclass(slots=True)
class SnapshotSearch:
    """A search for the newest whole snapshot, backwards from the head.

    Attributes
    ----------
    upper_offset : int
        Highest offset that was not searched yet.
    after : int
        The read under way starts behind this offset.
    earliest : int
        Oldest offset that the log holds.
    parts : dict of str to dict of int to SnapshotPart
        Parts found, by snapshot and number.
    """

    upper_offset: int
    after: int
    earliest: int
    parts: dict[str, dict[int, SnapshotPart]] = field(default_factory=dict)


@dataclass(slots=True)
class SnapshotWatch:
    """What a process knows of the snapshots in the log, and its own draft.

    Attributes
    ----------
    covers : int
        Log offset that the newest whole snapshot covers; 0 without any.
    wall_ms : int
        Time of that snapshot; of catching up, without any.
    seen_parts : dict of str to set of int
        Parts seen of snapshots that are not whole yet.
    draft : deque of SnapshotPart
        Parts of this process's snapshot that are not proposed yet.
    pending : list of str
        Records of proposed parts that are not folded yet.
    """

    covers: int = 0
    wall_ms: int = 0
    seen_parts: dict[str, set[int]] = field(default_factory=dict)
    draft: deque[SnapshotPart] = field(default_factory=deque)
    pending: list[str] = field(default_factory=list)


@dataclass(slots=True)
class LogView:
    """How far this process has followed the log.

    Attributes
    ----------
    folded_offset, head_offset : int
        Offset of the last record applied, and of the last known to exist.
    fresh_ms : int
        When the last read that ended at the head was sent; -1 before any.
    last_answer_ms : int
        When such a read was last answered; -1 before any.
    reads : dict of str to PendingRead
        Reads under way by identifier.
    next_read_ms : int
        Earliest time of the next read.
    failed_reads : int
        Reads that failed since the last one that did not.
    barrier_ms : int
        A fresh read sent at or after this time is wanted; -1 if none is.
    caught_up : bool
        Whether the head was reached since the start or the last gap.
    search : SnapshotSearch or None
        Present while a snapshot is looked for.
    searched : bool
        Whether a search since the last time at the head has found nothing.
    appends : dict of str to int
        Time of sending of each append under way, by its first record.
    """

    folded_offset: int = 0
    head_offset: int = 0
    fresh_ms: int = -1
    last_answer_ms: int = -1
    reads: dict[str, PendingRead] = field(default_factory=dict)
    next_read_ms: int = 0
    failed_reads: int = 0
    barrier_ms: int = -1
    caught_up: bool = False
    search: SnapshotSearch | None = None
    searched: bool = False
    appends: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class HolderWatch:
    """How an entry watches the holder of the scheduling lease.

    Attributes
    ----------
    term : int
        Term that is watched.
    last_answer_ms : int
        When the question that the holder last answered was sent.
    next_ping_ms : int
        When to ask next.
    jitter : float
        Share from 0 to 1, drawn once, that keeps claims of entries apart.
    """

    term: int = -1
    last_answer_ms: int = 0
    next_ping_ms: int = 0
    jitter: float = 0.0
