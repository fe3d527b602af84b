"""Event loop: runs a tick when a message has arrived or a deadline is due."""

import logging
import time
from collections.abc import Callable
from typing import Any

from kingcuppost.utils.ticks import System, run_tick

__all__ = ["TickLoop"]

LOGGER_NAME = "kingcuppost"
EXIT_SOFTWARE_ERROR = 70  # EX_SOFTWARE of sysexits.h
MS_PER_SECOND = 1_000
MIN_DELAY_MS = 1  # keeps the loop from spinning on a deadline that has passed


class TickLoop:
    """Runs ticks on the reactor's one thread.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    systems : list of System
        Systems of the role, in the order of execution.

    Attributes
    ----------
    tick_count : int
        Number of ticks that were started.
    """

    def __init__(self, reactor: Any, systems: list[System]) -> None:
        self._reactor = reactor
        self._systems = systems
        self._context: Any = None
        self._after_tick: Callable[[], None] = lambda: None
        self._scheduled_tick: Any = None
        self._timer: Any = None
        self.tick_count = 0

    def attach(self, context: Any, after_tick: Callable[[], None]) -> None:
        """Set the context whose world the loop runs on.

        Parameters
        ----------
        context : object
            Edges of the process, with `world`, `senders` and `exit_code`.
        after_tick : callable
            Called after every tick; writes the new log lines.
        """
        self._context = context
        self._after_tick = after_tick

    def wake(self) -> None:
        """Request a tick; requests made before it runs share one tick."""
        if self._scheduled_tick is None:
            self._scheduled_tick = self._reactor.callLater(0, self._tick)

    def _tick(self) -> None:
        self._scheduled_tick = None
        world = self._context.world
        self.tick_count += 1
        try:
            started_s = time.perf_counter()
            run_tick(world, self._systems, world.clock.now_ms())
            duration_s = time.perf_counter() - started_s
            world.tally.observe("tick", duration_s * MS_PER_SECOND)
            for message in world.outbox.take_all():
                world.tally.add("messages_sent", type(message).__name__)
                self._context.senders[type(message)](self._context, message)
        except Exception:
            self._exit_after_failure()
            return
        if len(world.inbox):
            self.wake()
        self._set_timer()
        self._after_tick()

    def _exit_after_failure(self) -> None:
        """Log the exception and end the process.

        A tick that failed part-way may have left the tables inconsistent; a new
        process rebuilds them from the log.
        """
        logging.getLogger(LOGGER_NAME).critical("loop: The tick failed.", exc_info=True)
        self._context.exit_code = EXIT_SOFTWARE_ERROR
        self._reactor.stop()

    def _set_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        world = self._context.world
        next_ms = world.deadlines.next_ms()
        if next_ms is None:
            return
        delay_ms = max(next_ms - world.clock.now_ms(), MIN_DELAY_MS)
        self._timer = self._reactor.callLater(delay_ms / MS_PER_SECOND, self.wake)
