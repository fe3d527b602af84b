"""Routing policies with seeded arrivals and minions of unequal speed."""

import functools
import random

import pytest

from kingcuppost.systems.requests import policies
from kingcuppost.systems.requests.tests.simulation import Simulation
from kingcuppost.tables.record import SettingPut
from kingcuppost.tables.request import Outcome

RUN_MS = {f"m-{n}": ms for n, ms in enumerate((40, 40, 80, 80, 160, 160, 320, 320))}
SLOTS = 2
SETTLE_MS = 500
ARRIVALS = 500
LOAD_RATIO = 0.6
SEEDS = (1, 2)


def measure_latencies(policy: str, seed: int) -> list[int]:
    simulation = Simulation(RUN_MS, slots=SLOTS)
    simulation.propose(SettingPut("", "request.routing", policy, 0))
    simulation.advance(SETTLE_MS)
    rate_per_ms = LOAD_RATIO * sum(SLOTS / ms for ms in RUN_MS.values())
    rng = random.Random(seed)
    sent_ms = {}
    due_ms = 0.0
    for number in range(ARRIVALS):
        due_ms += rng.expovariate(rate_per_ms)
        while due_ms >= 1:
            simulation.advance(int(due_ms))
            due_ms -= int(due_ms)
        call = simulation.send_request(f"entry-{number % 2}", f"q{number}")
        sent_ms[call] = simulation.clock.now_ms()
    simulation.advance(10_000)
    assert all(simulation.outcome(call) is Outcome.ANSWERED for call in sent_ms)
    assert max(simulation.max_running.values()) <= SLOTS
    return sorted(
        simulation.answered_ms[call] - at_ms for call, at_ms in sent_ms.items()
    )


@functools.cache
def latency_figures(policy: str) -> tuple[float, float, float]:
    """Return mean, median and 99th percentile over all seeds, in ms."""
    values = sorted(
        value for seed in SEEDS for value in measure_latencies(policy, seed)
    )
    count = len(values)
    return sum(values) / count, values[count // 2], values[int(count * 0.99)]


def test_registry_has_two_choices_and_two_baselines() -> None:
    assert set(policies) >= {"two_choices", "random", "round_robin"}


@pytest.mark.parametrize("baseline", ["random", "round_robin"])
def test_two_choices_beats_a_baseline(baseline: str) -> None:
    two_choices_figures = latency_figures("two_choices")
    baseline_figures = latency_figures(baseline)
    print(
        "mean, p50, p99 in ms: two_choices",
        two_choices_figures,
        baseline,
        baseline_figures,
    )
    assert two_choices_figures[0] < baseline_figures[0]
    assert two_choices_figures[1] < baseline_figures[1]
    assert two_choices_figures[2] <= baseline_figures[2]


def test_minion_measured_slow_once_is_measured_again() -> None:
    simulation = Simulation({"m-0": 20, "m-1": 400}, entries=1)
    simulation.advance(SETTLE_MS)
    for number in range(20):
        simulation.send_request("entry-0", f"first {number}")
        simulation.advance(100)
    assert simulation.worlds["entry-0"].health.get("m-1").service_ms > 0
    simulation.run_ms["m-1"] = 4
    for number in range(1_000):
        simulation.send_request("entry-0", f"later {number}")
        simulation.advance(100)
    health = simulation.worlds["entry-0"].health
    assert health.get("m-1").service_ms < health.get("m-0").service_ms
