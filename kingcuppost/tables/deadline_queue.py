"""A priority queue of keys by deadline."""

import heapq

__all__ = ["DeadlineQueue"]


class DeadlineQueue:
    """A heap of keys by deadline in ms.

    Entries are never removed early: a caller of `take_due` checks whether each key
    still applies.

    Examples
    --------
    >>> deadlines = DeadlineQueue()
    >>> deadlines.put(20, "b")
    >>> deadlines.put(10, "a")
    >>> deadlines.take_due(15)
    ['a']
    >>> deadlines.next_ms()
    20
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, str]] = []

    def put(self, at_ms: int, key: str) -> None:
        """Add a key with its deadline."""
        heapq.heappush(self._heap, (at_ms, key))

    def take_due(self, now_ms: int) -> list[str]:
        """Remove and return the keys whose deadline is `now_ms` or earlier."""
        due = []
        while self._heap and self._heap[0][0] <= now_ms:
            due.append(heapq.heappop(self._heap)[1])
        return due

    def next_ms(self) -> int | None:
        """Return the earliest deadline, or None if there is none."""
        return self._heap[0][0] if self._heap else None
