"""Freshness of this process's view of the log."""

from kingcuppost.settings import effective_value
from kingcuppost.tables.world import World

__all__ = ["fresh_age_ms", "is_following", "is_fresh", "request_barrier"]

INFINITE_AGE_MS = 2**53  # exceeds any value of log.fresh_ms


def fresh_age_ms(world: World, now_ms: int) -> int:
    """Return the age in ms of the latest read that reached the head of the log.

    The age counts from the sending of that read, since the log looked up its head no
    earlier than that. Before the first such read, the age is `INFINITE_AGE_MS`.
    """
    fresh_as_of_ms = world.log_view.fresh_as_of_ms
    return now_ms - fresh_as_of_ms if fresh_as_of_ms >= 0 else INFINITE_AGE_MS


def is_fresh(world: World, now_ms: int) -> bool:
    """Return whether the view of the log is recent enough to start work."""
    return fresh_age_ms(world, now_ms) <= effective_value(world.agreed, "log.fresh_ms")


def is_following(world: World, now_ms: int) -> bool:
    """Return whether the log has recently answered a read that reached its head.

    An answer is recent if it is no older than the wait of a long poll and
    `log.silent_ms` together. This is weaker than `is_fresh`: the view may be too old to
    start work, but the log responds. The age of the view is not used here, since in an
    idle system it grows to twice the wait of a long poll.
    """
    last_answer_ms = world.log_view.last_answer_ms
    wait_ms = effective_value(world.agreed, "log.poll_wait_ms")
    silent_ms = effective_value(world.agreed, "log.silent_ms")
    return last_answer_ms >= 0 and now_ms - last_answer_ms <= wait_ms + silent_ms


def request_barrier(world: World, now_ms: int) -> None:
    """Request a read of the head of the log that is sent no earlier than now."""
    view = world.log_view
    if view.barrier_ms < 0:
        view.barrier_ms = now_ms
