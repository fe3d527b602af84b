"""The clock of a simulated process whose ticks take time, by the lines they execute.

Without it, a tick takes no simulated time however much it does, and work that makes a
tick outlast a lease is not seen.
"""

import sys
from collections.abc import Callable
from types import FrameType

from kingcuppost.utils.clock import Clock

__all__ = ["WorkClock"]


class WorkClock:
    """Clock that advances during the ticks of a process.

    Parameters
    ----------
    base : Clock
        Clock of the deployment, which stands still during a tick.
    lines_per_ms : int
        Lines of Python that the process executes in 1 ms.
    """

    def __init__(self, base: Clock, lines_per_ms: int) -> None:
        self._base = base
        self._lines_per_ms = lines_per_ms
        self._lines = 0

    def now_ms(self) -> int:
        """Return monotonic time in ms."""
        return self._base.now_ms() + self._taken_ms()

    def wall_ms(self) -> int:
        """Return Unix time in ms."""
        return self._base.wall_ms() + self._taken_ms()

    def _taken_ms(self) -> int:
        """Return the time that the present tick has taken so far, in ms."""
        return self._lines // self._lines_per_ms

    def run(self, tick: Callable[[], None]) -> int:
        """Run a tick; return the time that it takes, in ms."""
        self._lines = 0
        previous = sys.gettrace()
        sys.settrace(self._count)
        try:
            tick()
        finally:
            sys.settrace(previous)
        taken_ms = self._taken_ms()
        self._lines = 0
        return taken_ms

    def _count(self, frame: FrameType, event: str, argument: object) -> Callable:
        self._lines += event == "line"
        return self._count
