"""Structured log lines on standard output, rate-limited and non-blocking."""

import logging
import os
import sys

from pythonjsonlogger.json import JsonFormatter

from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["LogWriter"]

MAX_LINES_PER_SECOND = 200
MS_PER_SECOND = 1_000
LOGGER_NAME = "kingcuppost"


class LogWriter:
    """Writes the log lines of a process after each tick.

    Standard output is set to non-blocking: a line that does not fit into its buffer is
    dropped without being counted. Lines beyond `MAX_LINES_PER_SECOND` are dropped and
    counted.

    Parameters
    ----------
    world : BatchWorld
        Tables of the process, with the lines to write.
    """

    def __init__(self, world: BatchWorld) -> None:
        self._world = world
        self._window_start_ms = 0
        self._written = 0
        self._dropped = 0
        self._logger = _make_logger()

    def flush(self) -> None:
        """Write the lines that were added since the last call."""
        if not self._world.log_lines:
            return
        now_ms = self._world.clock.now_ms()
        if now_ms - self._window_start_ms >= MS_PER_SECOND:
            self._window_start_ms = now_ms
            self._written = 0
        for line in self._world.log_lines:
            self._write(line.part, line.text, line.fields)
        self._world.log_lines.clear()

    def _write(self, part: str, text: str, fields: dict) -> None:
        if self._written >= MAX_LINES_PER_SECOND:
            self._dropped += 1
            self._world.tally.add("lines_dropped")
            return
        self._written += 1
        extra = {
            "wall_ms": self._world.clock.wall_ms(),
            "instance": self._world.cfg.name,
            "incarnation": self._world.incarnation,
            # members of a StrEnum become plain strings
            **{
                name: str(value) if isinstance(value, str) else value
                for name, value in fields.items()
            },
        }
        if self._dropped:
            extra["dropped_before"] = self._dropped
            self._dropped = 0
        self._logger.info(f"{part}: {text}", extra=extra)


def _make_logger() -> logging.Logger:
    os.set_blocking(sys.stdout.fileno(), False)
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(JsonFormatter("%(levelname)s %(message)s"))
    # without this, a dropped line would print a traceback to standard error
    handler.handleError = lambda record: None
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return logger
