"""Metrics, health checks and structured logs."""

import logging
import sys
from itertools import accumulate
from typing import Any

from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from pythonjsonlogger.json import JsonFormatter
from twisted.web.server import Request

from kingcuppost.edges.context import EdgeContext
from kingcuppost.edges.routes import route
from kingcuppost.systems.agreement.freshness import is_following
from kingcuppost.systems.views.metrics import (
    Metric,
    MetricKind,
    metrics,
    read_durations,
    read_samples,
)
from kingcuppost.tables.event import Event
from kingcuppost.tables.metrics import DURATION_BOUNDS_MS
from kingcuppost.tables.world import World

__all__ = ["EventLog", "WorldCollector", "configure_logs"]

MS_PER_SECOND = 1_000
STATUS_UNAVAILABLE = 503
OPERATORS = "operators"


class WorldCollector:
    """Prometheus collector that reads metrics from the tables at each scrape."""

    def __init__(self, world: World) -> None:
        self._world = world

    def collect(self) -> Any:
        """Yield the metric families."""
        for name, metric in metrics.items():
            yield FAMILY_BUILDERS[metric.kind](self._world, name, metric)


def _build_gauge_family(world: World, name: str, metric: Metric) -> GaugeMetricFamily:
    family = GaugeMetricFamily(metric.name, metric.text, labels=metric.labels)
    for labels, value in read_samples(world, name):
        family.add_metric(labels, value)
    return family


def _build_counter_family(
    world: World, name: str, metric: Metric
) -> CounterMetricFamily:
    family = CounterMetricFamily(metric.name, metric.text, labels=metric.labels)
    for labels, value in read_samples(world, name):
        family.add_metric(labels, value)
    return family


def _build_histogram_family(world: World, name: str, metric: Metric) -> Any:
    family = HistogramMetricFamily(metric.name, metric.text, labels=metric.labels)
    for labels, durations in read_durations(world, name):
        cumulative_counts = accumulate(durations.buckets)
        bounds = [*(str(ms / MS_PER_SECOND) for ms in DURATION_BOUNDS_MS), "+Inf"]
        buckets = list(zip(bounds, cumulative_counts, strict=True))
        family.add_metric(labels, buckets, durations.sum_ms / MS_PER_SECOND)
    return family


FAMILY_BUILDERS = {
    MetricKind.GAUGE: _build_gauge_family,
    MetricKind.COUNTER: _build_counter_family,
    MetricKind.HISTOGRAM: _build_histogram_family,
}


@route(OPERATORS, "GET", "/metrics", direct=True)
def get_metrics(context: EdgeContext, request: Request) -> bytes:
    """Serve the metrics of the process."""
    registry = CollectorRegistry()
    registry.register(WorldCollector(context.world))
    ProcessCollector(registry=registry)
    request.setHeader(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
    return generate_latest(registry)


@route(OPERATORS, "GET", "/healthz", direct=True)
def get_health(context: EdgeContext, request: Request) -> bytes:
    """Report that the event loop runs."""
    return b"ok\n"


@route(OPERATORS, "GET", "/readyz", direct=True)
def get_readiness(context: EdgeContext, request: Request) -> bytes:
    """Report whether the process has caught up with the log and accepts work."""
    world = context.world
    if world.log_view.caught_up and not world.stopping:
        follows = is_following(world, world.clock.now_ms())
        return b"ready\n" if follows else b"ready, log not fresh\n"
    request.setResponseCode(STATUS_UNAVAILABLE)
    return b"not ready\n"


def configure_logs(world: World, level: str) -> logging.Logger:
    """Configure and return the process's logger: JSON lines on standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter("%(levelname)s %(message)s"))
    logger = logging.getLogger("kingcuppost")
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return logger


class EventLog:
    """Writes the events that a tick added to the world as log lines."""

    def __init__(self, world: World, logger: logging.Logger) -> None:
        self._world = world
        self._logger = logger
        self._written_count = 0

    def flush(self) -> None:
        """Write the events that were added since the last call."""
        new_count = self._world.event_count - self._written_count
        if not new_count:
            return
        self._written_count = self._world.event_count
        for event in list(self._world.events)[-new_count:]:
            self._logger.info(_format_line(event), extra=_format_fields(event))


def _format_line(event: Event) -> str:
    prefix = event.step.partition(".")[0]
    return f"{prefix}: {event.text}"


def _format_fields(event: Event) -> dict[str, str | int]:
    """Return an event's non-empty fields.

    `process` is written as `instance`, since the logging library reserves the name.
    """
    names = (name for name in Event.__slots__ if name not in ("text", "process"))
    fields = {name: getattr(event, name) for name in names}
    fields["instance"] = event.process
    return {name: value for name, value in fields.items() if value != ""}
