"""Heartbeats that a sidecar has under way, and what it remembers of attempts."""

from collections import deque
from dataclasses import dataclass, field

from kingcuppost.tables.task import TaskState

__all__ = ["PendingHeartbeat", "HeartbeatView", "ReplyCache"]


@dataclass(frozen=True, slots=True)
class PendingHeartbeat:
    """A heartbeat that waits for its answer.

    Attributes
    ----------
    entry, incarnation : str
        Entry process that it was sent to.
    reported : tuple of (str, TaskState)
        Members that it reports, with the states told.
    folded_offset : int
        How far this sidecar had followed the log when it was sent.
    """

    entry: str
    incarnation: str
    reported: tuple[tuple[str, TaskState], ...]
    folded_offset: int


@dataclass(slots=True)
class HeartbeatView:
    """How a sidecar's heartbeats go on.

    Attributes
    ----------
    holder : str
        Incarnation of the scheduling holder that members were reported to.
    beat_ms, report_ms : int
        Earliest time of the next heartbeat and of the next reports.
    heard_ms : int
        When an entry last answered.
    full_ms : int
        When all members are reported again.
    farewells : tuple of str
        Entries that were told that the sidecar is leaving.
    silent : tuple of str
        Entries that did not answer their last heartbeat.
    """

    holder: str = ""
    beat_ms: int = 0
    report_ms: int = 0
    heard_ms: int = 0
    full_ms: int = 0
    farewells: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()


@dataclass(slots=True)
class ReplyCache:
    """Finished attempts in the order in which a sidecar forgets them.

    Attributes
    ----------
    finished : deque of str
        Identifiers of attempts, oldest first.
    answer_bytes : int
        Length of the answers held.
    forgotten_offset : int
        Largest log offset of a claim whose attempt was forgotten; an unknown
        attempt with a claim up to it may have run and is not run again.
    """

    finished: deque[str] = field(default_factory=deque)
    answer_bytes: int = 0
    forgotten_offset: int = 0
