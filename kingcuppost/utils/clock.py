"""Clocks that return monotonic and wall time in whole milliseconds."""

import time
from typing import Protocol

__all__ = ["NEVER_MS", "BootClock", "Clock", "ManualClock", "SystemClock"]

NEVER_MS = 2**62  # later than any reading of a clock
NS_PER_MS = 1_000_000
# Without CLOCK_BOOTTIME, the clock may stop while the machine is suspended.
BOOT_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Source of time in whole milliseconds."""

    def now_ms(self) -> int:
        """Return monotonic time in ms, for deadlines and durations."""
        ...

    def wall_ms(self) -> int:
        """Return Unix time in ms, for timestamps that people read."""
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
    """Clock of the operating system whose monotonic time includes suspension.

    A lease granted to another process also expires while this machine is suspended, so
    a process that grants leases measures them with this clock.
    """

    def now_ms(self) -> int:
        """Return the time since the machine's boot in ms, suspension included."""
        return time.clock_gettime_ns(BOOT_CLOCK_ID) // NS_PER_MS


class ManualClock:
    """Clock that a test or a simulation advances explicitly.

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
        """Return the current time of this clock in ms."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the current time of this clock in ms."""
        return self._now_ms

    def advance(self, by_ms: int) -> None:
        """Advance the clock.

        Parameters
        ----------
        by_ms : int
            Duration in ms; not negative.

        Raises
        ------
        ValueError
            If `by_ms` is negative.
        """
        if by_ms < 0:
            raise ValueError("a clock cannot move backwards")
        self._now_ms += by_ms
