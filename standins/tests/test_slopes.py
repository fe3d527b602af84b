"""Tests of the predicted use from slopes."""

import pytest

from standins.slopes import (
    BUDGET,
    ROLES,
    Rates,
    Size,
    Slope,
    breaking_factor,
    predict,
    to_rates,
)
from standins.usage import Usage

SIZE = Size("test", 80, 800, 10, 86_400, 0, 0)


def make_slope(driver: str, rates: Rates) -> Slope:
    return Slope(driver, dict.fromkeys(ROLES, rates), dict.fromkeys(ROLES, 0.0), "")


def test_prediction_is_base_plus_slopes() -> None:
    base = Rates(0.01, 1.0, 50.0)
    slopes = [
        make_slope("worker", Rates(0.0001, 0.01, 0.1)),
        make_slope("job", Rates(0.005, 2.0, 99.0, 1.5)),
    ]
    full = predict(base, slopes, SIZE, "entry")
    assert full.processor == pytest.approx(0.01 + 0.008 + 0.005)
    assert full.kb_a_second == pytest.approx(1 + 0.8 + 2)
    assert full.memory_mb == pytest.approx(58)
    assert full.appends == pytest.approx(1.5)


def test_sidecar_runs_only_the_tasks_of_its_worker() -> None:
    slopes = [make_slope("running task", Rates(0.001, 0.0, 1.0))]
    zero = Rates(0.0, 0.0, 0.0)
    assert predict(zero, slopes, SIZE, "sidecar").processor == pytest.approx(0.01)
    report_ratio = 60_000 / (80 * 800)
    holder = predict(zero, slopes, SIZE, "holder")
    assert holder.processor == pytest.approx(0.8 * report_ratio)
    assert holder.memory_mb == pytest.approx(800.0)


def test_heartbeat_load_of_an_entry_is_bounded() -> None:
    zero = Rates(0.0, 0.0, 0.0)
    slopes = [make_slope("worker", Rates(0.0001, 0.01, 0.1))]
    sizes = [Size("large", workers, 0, 0, 0, 0, 0) for workers in (400, 4_000)]
    uses = [predict(zero, slopes, size, "entry") for size in sizes]
    assert uses[0].processor == pytest.approx(80 * 0.0001)
    assert uses[1].processor == pytest.approx(uses[0].processor)
    assert uses[1].memory_mb == pytest.approx(400.0)


def test_first_exhausted_budget_is_returned() -> None:
    base = Rates(0.0, 0.0, 56.0)
    full = Rates(BUDGET.processor / 2, BUDGET.kb_a_second * 4, 66.0)
    assert breaking_factor(base, full) == ("kb_a_second", 0.25)


def test_use_is_converted_to_rates() -> None:
    use = Usage(0.5, 3.0, 10_000, 7, 5, 9)
    assert to_rates(use, 5.0) == Rates(0.1, 2.0, 3.0, 1.0)


def test_sum_keeps_memory_and_offset() -> None:
    use = Usage(0.5, 3.0, 10_000, 7, 5, 9)
    assert use.add(use) == Usage(1.0, 3.0, 20_000, 14, 10, 9)
