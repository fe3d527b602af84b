"""Metrics of a process, computed from its tables on each request."""

from collections import Counter
from collections.abc import Iterator
from itertools import accumulate

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from kingcuppost.batch.systems.freshness import view_age_ms
from kingcuppost.batch.systems.wait_ages import longest_waits_ms
from kingcuppost.batch.tables.job import TaskPhase
from kingcuppost.batch.tables.messages import Stream
from kingcuppost.batch.tables.plan import PlanPhase
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.metrics import DURATION_BOUNDS_MS

__all__ = ["metrics_text"]

PREFIX = "kingcuppost_"
MS_PER_SECOND = 1_000


class _WorldCollector:
    """Collector that reads the tables of one process."""

    def __init__(self, world: BatchWorld) -> None:
        self._world = world

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families."""
        yield from _counters(self._world)
        yield from _histograms(self._world)
        yield from _gauges(self._world)


def _counters(world: BatchWorld) -> Iterator[Metric]:
    for name, counts in world.tally.counts.items():
        width = max(len(labels) for labels in counts)
        names = [f"label{index}" for index in range(width)]
        family = CounterMetricFamily(
            f"{PREFIX}{name}", f"Count of {name}.", labels=names
        )
        for labels, value in counts.items():
            family.add_metric([str(label) for label in labels], value)
        yield family


def _histograms(world: BatchWorld) -> Iterator[Metric]:
    for name, rows in world.tally.durations.items():
        width = max(len(labels) for labels in rows)
        names = [f"label{index}" for index in range(width)]
        family = HistogramMetricFamily(
            f"{PREFIX}{name}_seconds", f"Duration of {name}.", labels=names
        )
        for labels, row in rows.items():
            bounds = [*(str(ms / MS_PER_SECOND) for ms in DURATION_BOUNDS_MS), "+Inf"]
            buckets = list(zip(bounds, accumulate(row.buckets), strict=True))
            texts = [str(label) for label in labels]
            family.add_metric(texts, buckets, row.sum_ms / MS_PER_SECOND)
        yield family


def _gauges(world: BatchWorld) -> Iterator[Metric]:
    schedule = world.schedule
    phases = Counter()
    for plan in schedule.plans.values():
        if plan.phase is not PlanPhase.OVER:
            phases.update(plan.phase_counts)
    configuration = world.agreed.configuration
    connections = world.connections
    values = {
        "holds_lease": int(schedule.is_loaded),
        "jobs": len(world.agreed.jobs),
        "minions": len(schedule.minions),
        "tasks_placed": phases[TaskPhase.PLACED],
        "tasks_waiting": phases[TaskPhase.WAITING],
        "configuration_version": configuration.version if configuration else -1,
        "calls_waiting": len(world.pending_calls),
        "client_connections": connections.count,
        "client_held_bytes": connections.held_bytes,
        "client_served_bytes": connections.small_bytes + connections.large_bytes,
    }
    for name, value in values.items():
        yield GaugeMetricFamily(f"{PREFIX}{name}", f"Present {name}.", value=value)
    yield _view_ages(world)
    yield _longest_waits(world)


def _view_ages(world: BatchWorld) -> Metric:
    family = GaugeMetricFamily(
        f"{PREFIX}view_age_ms",
        "Age of the view of a stream; -1 before the first read.",
        labels=["stream"],
    )
    now_ms = world.clock.now_ms()
    for stream in Stream:
        family.add_metric([stream], view_age_ms(world, stream, now_ms))
    return family


def _longest_waits(world: BatchWorld) -> Metric:
    family = GaugeMetricFamily(
        f"{PREFIX}longest_wait_ms",
        "Longest present wait of work that is ready; 0 beside the holder of the lease.",
        labels=["reason"],
    )
    for reason, longest_ms in longest_waits_ms(world).items():
        family.add_metric([reason], longest_ms)
    return family


def metrics_text(world: BatchWorld) -> bytes:
    """Return all metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_WorldCollector(world))
    return generate_latest(registry)
