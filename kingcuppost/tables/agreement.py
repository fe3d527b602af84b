"""Rows about the log: what was proposed, what was folded, who schedules."""

from dataclasses import dataclass
from enum import StrEnum

from kingcuppost.tables.job import Decision
from kingcuppost.tables.record import Record

__all__ = [
    "HolderWatch",
    "KeyClaim",
    "LogView",
    "Proposal",
    "ProposalState",
    "RecentRecord",
    "SchedulingLease",
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
    """

    accepted: bool
    offset: int
    reason: str = ""


class ProposalState(StrEnum):
    """Stage of a record on its way to the log."""

    QUEUED = "queued"
    SENT = "sent"


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
        Whether an append is under way.
    created_ms, retry_ms : int
        Time of creation; time at which to send again.
    give_up_ms : int
        Time after which the waiting exchange is told that the outcome is
        unknown; 0 for a record that is sent until it is folded.
    appends : int
        How often it was sent to the log.
    """

    record_id: str
    record: Record
    exchange_id: str
    state: ProposalState
    created_ms: int
    retry_ms: int
    give_up_ms: int = 0
    appends: int = 0


@dataclass(frozen=True, slots=True)
class RecentRecord:
    """A record that was folded not long ago, so that repeats are known.

    Attributes
    ----------
    record_id : str
        Identifier of the record.
    offset : int
        Its log offset.
    """

    record_id: str
    offset: int


@dataclass(slots=True)
class LogView:
    """How far this process has followed the log.

    Attributes
    ----------
    folded_offset, head_offset : int
        Offset of the last record applied, and of the last known to exist.
    fresh_ms : int
        When the last read that ended at the head was sent; -1 before any.
    read_sent_ms : int
        When the read under way was sent; -1 if none is.
    read_id : str
        Identifier of the read under way; empty if none is.
    read_waits : bool
        Whether the read under way may wait at the log for a new record.
    next_read_ms : int
        Earliest time of the next read.
    barrier_ms : int
        A fresh read sent at or after this time is wanted; -1 if none is.
    caught_up : bool
        Whether the head was reached once since the start.
    """

    folded_offset: int = 0
    head_offset: int = 0
    fresh_ms: int = -1
    read_sent_ms: int = -1
    read_id: str = ""
    read_waits: bool = False
    next_read_ms: int = 0
    barrier_ms: int = -1
    caught_up: bool = False


@dataclass(slots=True)
class SchedulingLease:
    """The present scheduling term.

    Attributes
    ----------
    term : int
        Log offset of the claim that opened it; 0 before the first.
    holder, incarnation : str
        Entry instance and process that hold it.
    """

    term: int = 0
    holder: str = ""
    incarnation: str = ""


@dataclass(slots=True)
class HolderWatch:
    """How an entry watches the holder of the scheduling lease.

    Attributes
    ----------
    term : int
        Term that is watched.
    heard_ms : int
        When the question that the holder last answered was sent.
    ask_ms : int
        When to ask next.
    jitter : float
        Share from 0 to 1, drawn once, that keeps claims of entries apart.
    """

    term: int = -1
    heard_ms: int = 0
    ask_ms: int = 0
    jitter: float = 0.0


@dataclass(slots=True)
class KeyClaim:
    """The one right to run a non-idempotent request.

    Attributes
    ----------
    key : str
        ``TEAM/KEY`` of the caller.
    attempt_id : str
        The only attempt that may run.
    minion, minion_incarnation : str
        Sidecar process that may run it.
    offset, wall_ms : int
        Log offset and time of the claim.
    outcome : str
        ``"answered"``, ``"not_run"`` or empty while unknown.
    decision : Decision or None
        Why the request went there; None if the claim does not tell.
    """

    key: str
    attempt_id: str
    minion: str
    minion_incarnation: str
    offset: int
    wall_ms: int
    outcome: str = ""
    decision: Decision | None = None
