"""Cache of a sidecar's finished attempts, limited in count, size and age."""

from kingcuppost.settings import effective_value
from kingcuppost.tables.request import ServedAttempt
from kingcuppost.tables.world import World

__all__ = ["cache_attempt", "may_have_been_evicted"]

BYTES_PER_MB = 1_048_576


def cache_attempt(world: World, attempt: ServedAttempt, now_ms: int) -> None:
    """Cache a finished attempt for resends, and evict the oldest beyond the limits.

    The newest attempt stays, whatever its size.
    """
    cache = world.reply_cache
    cache.attempt_ids.append(attempt.attempt_id)
    cache.answer_chars += len(attempt.answer)
    while _exceeds_limits(world, now_ms):
        _evict_oldest(world)


def _exceeds_limits(world: World, now_ms: int) -> bool:
    cache = world.reply_cache
    if len(cache.attempt_ids) <= 1:
        return False
    max_attempts = effective_value(world.agreed, "serve.memory_attempts")
    # A character counts as one byte.
    max_bytes = effective_value(world.agreed, "serve.memory_mb") * BYTES_PER_MB
    if len(cache.attempt_ids) > max_attempts or cache.answer_chars > max_bytes:
        return True
    oldest = world.served_attempts.get(cache.attempt_ids[0])
    age_ms = now_ms - oldest.finished_ms
    return age_ms > effective_value(world.agreed, "serve.memory_ms")


def _evict_oldest(world: World) -> None:
    cache = world.reply_cache
    attempt = world.served_attempts.delete(cache.attempt_ids.popleft())
    cache.answer_chars -= len(attempt.answer)
    cache.evicted_offset = max(cache.evicted_offset, attempt.claim_offset)


def may_have_been_evicted(world: World, claim_offset: int) -> bool:
    """Return whether an attempt that is not cached may have been evicted.

    Claims are compared by log offset, so that the result depends on no clock.
    """
    return 0 < claim_offset <= world.reply_cache.evicted_offset
