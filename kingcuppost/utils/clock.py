"""The clock type: whole milliseconds, monotonic and wall."""

import time
from typing import Protocol

__all__ = ["BootClock", "Clock", "ManualClock", "SystemClock"]

NS_PER_MS = 1_000_000
BOOT_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Source of time in whole milliseconds."""

    def now_ms(self) -> int:
        """Return monotonic time, for deadlines and durations."""
        ...

    def wall_ms(self) -> int:
        """Return time since the Unix epoch, for records that people read."""
        ...


class SystemClock:
    """Clock of the operating system."""

    def now_ms(self) -> int:
        """Return monotonic time in ms."""
        return time.monotonic_ns() // NS_PER_MS

    def wall_ms(self) -> int:
        """Return Unix time in ms."""
        return time.time_ns() // NS_PER_MS


class BootClock(SystemClock):
    """Clock of the operating system that also counts time in which it slept.

    What was promised to others lapses while the machine sleeps, so a process that gives
    promises measures them with this clock.
    """

    def now_ms(self) -> int:
        """Return time since the machine's start in ms."""
        return time.clock_gettime_ns(BOOT_CLOCK_ID) // NS_PER_MS


class ManualClock:
    """Clock that a test or a driver moves by hand.

    Examples
    --------
    >>> clock = ManualClock(start_ms=5)
    >>> clock.advance(10)
    >>> clock.now_ms()
    15
    """

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the time that was set, in ms."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the time that was set, in ms."""
        return self._now_ms

    def advance(self, by_ms: int) -> None:
        """Move the clock forward.

        Parameters
        ----------
        by_ms : int
            How far, in ms; not negative.

        Raises
        ------
        ValueError
            If `by_ms` is negative.
        """
        if by_ms < 0:
            raise ValueError("a clock does not move back")
        self._now_ms += by_ms
