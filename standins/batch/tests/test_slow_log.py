"""What callers are told while the log is slow."""

import pytest

from kingcuppost.batch.tables.job import JobState, StepSpec
from kingcuppost.batch.tables.messages import CallKind, CallOutcome
from standins.batch import Deployment
from standins.batch.tests.test_jobs import make_ready_deployment

STEP = StepSpec(1, cpu_millis=1_000)
LOG_DELAY_MS = 230
CALL_MS = 3_000


def submit_and_wait(deployment: Deployment) -> str:
    """Submit a job to an entry, and return it as soon as it is accepted."""
    job_id, exchange_id = deployment.submit((STEP,), [20_000], entry="entry-0")
    assert deployment.run_until(lambda: exchange_id in deployment.replies, CALL_MS)
    assert deployment.replies[exchange_id].outcome is CallOutcome.OK
    return job_id


@pytest.mark.parametrize("entry", ["entry-0", "entry-1"], ids=["same", "other"])
def test_a_cancel_right_after_the_acceptance_is_carried_out(entry: str) -> None:
    """It was answered as for an unknown job, and the job ran on."""
    deployment = make_ready_deployment()
    deployment.log_delay_ms = LOG_DELAY_MS
    deployment.run_for(1_000)
    cancels = []
    for _ in range(8):
        job_id = submit_and_wait(deployment)
        cancels.append((job_id, deployment.cancel(job_id, entry=entry)))
        deployment.run_for(100)
    deployment.run_for(CALL_MS)
    outcomes = [deployment.replies[exchange_id].outcome for _, exchange_id in cancels]
    assert CallOutcome.NO_JOB not in outcomes
    states = {deployment.state(job_id) for job_id, _ in cancels}
    assert states == {JobState.CANCELLED}


@pytest.mark.parametrize("entry", ["entry-0", "entry-1"], ids=["same", "other"])
def test_a_job_is_known_right_after_its_acceptance(entry: str) -> None:
    """Its state was answered as for an unknown job."""
    deployment = make_ready_deployment()
    deployment.log_delay_ms = LOG_DELAY_MS
    deployment.run_for(1_000)
    states = []
    for _ in range(8):
        job_id = submit_and_wait(deployment)
        states.append(deployment.call(CallKind.STATE, f"/design/{job_id}", entry))
        deployment.run_for(100)
    deployment.run_for(CALL_MS)
    outcomes = {deployment.replies[exchange_id].outcome for exchange_id in states}
    assert outcomes == {CallOutcome.OK}
