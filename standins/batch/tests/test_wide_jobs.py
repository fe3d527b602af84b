"""Jobs with more tasks than one record of the log can hold."""

import pytest

from kingcuppost.batch.tables.job import JobState, StepSpec
from kingcuppost.batch.tables.messages import CallOutcome, Stream
from standins.batch import Deployment
from standins.batch.tests.test_jobs import make_ready_deployment

RECORD_BYTES = 65_536
SMALL = StepSpec(1, cpu_millis=1_000)


@pytest.mark.parametrize("count", [40, 1_600])
def test_a_wide_job_does_not_keep_other_jobs_from_running(count: int) -> None:
    """The append of its plan was refused for its size and repeated for ever."""
    deployment = make_ready_deployment()
    deployment.store.max_record_bytes = RECORD_BYTES
    wide = StepSpec(count, cpu_millis=10)
    deployment.submit((wide,), [60_000], 2)
    deployment.run_for(1_000)
    job_id, _ = deployment.submit((SMALL,), [500])
    deployment.run_for(5_000)
    assert deployment.state(job_id) is JobState.COMPLETED


def job_record_bytes(deployment: Deployment, job_id: str) -> int:
    records = deployment.store.newest(Stream.JOBS)
    values = {key: value for _, key, value in records}
    return 1 + len(f"job/{job_id}") + len(values[f"job/{job_id}"])


@pytest.mark.parametrize(("missing_bytes", "is_taken"), [(0, True), (1, False)])
def test_a_job_whose_record_can_never_be_written_is_refused(
    missing_bytes: int, is_taken: bool
) -> None:
    deployment = make_ready_deployment()
    steps = (SMALL,) * 20
    first_id, _ = deployment.submit(steps, [100] * 20)
    deployment.run_for(500)
    limit = job_record_bytes(deployment, first_id) - missing_bytes
    deployment.store.max_record_bytes = limit
    job_id, exchange_id = deployment.submit(steps, [100] * 20)
    deployment.run_for(500)
    reply = deployment.replies[exchange_id]
    assert reply.outcome is (CallOutcome.OK if is_taken else CallOutcome.BAD)
    assert is_taken or str(limit) in reply.reason
    assert (deployment.state(job_id) is not None) is is_taken
