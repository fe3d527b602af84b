"""Event loop: runs a tick when a message has arrived or a deadline is due."""

import logging
import time
from collections.abc import Callable
from typing import Any

from kingcuppost.utils.ticks import System, SystemTime, time_tick

__all__ = ["TickLoop"]

LOGGER_NAME = "kingcuppost"
EXIT_SOFTWARE_ERROR = 70  # EX_SOFTWARE of sysexits.h
MS_PER_SECOND = 1_000
LONG_TICK_MS = 100
LONG_TICK_LINE_PERIOD_MS = 1_000
MIN_DELAY_MS = 1  # keeps the loop from spinning on a deadline that has passed


def _read_ms() -> float:
    """Return the reading of a clock that measures durations, in ms."""
    return time.perf_counter() * MS_PER_SECOND


def _write_note(part: str, text: str, **fields: str | int) -> None:
    """Write a line to the log of the process."""
    logging.getLogger(LOGGER_NAME).warning(f"{part}: {text}", extra=fields)


class TickLoop:
    """Runs ticks on the reactor's one thread.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    systems : list of System
        Systems of the role, in the order of execution.
    read_ms : callable, optional
        Returns the reading of a clock that measures durations, in ms.

    Attributes
    ----------
    tick_count : int
        Number of ticks that were started.
    """

    def __init__(
        self,
        reactor: Any,
        systems: list[System],
        read_ms: Callable[[], float] = _read_ms,
    ) -> None:
        self._reactor = reactor
        self._read_ms = read_ms
        self._long_tick_logged_ms: int | None = None
        self._systems = systems
        self._context: Any = None
        self._after_tick: Callable[[], None] = lambda: None
        self._note: Callable[..., None] = _write_note
        self._scheduled_tick: Any = None
        self._timer: Any = None
        self.tick_count = 0

    def attach(
        self,
        context: Any,
        after_tick: Callable[[], None],
        note: Callable[..., None] = _write_note,
    ) -> None:
        """Set the context whose world the loop runs on.

        Parameters
        ----------
        context : object
            Edges of the process, with `world`, `senders` and `exit_code`.
        after_tick : callable
            Called after every tick; writes the new log lines.
        note : callable, optional
            Takes part, text and fields of a log line about the loop itself.
        """
        self._context = context
        self._after_tick = after_tick
        self._note = note

    def wake(self) -> None:
        """Request a tick; requests made before it runs share one tick."""
        if self._scheduled_tick is None:
            self._scheduled_tick = self._reactor.callLater(0, self._tick)

    def _tick(self) -> None:
        self._scheduled_tick = None
        world = self._context.world
        self.tick_count += 1
        try:
            self._run_systems(world)
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

    def _run_systems(self, world: Any) -> None:
        """Run the systems once, and measure how long they take."""
        message_count = len(world.inbox)
        now_ms = world.clock.now_ms()
        started_ms = self._read_ms()
        longest = time_tick(world, self._systems, now_ms, self._read_ms)
        duration_ms = self._read_ms() - started_ms
        world.tally.observe("tick", duration_ms)
        if duration_ms >= LONG_TICK_MS:
            world.tally.add("long_ticks", longest.name)
            self._log_long_tick(duration_ms, longest, message_count, now_ms)

    def _log_long_tick(
        self, duration_ms: float, longest: SystemTime, message_count: int, now_ms: int
    ) -> None:
        """Log which system made a tick long, at most once in a period."""
        logged_ms = self._long_tick_logged_ms
        if logged_ms is not None and now_ms - logged_ms < LONG_TICK_LINE_PERIOD_MS:
            return
        self._long_tick_logged_ms = now_ms
        self._note(
            "loop",
            "A tick was long.",
            took_ms=round(duration_ms),
            system=longest.name,
            system_ms=round(longest.duration_ms),
            messages=message_count,
        )

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
