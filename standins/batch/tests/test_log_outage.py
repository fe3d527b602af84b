"""Runs, and the choice of a holder, while the log is silent for some seconds."""

import pytest

from kingcuppost.batch.tables.job import JobState, RunEnd, StepSpec
from standins.batch.tests.test_jobs import make_ready_deployment

LONG = StepSpec(9, cpu_millis=30_000, accelerators=4)
SHORT = StepSpec(1, cpu_millis=1_000)
OUTAGE_MS = 7_500  # longer than the lease of 6 s
SEEDS = range(1, 7)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_run_expires_while_the_log_is_silent(seed: int) -> None:
    """Extensions ended with the holder's authority, and work was lost for nothing."""
    deployment = make_ready_deployment(seed)
    deployment.submit((LONG,), [60_000])
    deployment.run_for(1_000 + 130 * seed)
    deployment.log_is_down = True
    deployment.run_for(OUTAGE_MS)
    deployment.log_is_down = False
    deployment.run_for(9_000)
    assert deployment.checks.ends[RunEnd.LAPSED] == 0
    assert not deployment.checks.violations


@pytest.mark.parametrize("seed", SEEDS)
def test_sidecars_find_the_next_holder_though_the_old_one_extends(seed: int) -> None:
    """A holder that alone is cut off from the log must not keep its sidecars."""
    deployment = make_ready_deployment(seed)
    deployment.run_for(100 * seed)
    holder = deployment.holder()
    holder.is_rejected_by_log = True
    deployment.run_for(4_000)
    entry = next(
        name
        for name, process in deployment.processes.items()
        if name.startswith("entry") and process is not holder
    )
    job_id, _ = deployment.submit((SHORT,), [500], entry=entry)
    deployment.run_for(2_500)
    assert deployment.state(job_id, entry=entry) is JobState.COMPLETED
    assert not deployment.checks.violations
