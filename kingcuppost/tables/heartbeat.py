"""State of a sidecar's heartbeats, and its cache of finished attempts."""

from collections import deque
from dataclasses import dataclass, field

from kingcuppost.tables.task import TaskState

__all__ = ["HeartbeatView", "PendingHeartbeat", "ReplyCache"]


@dataclass(frozen=True, slots=True)
class PendingHeartbeat:
    """A heartbeat that has been sent and not answered yet.

    Attributes
    ----------
    entry, incarnation : str
        Entry process that it was sent to.
    reported : tuple of (str, TaskState)
        Tasks of the members in its report, with the states reported.
    folded_offset : int
        Log offset up to which this sidecar had folded when it was sent.
    """

    entry: str
    incarnation: str
    reported: tuple[tuple[str, TaskState], ...]
    folded_offset: int


@dataclass(slots=True)
class HeartbeatView:
    """Schedule of a sidecar's heartbeats and reports, and the entries' responses.

    Attributes
    ----------
    holder : str
        Incarnation of the lease holder to which members were last reported.
    next_heartbeat_ms, next_report_ms : int
        Earliest time of the next heartbeat and of the next reports.
    last_reply_ms : int
        When an entry last answered a heartbeat.
    next_full_report_ms : int
        When all members are next reported, including unchanged ones.
    leave_notified : tuple of str
        Entries that were sent the leave notice.
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
class ReplyCache:
    """Finished attempts whose answers a sidecar keeps for resends.

    Attributes
    ----------
    attempt_ids : deque of str
        Identifiers in the order of eviction, oldest first.
    answer_chars : int
        Total number of characters in the cached answers.
    evicted_offset : int
        Largest log offset of a claim whose attempt was evicted. An attempt that is
        not cached and whose claim is not newer may have run, and is not run again.
    """

    attempt_ids: deque[str] = field(default_factory=deque)
    answer_chars: int = 0
    evicted_offset: int = 0
