"""Age of the views of the log's streams, on which decisions and answers rest."""

from kingcuppost.batch.tables.messages import Stream
from kingcuppost.batch.tables.world import BatchWorld

__all__ = [
    "FRESH_MS",
    "NEVER_READ_MS",
    "is_configuration_current",
    "is_fresh",
    "view_age_ms",
]

FRESH_MS = 2_000
NEVER_READ_MS = -1


def view_age_ms(world: BatchWorld, stream: Stream, now_ms: int) -> int:
    """Return the age of a stream's view; `NEVER_READ_MS` before the first read.

    The view holds all records that were in the log before that time.
    """
    fresh_ms = world.agreed.views[stream].fresh_ms
    return NEVER_READ_MS if fresh_ms is None else now_ms - fresh_ms


def is_fresh(world: BatchWorld, stream: Stream, now_ms: int) -> bool:
    """Return whether a stream was read to its end within the last `FRESH_MS`."""
    return 0 <= view_age_ms(world, stream, now_ms) <= FRESH_MS


def is_configuration_current(world: BatchWorld, now_ms: int) -> bool:
    """Return whether calls and placements may rest on the operators' records.

    Whatever the operators changed longer ago than `Bounds.config_apply_ms` must be
    known, so the view may not be older than that.
    """
    age_ms = view_age_ms(world, Stream.OPERATORS, now_ms)
    return 0 <= age_ms <= world.cfg.bounds.config_apply_ms
