"""How long a minion may leave ordered stops undone until its lease is to end."""

from kingcuppost.batch.tables.config import Bounds

__all__ = ["exclusion_limit_ms", "unstopped_limit_ms"]

LIMIT_DIVISOR = 2  # of the lease; a stop is repeated several times in that
EXCLUSION_LEASES = 2


def unstopped_limit_ms(bounds: Bounds) -> int:
    """Return the time after which the minion lease is withheld, in ms.

    It counts from the first stop that was sent. Only a minion without other work loses
    its lease, so the limit need not cover stops that are merely late.
    """
    return bounds.stop_ms + bounds.lease_ms // LIMIT_DIVISOR


def exclusion_limit_ms(bounds: Bounds) -> int:
    """Return the time after which a minion gets no new runs, in ms.

    It counts from the request of the stop. Orders may be up to 12 s late, and stops may
    fail at many minions at once for some seconds. That must not cost their capacity.
    """
    return EXCLUSION_LEASES * bounds.lease_ms
