"""The time that one system may take in a tick."""

from kingcuppost.batch.systems.holder_election import RENEW_PERIOD_MS
from kingcuppost.utils.clock import Clock

__all__ = ["TICK_BUDGET_MS", "TickBudget"]

TICK_BUDGET_MS = RENEW_PERIOD_MS // 10  # the lease is renewed between ticks


class TickBudget:
    """Time after which a system leaves the rest of its work to the next tick.

    Parameters
    ----------
    clock : Clock
        Clock of the process.
    limit_ms : int, optional
        The time, in ms.
    """

    def __init__(self, clock: Clock, limit_ms: int = TICK_BUDGET_MS) -> None:
        self._clock = clock
        self._end_ms = clock.now_ms() + limit_ms

    def is_spent(self) -> bool:
        """Return whether the time is over."""
        return self._clock.now_ms() >= self._end_ms
