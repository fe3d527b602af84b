"""Tests with random faults by seed; seeds that found a fault are kept."""

import pytest

from standins.batch.soak import run_day

# seed, faults a day, and the fault that the seed found
REGRESSION_DAYS = [
    pytest.param(2010, 12, id="a holder without renewals kept giving orders"),
    pytest.param(1001, 12, id="a run end was recorded after the lease had expired"),
    pytest.param(
        1036, 12, id="a run end was recorded after the lease, with zones closed"
    ),
]
# seeds of days with faults of single minions, which found the same fault
MINION_FAULT_DAYS = [
    pytest.param(seed, id=f"a start was repeated after the lease of its order, {seed}")
    for seed in (20018, 20044, 20048, 20073)
]
# seeds of days with many faults of single minions
MANY_MINION_FAULTS_DAYS = [
    pytest.param(1125, id="a late start reaches the next incarnation after its stop"),
    pytest.param(1105, id="a late start reaches the next incarnation after its end"),
    pytest.param(122, id="seed 122"),
]
OTHER_DAYS = [pytest.param(seed, 6, id=f"seed {seed}") for seed in (1, 2, 3, 4)]


@pytest.mark.parametrize(("seed", "faults"), REGRESSION_DAYS + OTHER_DAYS)
def test_day_of_faults_violates_no_guarantee(seed: int, faults: int) -> None:
    outcome = run_day(seed, faults)
    assert outcome.jobs
    assert not outcome.violations, outcome.injected_faults


@pytest.mark.parametrize("seed", MINION_FAULT_DAYS)
def test_day_of_minion_faults_violates_no_guarantee(seed: int) -> None:
    outcome = run_day(seed, fault_count=6, minion_fault_count=4)
    assert outcome.jobs
    assert not outcome.violations, outcome.injected_faults


@pytest.mark.parametrize("seed", MANY_MINION_FAULTS_DAYS)
def test_day_of_many_minion_faults_violates_no_guarantee(seed: int) -> None:
    outcome = run_day(seed, fault_count=6, minion_fault_count=8)
    assert outcome.jobs
    assert not outcome.violations, outcome.injected_faults
