"""Heartbeats that a sidecar has under way, and what it remembers of attempts."""

from collections import deque
from dataclasses import dataclass, field

from kingcuppost.tables.task import TaskState

__all__ = ["Beat", "BeatView", "ServedMemory"]


@dataclass(frozen=True, slots=True)
class Beat:
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
class BeatView:
    """How a sidecar's heartbeats go on.

    Attributes
    ----------
    holder : str
        Incarnation of the scheduling holder that members were reported to.
    next_heartbeat_ms, next_report_ms : int
        Earliest time of the next heartbeat and of the next reports.
    last_reply_ms : int
        When an entry last answered.
    next_full_report_ms : int
        When all members are reported again.
    leave_notified : tuple of str
        Entries that were told that the sidecar is leaving.
    unresponsive : tuple of str
        Entries that did not answer their last heartbeat.
    """

    holder: str = ""
    next_heartbeat_ms: int = 0
    next_report_ms: int = 0
    last_reply_ms: int = 0
    next_full_report_ms: int = 0
    leave_notified: tuple[str, ...] = ()
    unresponsive: tuple[str, ...] = ()


@dataclass(slots=True)
class ServedMemory:
    """Finished attempts in the order in which a sidecar forgets them.

    Attributes
    ----------
    attempt_ids : deque of str
        Identifiers of attempts, oldest first.
    answer_bytes : int
        Length of the answers held.
    evicted_offset : int
        Largest log offset of a claim whose attempt was forgotten; an unknown
        attempt with a claim up to it may have run and is not run again.
    """

    attempt_ids: deque[str] = field(default_factory=deque)
    answer_bytes: int = 0
    evicted_offset: int = 0
