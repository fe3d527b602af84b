"""How long a start may take until it is withdrawn, and how long its copies are valid.

The limits follow from the time for which members of a gang wait for each other: a start
is withdrawn well before the members that have begun would end as alone, and in time for
another one elsewhere.
"""

from kingcuppost.batch.tables.config import Bounds

__all__ = [
    "start_limit_ms",
    "start_validity_ms",
    "unconfirmed_limit_ms",
    "unlisted_limit_ms",
]

LIMIT_DIVISOR = 4  # of the time for which members of a gang wait
VALIDITY_DIVISOR = 2


def start_limit_ms(bounds: Bounds) -> int:
    """Return the time after which a sidecar withdraws a start, in ms.

    It counts from the order, and includes one repetition of a start without an answer.
    """
    return bounds.gang_ms // LIMIT_DIVISOR


def start_validity_ms(bounds: Bounds) -> int:
    """Return the time for which a minion may carry out a copy of a start, in ms."""
    return bounds.gang_ms // VALIDITY_DIVISOR


def unconfirmed_limit_ms(bounds: Bounds) -> int:
    """Return the time after which the holder withdraws an unconfirmed start, in ms.

    It counts from the first order, and is longer than the sidecar's limit, which covers
    most cases.
    """
    return bounds.gang_ms // VALIDITY_DIVISOR


def unlisted_limit_ms(bounds: Bounds) -> int:
    """Return the time for which reports may lack a run that they had before, in ms."""
    return bounds.gang_ms // LIMIT_DIVISOR
