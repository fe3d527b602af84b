"""What runs outlives the loss of the entry that schedules."""

import pytest

from kingcuppost.batch.tables.job import RunEnd, StepSpec
from standins.batch.tests.test_days import ready

LONG = StepSpec(9, cpu_millis=30_000, accelerators=4)
SEEDS = range(1, 9)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_run_lapses_when_the_holder_is_cut_off(seed: int) -> None:
    deployment = ready(seed)
    deployment.submit((LONG,), [60_000])
    deployment.run_for(1_000 + 130 * seed)
    holder = deployment.holder()
    holder.is_cut = True
    deployment.run_for(9_000)
    others = [row for row in deployment.processes.values() if row is not holder]
    assert any(row.world.schedule.is_loaded for row in others)
    assert deployment.checks.ends[RunEnd.LAPSED] == 0
    assert not deployment.checks.broken
