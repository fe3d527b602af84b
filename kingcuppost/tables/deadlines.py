"""The times at which a system wants to run again."""

import heapq

__all__ = ["Deadlines"]


class Deadlines:
    """A heap of times in ms.

    A deadline only wakes the loop; the rows tell each system what is due.

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
        """Ask for a tick at a time."""
        if at_ms not in self._pending:
            self._pending.add(at_ms)
            heapq.heappush(self._heap, at_ms)

    def next_ms(self) -> int | None:
        """Return the earliest deadline, or None."""
        return self._heap[0] if self._heap else None

    def drop_due(self, now_ms: int) -> None:
        """Forget the deadlines up to and including `now_ms`."""
        while self._heap and self._heap[0] <= now_ms:
            self._pending.discard(heapq.heappop(self._heap))
