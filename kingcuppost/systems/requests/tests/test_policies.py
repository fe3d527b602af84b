"""Routing policies on one seeded list of arrivals, minions of unequal speed."""

import functools
import random

import pytest

from kingcuppost.systems.requests import policies
from kingcuppost.systems.requests.tests.driver import Driver
from kingcuppost.tables.record import SettingPut
from kingcuppost.tables.request import Outcome

RUN_MS = {f"m-{n}": ms for n, ms in enumerate((40, 40, 80, 80, 160, 160, 320, 320))}
SLOTS = 2
SETTLE_MS = 500
ARRIVALS = 500
SHARE_OF_CAPACITY = 0.6
SEEDS = (1, 2)


def latencies(policy: str, seed: int) -> list[int]:
    driver = Driver(RUN_MS, slots=SLOTS)
    driver.propose(SettingPut("", "request.routing", policy, 0))
    driver.advance(SETTLE_MS)
    rate_per_ms = SHARE_OF_CAPACITY * sum(SLOTS / ms for ms in RUN_MS.values())
    rng = random.Random(seed)
    asked_ms = {}
    due_ms = 0.0
    for number in range(ARRIVALS):
        due_ms += rng.expovariate(rate_per_ms)
        while due_ms >= 1:
            driver.advance(int(due_ms))
            due_ms -= int(due_ms)
        call = driver.ask(f"entry-{number % 2}", f"q{number}")
        asked_ms[call] = driver.clock.now_ms()
    driver.advance(10_000)
    assert all(driver.outcome(call) is Outcome.ANSWERED for call in asked_ms)
    assert max(driver.most_running.values()) <= SLOTS
    return sorted(driver.answered_ms[call] - at for call, at in asked_ms.items())


@functools.cache
def figures(policy: str) -> tuple[float, float, float]:
    """Return mean, median and 99th percentile over all seeds, in ms."""
    values = sorted(value for seed in SEEDS for value in latencies(policy, seed))
    count = len(values)
    return sum(values) / count, values[count // 2], values[int(count * 0.99)]


def test_registry_holds_the_candidate_and_two_baselines() -> None:
    assert set(policies) >= {"two_choices", "random", "round_robin"}


@pytest.mark.parametrize("baseline", ["random", "round_robin"])
def test_two_choices_beats_a_baseline(baseline: str) -> None:
    ours = figures("two_choices")
    theirs = figures(baseline)
    print("mean, p50, p99 in ms: two_choices", ours, baseline, theirs)
    assert ours[0] < theirs[0]
    assert ours[1] < theirs[1]
    assert ours[2] <= theirs[2]


def test_minion_measured_slow_once_is_measured_again() -> None:
    driver = Driver({"m-0": 20, "m-1": 400}, entries=1)
    driver.advance(SETTLE_MS)
    for number in range(20):
        driver.ask("entry-0", f"first {number}")
        driver.advance(100)
    assert driver.worlds["entry-0"].health.get("m-1").service_ms > 0
    driver.run_ms["m-1"] = 4
    for number in range(1_000):
        driver.ask("entry-0", f"later {number}")
        driver.advance(100)
    health = driver.worlds["entry-0"].health
    assert health.get("m-1").service_ms < health.get("m-0").service_ms
