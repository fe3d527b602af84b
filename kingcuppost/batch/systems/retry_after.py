"""When callers that are refused during an outage of the log should come back.

Designed for outages of some seconds, in which each caller repeats its call a few times
only. How long an outage will last is unknown; one that has lasted longer is expected
to last longer. So the pause grows with the age of the view, and a caller's retries
cover several times the age of the outage at its first refusal. Callers of urgent queues
come back first.
"""

from kingcuppost.batch.systems.freshness import view_age_ms
from kingcuppost.batch.tables.messages import Stream
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["outage_pause_ms"]

MS_PER_SECOND = 1_000  # the pause is told to callers in whole seconds
MIN_PAUSE_MS = 1_000
MAX_PAUSE_MS = 3_000  # an urgent caller may still be served within its target
RETURN_STEP_MS = 1_000  # between callers of one priority and those of the next
MAX_RETURN_STEPS = 2


def outage_pause_ms(
    world: BatchWorld, stream: Stream, priority: int, now_ms: int
) -> int:
    """Return the pause after which a refused call should be repeated, in ms.

    Parameters
    ----------
    stream : Stream
        Stream whose outdated view is the reason of the refusal.
    priority : int
        Priority of the call's queue; 0 is the most urgent.
    """
    age_ms = view_age_ms(world, stream, now_ms)
    age_ms -= age_ms % MS_PER_SECOND
    pause_ms = min(max(age_ms, MIN_PAUSE_MS), MAX_PAUSE_MS)
    if pause_ms == MIN_PAUSE_MS:
        return pause_ms
    return pause_ms + RETURN_STEP_MS * min(priority, MAX_RETURN_STEPS)
