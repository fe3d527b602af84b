"""Rows that only the fold writes: lease, claims, recent records, lower bounds."""

from dataclasses import dataclass

from kingcuppost.tables.job import Decision

__all__ = [
    "EndedJob",
    "ExplainedKey",
    "KeyClaim",
    "LowerBounds",
    "RecentRecord",
    "SchedulingLease",
]


@dataclass(frozen=True, slots=True)
class RecentRecord:
    """A recently folded record, kept so that duplicates are recognized.

    Attributes
    ----------
    record_id : str
        Identifier of the record.
    offset : int
        Its log offset.
    accepted : bool
        Whether it took effect.
    reason : str
        Why it was rejected; empty if accepted.
    """

    record_id: str
    offset: int
    accepted: bool = True
    reason: str = ""


@dataclass(slots=True)
class SchedulingLease:
    """The current scheduling term and its holder.

    Attributes
    ----------
    term : int
        Log offset of the claim that began the term; 0 before the first.
    holder, incarnation : str
        Entry instance, and its process, that hold the lease.
    """

    term: int = 0
    holder: str = ""
    incarnation: str = ""


@dataclass(slots=True)
class KeyClaim:
    """The exclusive right of one attempt to run a non-idempotent request.

    Attributes
    ----------
    key : str
        ``TEAM/KEY`` of the caller.
    attempt_id : str
        The only attempt that may run the request.
    minion, minion_incarnation : str
        Minion, and the sidecar process, that may run it.
    offset, wall_ms : int
        Log offset and wall time of the claim.
    outcome : str
        ``"answered"``, or empty while unknown; the claim of a request that did not
        run is deleted.
    issued_ms : int
        When the caller created the key, Unix ms; 0 if not given.
    decision : Decision or None
        Why the minion was chosen; None if the claim does not include it, or if it was
        evicted because only the newest claims keep theirs.
    """

    key: str
    attempt_id: str
    minion: str
    minion_incarnation: str
    offset: int
    wall_ms: int
    outcome: str = ""
    issued_ms: int = 0
    decision: Decision | None = None


@dataclass(frozen=True, slots=True)
class EndedJob:
    """A job in a final state; the table keeps the order in which jobs ended.

    Attributes
    ----------
    name : str
        Name of the job.
    offset : int
        Log offset of the record that ended it.
    """

    name: str
    offset: int


@dataclass(frozen=True, slots=True)
class ExplainedKey:
    """A claimed key whose decision is still kept; the table keeps the claims' order.

    Attributes
    ----------
    key : str
        ``TEAM/KEY`` of the caller.
    """

    key: str


@dataclass(slots=True)
class LowerBounds:
    """Bounds up to which the fold has evicted recent records and claimed keys.

    The fold rejects a record that may repeat an evicted one, and a claim of a key that
    is not certain to be newer than the evicted keys.

    Attributes
    ----------
    recent_offset : int
        Log offset of the newest record whose identifier is no longer kept.
    key_issued_ms : int
        Newest issue time among the evicted keys, Unix ms; -1 before any.
    """

    recent_offset: int = 0
    key_issued_ms: int = -1
