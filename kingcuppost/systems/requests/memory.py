"""What a sidecar remembers of finished attempts, within bounds."""

from kingcuppost.settings import effective_value
from kingcuppost.tables.request import ServedAttempt
from kingcuppost.tables.world import World

__all__ = ["is_forgotten", "remember"]

BYTES_PER_MB = 1_048_576


def remember(world: World, row: ServedAttempt, now_ms: int) -> None:
    """Keep a finished attempt for repeats, and forget the oldest beyond the bounds."""
    memory = world.reply_cache
    memory.finished.append(row.attempt_id)
    memory.answer_bytes += len(row.answer)
    while _is_over(world, now_ms):
        _forget_oldest(world)


def _is_over(world: World, now_ms: int) -> bool:
    memory = world.reply_cache
    if len(memory.finished) <= 1:
        return False
    count = effective_value(world.agreed, "serve.memory_attempts")
    most_bytes = effective_value(world.agreed, "serve.memory_mb") * BYTES_PER_MB
    if len(memory.finished) > count or memory.answer_bytes > most_bytes:
        return True
    oldest = world.served.get(memory.finished[0])
    age_ms = now_ms - oldest.finished_ms
    return age_ms > effective_value(world.agreed, "serve.memory_ms")


def _forget_oldest(world: World) -> None:
    memory = world.reply_cache
    row = world.served.delete(memory.finished.popleft())
    memory.answer_bytes -= len(row.answer)
    memory.forgotten_offset = max(memory.forgotten_offset, row.claim_offset)


def is_forgotten(world: World, claim_offset: int) -> bool:
    """Return whether an unknown attempt may be one that was forgotten.

    Claims are compared by log offset, so that no clock decides.
    """
    return 0 < claim_offset <= world.reply_cache.forgotten_offset
