"""Tests that runs survive the loss of the scheduling entry."""

import pytest

from kingcuppost.batch.tables.job import RunEnd, StepSpec
from standins.batch.tests.test_jobs import make_ready_deployment

LONG = StepSpec(9, cpu_millis=30_000, accelerators=4)
SEEDS = range(1, 9)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_run_expires_when_the_holder_is_cut_off(seed: int) -> None:
    deployment = make_ready_deployment(seed)
    deployment.submit((LONG,), [60_000])
    deployment.run_for(1_000 + 130 * seed)
    holder = deployment.holder()
    holder.is_cut_off = True
    deployment.run_for(9_000)
    others = [
        process for process in deployment.processes.values() if process is not holder
    ]
    assert any(process.world.schedule.is_loaded for process in others)
    assert deployment.checks.ends[RunEnd.LAPSED] == 0
    assert not deployment.checks.violations
