"""Keys by the time at which something is due for them."""

import heapq

__all__ = ["DeadlineQueue"]


class DeadlineQueue:
    """A heap of keys by time in ms; who asks checks whether the key still counts.

    Examples
    --------
    >>> agenda = DeadlineQueue()
    >>> agenda.put(20, "b")
    >>> agenda.put(10, "a")
    >>> agenda.take_due(15)
    ['a']
    >>> agenda.next_ms()
    20
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, str]] = []

    def put(self, at_ms: int, key: str) -> None:
        """File a key under a time."""
        heapq.heappush(self._heap, (at_ms, key))

    def take_due(self, now_ms: int) -> list[str]:
        """Remove and return the keys due up to and including `now_ms`."""
        due = []
        while self._heap and self._heap[0][0] <= now_ms:
            due.append(heapq.heappop(self._heap)[1])
        return due

    def next_ms(self) -> int | None:
        """Return the earliest time, or None."""
        return self._heap[0][0] if self._heap else None
