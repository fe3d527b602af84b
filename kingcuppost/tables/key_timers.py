"""Keys of rows that a system looks at again at a time."""

import heapq

__all__ = ["KeyTimers"]


class KeyTimers:
    """One time in ms for each key; the latest one set counts.

    Examples
    --------
    >>> due = KeyTimers()
    >>> due.set("a", 30)
    >>> due.set("b", 20)
    >>> due.set("a", 10)
    >>> due.take(15)
    ['a']
    >>> due.take(30)
    ['b']
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, str]] = []
        self._times: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._times)

    def set(self, key: str, at_ms: int) -> None:
        """Look at a key at a time, and at no other."""
        if self._times.get(key) != at_ms:
            self._times[key] = at_ms
            heapq.heappush(self._heap, (at_ms, key))

    def take(self, now_ms: int) -> list[str]:
        """Return and forget the keys that are due."""
        keys = []
        while self._heap and self._heap[0][0] <= now_ms:
            at_ms, key = heapq.heappop(self._heap)
            if self._times.get(key) == at_ms:
                del self._times[key]
                keys.append(key)
        return keys

    def discard(self, key: str) -> None:
        """Forget a key."""
        self._times.pop(key, None)

    def clear(self) -> None:
        """Forget all keys."""
        self._heap.clear()
        self._times.clear()
