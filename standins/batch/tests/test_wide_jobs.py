"""Jobs with more tasks than one record of the log can hold."""

import pytest

from kingcuppost.batch.tables.job import JobState, StepSpec
from kingcuppost.batch.tables.messages import CallOutcome, Stream
from standins.batch import Deployment
from standins.batch.tests.test_jobs import make_ready_deployment

RECORD_BYTES = 65_536
SMALL = StepSpec(1, cpu_millis=1_000)
ENTRIES = ("entry-0", "entry-1", "entry-2")


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


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_wide_job_survives_the_loss_of_the_holder(seed: int) -> None:
    """The next holder met the plan that the log refused, and was blocked, too."""
    deployment = make_ready_deployment(seed)
    deployment.store.max_record_bytes = RECORD_BYTES
    wide = StepSpec(1_600, cpu_millis=200)
    job_id, _ = deployment.submit((wide,), [3_000], 2)
    deployment.run_for(1_500 + 300 * seed)
    assert deployment.checks.starts > 0
    holder = deployment.holder()
    deployment.kill(holder.name)
    deployment.run_for(4_000)
    assert deployment.holder() not in (None, holder)
    small_id, _ = deployment.submit((SMALL,), [500])
    deployment.run_for(2_000)
    assert deployment.state(small_id) is JobState.COMPLETED
    assert deployment.run_until(
        lambda: deployment.state(job_id, 2) is JobState.COMPLETED, 60_000
    )
    assert deployment.store.invalid_count == 0
    assert not deployment.checks.violations


def start_entries(deployment: Deployment, reads_parts: bool) -> list[str]:
    """Start all entries with one build, and submit jobs whose plans have parts."""
    for name in ENTRIES:
        deployment.processes[name].reads_parts = reads_parts
        deployment.start(name)
    assert deployment.run_until(lambda: deployment.holder() is not None, 5_000)
    deployment.run_for(2_000)
    steps = (StepSpec(60, cpu_millis=2_000), StepSpec(40, 2_000, needs=(0,)))
    job_ids = [deployment.submit(steps, [4_000, 1_000])[0] for _ in range(4)]
    deployment.run_for(1_000)
    return job_ids


def replace_entry(
    deployment: Deployment, name: str, reads_parts: bool, is_killed: bool
) -> None:
    """Replace the build of an entry that is stopped or killed."""
    process = deployment.processes[name]
    if is_killed:
        deployment.kill(name)
    else:
        deployment.stop(name)
        assert deployment.run_until(lambda: not process.is_up, 10_000)
    deployment.run_for(500)
    process.reads_parts = reads_parts
    deployment.start(name)
    deployment.run_for(3_000)


def assert_all_complete(deployment: Deployment, job_ids: list[str]) -> None:
    for job_id in job_ids:
        assert deployment.run_until(
            lambda job_id=job_id: deployment.state(job_id) is JobState.COMPLETED, 60_000
        )
    assert not deployment.checks.violations


@pytest.mark.parametrize("is_killed", [True, False], ids=["killed", "stopped"])
@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_roll_out_beside_wide_jobs_loses_and_repeats_nothing(
    seed: int, is_killed: bool
) -> None:
    """The earlier build does not read the parts of a plan."""
    deployment = Deployment(seed)
    job_ids = start_entries(deployment, reads_parts=False)
    for name in ENTRIES:
        replace_entry(deployment, name, reads_parts=True, is_killed=is_killed)
    assert_all_complete(deployment, job_ids)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_roll_back_beside_wide_jobs_loses_and_repeats_nothing(seed: int) -> None:
    deployment = Deployment(seed)
    job_ids = start_entries(deployment, reads_parts=True)
    for name in ENTRIES:
        replace_entry(deployment, name, reads_parts=False, is_killed=False)
    assert_all_complete(deployment, job_ids)


def test_a_roll_back_that_begins_with_a_killed_holder_repeats_nothing() -> None:
    """The earlier build claims the lease of its predecessor at once."""
    deployment = Deployment(seed=1)
    job_ids = start_entries(deployment, reads_parts=True)
    name = deployment.holder().name
    replace_entry(deployment, name, reads_parts=False, is_killed=True)
    assert_all_complete(deployment, job_ids)


def progress_keys(deployment: Deployment) -> list[str]:
    rows = deployment.store.newest(Stream.JOBS)
    return [key for _, key, _ in rows if key.startswith("progress/")]


def test_plans_are_rewritten_whole_for_an_entry_of_an_earlier_build() -> None:
    deployment = make_ready_deployment()
    job_id, _ = deployment.submit((StepSpec(60, cpu_millis=2_000),), [30_000])
    deployment.run_for(1_000)
    assert f"progress/{job_id}" not in progress_keys(deployment)
    assert f"progress/{job_id}/5" in progress_keys(deployment)
    old = next(name for name in ENTRIES if name != deployment.holder().name)
    deployment.kill(old)
    deployment.processes[old].reads_parts = False
    deployment.start(old)
    deployment.run_for(1_500)
    assert f"progress/{job_id}" in progress_keys(deployment)


@pytest.mark.parametrize(("count", "is_taken"), [(1_000, True), (1_001, False)])
def test_a_job_that_only_parts_can_hold_waits_for_the_end_of_a_roll_out(
    count: int, is_taken: bool
) -> None:
    deployment = make_ready_deployment()
    deployment.kill("entry-2")
    deployment.processes["entry-2"].reads_parts = False
    deployment.start("entry-2")
    deployment.run_for(3_000)
    wide = (StepSpec(count, cpu_millis=1),)
    job_id, exchange_id = deployment.submit(wide, [100], entry="entry-0")
    deployment.run_for(1_000)
    outcome = deployment.replies[exchange_id].outcome
    assert outcome is (CallOutcome.OK if is_taken else CallOutcome.NOT_RUN)
    deployment.kill("entry-2")
    deployment.processes["entry-2"].reads_parts = True
    deployment.start("entry-2")
    deployment.run_for(3_000)
    _, exchange_id = deployment.submit(wide, [100], job_id=job_id, entry="entry-0")
    deployment.run_for(1_000)
    assert deployment.replies[exchange_id].outcome is CallOutcome.OK


def test_the_records_of_a_wide_job_are_removed() -> None:
    deployment = make_ready_deployment()
    job_id, _ = deployment.submit((StepSpec(60, cpu_millis=1_000),), [500])
    retention_ms = deployment.bounds.status_ms + 80_000
    deployment.run_for(5_000)
    assert f"progress/{job_id}/5" in progress_keys(deployment)
    deployment.run_for(retention_ms)
    assert progress_keys(deployment) == []
