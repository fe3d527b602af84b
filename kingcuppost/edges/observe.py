"""Metrics, health and structured logs."""

import logging
import sys
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import GaugeMetricFamily
from pythonjsonlogger.json import JsonFormatter
from twisted.web.server import Request

from kingcuppost.edges.context import EdgeContext
from kingcuppost.edges.routes import route
from kingcuppost.systems.agreement.follow import is_fresh
from kingcuppost.tables.event import Event
from kingcuppost.tables.world import World

__all__ = ["EventLog", "WorldCollector", "configure_logs"]

STATUS_OK = 200
STATUS_UNAVAILABLE = 503
OPERATORS = "operators"


class WorldCollector:
    """Reads metrics off the tables when they are asked for."""

    def __init__(self, world: World) -> None:
        self._world = world

    def collect(self) -> Any:
        """Yield the metric families."""
        world = self._world
        view = world.log_view
        gauges = {
            "folded_offset": ("Log offset applied last.", view.folded_offset),
            "log_head_offset": ("Newest known log offset.", view.head_offset),
            "log_fresh_age_ms": (
                "Age of the last read at the head, in ms; -1 before any.",
                world.clock.now_ms() - view.fresh_ms if view.fresh_ms >= 0 else -1,
            ),
            "scheduling_term": ("Present scheduling term.", world.agreed.lease.term),
            "open_requests": ("Requests held open.", len(world.requests)),
            "open_attempts": ("Attempts under way.", len(world.attempts)),
            "open_proposals": ("Records waiting for the log.", len(world.proposals)),
            "tasks": ("Members known at this sidecar.", len(world.tasks)),
            "jobs": ("Jobs known.", len(world.agreed.jobs)),
            "gangs": ("Gangs that hold accelerators.", len(world.agreed.gangs)),
            "events": ("Events since the start.", world.event_count),
        }
        for name, (text, value) in gauges.items():
            yield GaugeMetricFamily(f"kingcuppost_{name}", text, value=value)


@route(OPERATORS, "GET", "/metrics", direct=True)
def get_metrics(context: EdgeContext, request: Request) -> bytes:
    """Serve the metrics of the process."""
    registry = CollectorRegistry()
    registry.register(WorldCollector(context.world))
    request.setHeader(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
    return generate_latest(registry)


@route(OPERATORS, "GET", "/healthz", direct=True)
def get_health(context: EdgeContext, request: Request) -> bytes:
    """Say that the loop runs."""
    return b"ok\n"


@route(OPERATORS, "GET", "/readyz", direct=True)
def get_readiness(context: EdgeContext, request: Request) -> bytes:
    """Say whether the process has followed the log and welcomes work."""
    world = context.world
    if world.log_view.caught_up and not world.stopping:
        fresh = is_fresh(world, world.clock.now_ms())
        return b"ready\n" if fresh else b"ready, log not fresh\n"
    request.setResponseCode(STATUS_UNAVAILABLE)
    return b"not ready\n"


def configure_logs(world: World, level: str) -> logging.Logger:
    """Return the process's logger: JSON lines on standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter("%(levelname)s %(message)s"))
    logger = logging.getLogger("kingcuppost")
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return logger


class EventLog:
    """Writes new events of the world as log lines after each tick."""

    def __init__(self, world: World, logger: logging.Logger) -> None:
        self._world = world
        self._logger = logger
        self._written = 0

    def flush(self) -> None:
        """Write the events since the last call."""
        new = self._world.event_count - self._written
        if not new:
            return
        self._written = self._world.event_count
        for event in list(self._world.events)[-new:]:
            self._logger.info(_line_of(event), extra=_fields_of(event))


def _line_of(event: Event) -> str:
    prefix = event.step.partition(".")[0]
    return f"{prefix}: {event.text}"


def _fields_of(event: Event) -> dict[str, str | int]:
    """Return an event's fields; `process` is a name that the library keeps."""
    names = (name for name in Event.__slots__ if name not in ("text", "process"))
    fields = {name: getattr(event, name) for name in names}
    fields["instance"] = event.process
    return {name: value for name, value in fields.items() if value != ""}
