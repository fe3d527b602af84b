"""How fresh this process's view of the log is."""

from kingcuppost.settings import effective_value
from kingcuppost.tables.world import World

__all__ = ["fresh_age_ms", "is_following", "is_fresh", "want_barrier"]

INFINITE_AGE_MS = 2**53


def fresh_age_ms(world: World, now_ms: int) -> int:
    """Return how long ago a read that ended at the head was sent, in ms."""
    fresh_ms = world.log_view.fresh_ms
    return now_ms - fresh_ms if fresh_ms >= 0 else INFINITE_AGE_MS


def is_fresh(world: World, now_ms: int) -> bool:
    """Return whether the log was read at its head recently enough to start work."""
    return fresh_age_ms(world, now_ms) <= effective_value(world.agreed, "log.fresh_ms")


def is_following(world: World, now_ms: int) -> bool:
    """Return whether the log answered a read at its head within a poll.

    This is weaker than `is_fresh`: a process that follows may not start work, but
    its log is not silent. The age of the view itself is no measure: in an idle
    system it grows to twice the wait of a read.
    """
    last_answer_ms = world.log_view.last_answer_ms
    wait_ms = effective_value(world.agreed, "log.poll_wait_ms")
    silent_ms = effective_value(world.agreed, "log.silent_ms")
    return last_answer_ms >= 0 and now_ms - last_answer_ms <= wait_ms + silent_ms


def want_barrier(world: World, now_ms: int) -> None:
    """Ask for a read of the head that is sent no earlier than now."""
    view = world.log_view
    if view.barrier_ms < 0:
        view.barrier_ms = now_ms
