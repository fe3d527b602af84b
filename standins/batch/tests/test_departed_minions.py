"""Work of minions that announce their end, beside a sidecar that lives on."""

import pytest

from kingcuppost.batch.tables.job import JobState, StepSpec
from standins.batch import Deployment
from standins.batch.minions import Minion
from standins.batch.tests.test_jobs import make_ready_deployment

# no estimates: runs are not stopped because their minion drains
SINGLE = StepSpec(1, cpu_millis=40_000, accelerators=4)
GANG = StepSpec(3, cpu_millis=40_000, accelerators=4, gang=True)
WORK_MS = 2_500
NOTICE_MS = 700  # until the sidecar has reported the announcement
RESTART_MS = 1_500  # far below the lease


def run_at_draining_minion(step: StepSpec) -> tuple[Deployment, str, Minion]:
    """Return a deployment, a job, and a minion that works on it and drains."""
    deployment = make_ready_deployment(minions=4)
    job_id, _ = deployment.submit((step,), [WORK_MS])
    deployment.run_for(500)
    minion = next(item for item in deployment.minions.values() if item.runs)
    minion.draining = True
    deployment.run_for(NOTICE_MS)
    return deployment, job_id, minion


@pytest.mark.parametrize("step", [SINGLE, GANG], ids=["single", "gang"])
def test_work_of_a_minion_that_ended_as_announced_starts_again_at_once(
    step: StepSpec,
) -> None:
    """Such work waited for the end of the minion lease, which nobody holds any more."""
    deployment, job_id, minion = run_at_draining_minion(step)
    minion.crash()
    deployment.run_for(RESTART_MS + WORK_MS)
    assert deployment.state(job_id) is JobState.COMPLETED
    assert not deployment.checks.violations


def test_work_of_a_draining_minion_that_hangs_is_not_started_again() -> None:
    """A second run would begin beside the first one, which goes on behind the hang."""
    deployment, job_id, minion = run_at_draining_minion(SINGLE)
    starts = deployment.checks.starts
    minion.is_frozen = True
    deployment.run_for(RESTART_MS)
    assert deployment.checks.starts == starts
    assert deployment.state(job_id) is JobState.RUNNING


def test_work_of_a_minion_that_ended_unannounced_waits_for_its_lease() -> None:
    """A refused connection alone is no evidence: a minion may listen again."""
    deployment = make_ready_deployment(minions=4)
    job_id, _ = deployment.submit((SINGLE,), [WORK_MS])
    deployment.run_for(500)
    minion = next(item for item in deployment.minions.values() if item.runs)
    starts = deployment.checks.starts
    minion.crash()
    deployment.run_for(RESTART_MS)
    assert deployment.checks.starts == starts
