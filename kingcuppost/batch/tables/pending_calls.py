"""Callers' calls that wait for the log."""

from dataclasses import dataclass, field

from kingcuppost.batch.tables.messages import Append, CallerCall
from kingcuppost.utils.backoff import Backoff

__all__ = ["PendingCall"]

RESEND_MIN_MS = 20
RESEND_MAX_MS = 300


@dataclass(slots=True)
class PendingCall:
    """A caller's call that waits until its record is in the log.

    Attributes
    ----------
    append : Append
        Append of the call's record.
    attempts : int
        How often the append was sent.
    is_sent : bool
        Whether the append awaits an answer, rather than the time to be sent again.
    backoff : Backoff
        Pause before the append is sent again.
    failure : str
        Why the newest attempt failed.
    has_unknown_outcome : bool
        Whether an earlier attempt may have reached the log.
    is_answered : bool
        Whether the caller was answered before the append has ended.
    """

    call: CallerCall
    job_id: str
    append: Append
    attempts: int = 1
    is_sent: bool = True
    backoff: Backoff = field(
        default_factory=lambda: Backoff(RESEND_MIN_MS, RESEND_MAX_MS)
    )
    has_unknown_outcome: bool = False
    failure: str = ""
    is_answered: bool = False
