"""Rows that only the fold writes: leases, claims, and what it remembers."""

from dataclasses import dataclass

from kingcuppost.tables.job import Decision

__all__ = [
    "EndedJob",
    "ExplainedKey",
    "LowerBounds",
    "KeyClaim",
    "RecentRecord",
    "SchedulingLease",
]


@dataclass(frozen=True, slots=True)
class RecentRecord:
    """A record that was folded not long ago, so that repeats are known.

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
    issued_ms : int
        When the caller says that it made the key, Unix ms; 0 if not said.
    decision : Decision or None
        Why the request went there; None if the claim does not tell, or is not
        among the newest.
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
    """A job in a final state, in the order of ending.

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
    """A claimed key whose decision is still kept, in the order of claiming.

    Attributes
    ----------
    key : str
        ``TEAM/KEY`` of the caller.
    """

    key: str


@dataclass(slots=True)
class LowerBounds:
    """Bounds below which the fold has forgotten, and therefore refuses.

    Attributes
    ----------
    recent_offset : int
        Log offset of the newest record that is no longer remembered by its
        identifier.
    key_issued_ms : int
        Newest issue time among forgotten keys, Unix ms; -1 before any.
    """

    recent_offset: int = 0
    key_issued_ms: int = -1
