"""Writing of an entry's announcement, claims, fences and renewals to the log."""

from dataclasses import dataclass, field

from kingcuppost.utils.backoff import Backoff

__all__ = ["LeaseWrites"]

FENCE_MIN_MS = 20
FENCE_MAX_MS = 500
CLAIM_MIN_MS = 400
CLAIM_MAX_MS = 1_600
ANNOUNCE_MIN_MS = 1_000
ANNOUNCE_MAX_MS = 4_000
RENEW_MIN_MS = 100
RENEW_MAX_MS = 700


@dataclass(slots=True)
class LeaseWrites:
    """Unanswered appends of each kind, and the pauses after those that failed.

    Attributes
    ----------
    announce_id, claim_id : str
        Identifiers of the newest announcement and the newest claim.
    fence_id : str
        Identifier of the append after which the log rejects older terms.
    is_fence_sent : bool
        Whether that append awaits an answer, rather than the time to be sent again.
    renewals : dict of str to int
        Time at which each unanswered renewal was sent, by identifier of its append.
    """

    announce_id: str = ""
    claim_id: str = ""
    fence_id: str = ""
    is_fence_sent: bool = False
    renewals: dict[str, int] = field(default_factory=dict)
    announce_backoff: Backoff = field(
        default_factory=lambda: Backoff(ANNOUNCE_MIN_MS, ANNOUNCE_MAX_MS)
    )
    claim_backoff: Backoff = field(
        default_factory=lambda: Backoff(CLAIM_MIN_MS, CLAIM_MAX_MS)
    )
    fence_backoff: Backoff = field(
        default_factory=lambda: Backoff(FENCE_MIN_MS, FENCE_MAX_MS)
    )
    renewal_backoff: Backoff = field(
        default_factory=lambda: Backoff(RENEW_MIN_MS, RENEW_MAX_MS)
    )
