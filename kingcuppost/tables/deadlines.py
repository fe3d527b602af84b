"""Times at which systems need another tick."""

import heapq

__all__ = ["Deadlines"]


class Deadlines:
    """A heap of distinct times in ms at which the loop runs a tick.

    A deadline only wakes the loop; each system finds out from its rows what is due.

    Examples
    --------
    >>> deadlines = Deadlines()
    >>> deadlines.add(30)
    >>> deadlines.add(20)
    >>> deadlines.next_ms()
    20
    >>> deadlines.drop_due(25)
    >>> deadlines.next_ms()
    30
    """

    def __init__(self) -> None:
        self._heap: list[int] = []
        self._pending: set[int] = set()

    def add(self, at_ms: int) -> None:
        """Request a tick at a time."""
        if at_ms not in self._pending:
            self._pending.add(at_ms)
            heapq.heappush(self._heap, at_ms)

    def next_ms(self) -> int | None:
        """Return the earliest deadline, or None if there is none."""
        return self._heap[0] if self._heap else None

    def drop_due(self, now_ms: int) -> None:
        """Remove the deadlines up to and including `now_ms`."""
        while self._heap and self._heap[0] <= now_ms:
            self._pending.discard(heapq.heappop(self._heap))
