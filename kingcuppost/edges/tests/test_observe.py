"""Metrics are read from the tables, in the base units of Prometheus."""

import re

import pytest
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.parser import text_string_to_metric_families

from kingcuppost.edges.observe import WorldCollector
from kingcuppost.programs import make_world
from kingcuppost.systems.events import note
from kingcuppost.systems.views.metrics import MetricKind, metrics
from kingcuppost.tables.config import Address, EntryConfig, LogConfig, ProcessConfig
from kingcuppost.tables.fleet import AvailabilityZone
from kingcuppost.tables.identity import Role
from kingcuppost.tables.request import RetryBudget
from kingcuppost.tables.scheduling import UncoveredGuarantee
from kingcuppost.tables.world import World

UNUSED_ADDRESS = Address("127.0.0.1", 0)


@pytest.fixture
def world() -> World:
    log = LogConfig("http", UNUSED_ADDRESS)
    entry = EntryConfig(UNUSED_ADDRESS, UNUSED_ADDRESS)
    cfg = ProcessConfig(
        Role.ENTRY, "entry-0", "vid-a", "vidzeme", UNUSED_ADDRESS, log, entry, seed=1
    )
    return make_world(cfg)


def read_samples_by_label(world: World) -> dict[tuple[str, tuple], float]:
    registry = CollectorRegistry()
    registry.register(WorldCollector(world))
    text = generate_latest(registry).decode()
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_counters_and_histograms_are_read_from_the_tally(world: World) -> None:
    world.tally.add("requests", "design", "answered")
    world.tally.observe("request", 30, "design", "answered")
    note(world, "request.close", "Request answered.")
    shown = read_samples_by_label(world)
    labels = (("outcome", "answered"), ("team", "design"))
    assert shown["kingcuppost_requests_total", labels] == 1
    assert shown["kingcuppost_request_seconds_sum", labels] == 0.03
    bucket = "kingcuppost_request_seconds_bucket"
    assert shown[bucket, (("le", "0.025"), *labels)] == 0
    assert shown[bucket, (("le", "0.05"), *labels)] == 1
    steps = (("step", "request.close"),)
    assert shown["kingcuppost_events_total", steps] == 1


def test_gauges_are_read_from_the_tables(world: World) -> None:
    zone = AvailabilityZone("vid-b", "vidzeme", False, 3, "ilze")
    world.agreed.availability_zones.put(zone)
    world.log_view.folded_offset = 9
    shown = read_samples_by_label(world)
    assert shown["kingcuppost_log_folded_offset", ()] == 9
    assert shown["kingcuppost_log_fresh_age_seconds", ()] == -1
    zones = "kingcuppost_availability_zone_in_service"
    assert shown[zones, (("zone", "vid-b"),)] == 0


def test_uncovered_guarantees_and_retry_budgets_are_exported(world: World) -> None:
    world.scheduling.uncovered.put(UncoveredGuarantee("design", (0, 0, 1), 4))
    world.retry_budgets.put(RetryBudget("design", 7.5))
    shown = read_samples_by_label(world)
    team = (("team", "design"),)
    assert shown["kingcuppost_guarantee_uncovered", team] == 1
    assert shown["kingcuppost_retry_tokens", team] == 7.5


@pytest.mark.parametrize("metric", metrics.values(), ids=lambda metric: metric.name)
def test_names_and_units_follow_prometheus_conventions(metric: object) -> None:
    assert re.fullmatch(r"kingcuppost_[a-z_]+", metric.name)
    assert metric.name.endswith("_total") == (metric.kind is MetricKind.COUNTER)
    assert "_ms" not in metric.name
    assert metric.text.endswith(".")
