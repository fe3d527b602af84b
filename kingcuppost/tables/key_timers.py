"""Timers by key: when a system must process a row again."""

import heapq

__all__ = ["KeyTimers"]


class KeyTimers:
    """One timer in ms for each key; setting it again replaces the previous time.

    Examples
    --------
    >>> timers = KeyTimers()
    >>> timers.set("a", 30)
    >>> timers.set("b", 20)
    >>> timers.set("a", 10)
    >>> timers.take_due(15)
    ['a']
    >>> timers.take_due(30)
    ['b']
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, str]] = []
        self._times: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._times)

    def set(self, key: str, at_ms: int) -> None:
        """Set the timer of a key and replace a previous one."""
        if self._times.get(key) != at_ms:
            self._times[key] = at_ms
            heapq.heappush(self._heap, (at_ms, key))

    def take_due(self, now_ms: int) -> list[str]:
        """Remove and return the keys whose timer has expired."""
        keys = []
        while self._heap and self._heap[0][0] <= now_ms:
            at_ms, key = heapq.heappop(self._heap)
            if self._times.get(key) == at_ms:
                del self._times[key]
                keys.append(key)
        return keys

    def discard(self, key: str) -> None:
        """Remove the timer of a key, if there is one."""
        self._times.pop(key, None)

    def clear(self) -> None:
        """Remove all timers."""
        self._heap.clear()
        self._times.clear()
