"""Tests of the life cycle of jobs in a small deployment, mostly without faults."""

from kingcuppost.batch.tables.job import JobState, RunEnd, StepSpec
from kingcuppost.batch.tables.messages import CallKind, CallOutcome, Stream
from standins.batch import Deployment

SMALL = StepSpec(3, cpu_millis=5_000, memory_mb=8_000, accelerators=1, saves=True)
GANG = StepSpec(
    3, cpu_millis=7_500, memory_mb=15_000, accelerators=2, gang=True, one_rack=True
)


def make_ready_deployment(seed: int = 1, **sizes: int) -> Deployment:
    deployment = Deployment(seed, **sizes)
    assert deployment.run_until(lambda: deployment.holder() is not None, 5_000)
    deployment.run_for(2_000)
    deployment.checks.expects_no_faults = True
    return deployment


def test_dependent_steps_run_in_order() -> None:
    deployment = make_ready_deployment()
    second = StepSpec(2, cpu_millis=1_000, needs=(0,))
    job_id, exchange_id = deployment.submit((SMALL, second), [2_000, 500])
    deployment.run_for(100)
    assert deployment.replies[exchange_id].outcome is CallOutcome.OK
    assert deployment.run_until(
        lambda: deployment.state(job_id) is JobState.COMPLETED, 10_000
    )
    assert not deployment.checks.violations


def test_gang_runs_in_one_rack_and_ends_together() -> None:
    deployment = make_ready_deployment()
    job_id, _ = deployment.submit((GANG,), [1_500], priority=0)
    assert deployment.run_until(
        lambda: deployment.state(job_id, 0) is JobState.COMPLETED, 10_000
    )
    assert deployment.checks.ends[RunEnd.DONE] == 3
    assert not deployment.checks.violations


def test_urgent_gang_starts_on_full_minions_within_1800_ms() -> None:
    deployment = make_ready_deployment(minions=3)
    for _ in range(3):
        deployment.submit((StepSpec(8, cpu_millis=5_000, accelerators=1),), [60_000], 2)
    deployment.run_for(1_000)
    before = deployment.checks.starts
    deployment.submit((GANG,), [1_500], priority=0)
    deployment.run_for(1_800)
    assert deployment.checks.starts >= before + 3
    assert not deployment.checks.violations


def test_cancelled_job_stops() -> None:
    deployment = make_ready_deployment()
    job_id, _ = deployment.submit((SMALL,), [60_000])
    deployment.run_for(1_000)
    exchange_id = deployment.cancel(job_id)
    deployment.run_for(1_000)
    assert deployment.replies[exchange_id].outcome is CallOutcome.OK
    assert deployment.state(job_id) is JobState.CANCELLED
    assert not any(minion.runs for minion in deployment.minions.values())


def test_submissions_with_the_same_identifier_create_one_job() -> None:
    deployment = make_ready_deployment()
    job_id, first = deployment.submit((SMALL,), [500], entry="entry-0")
    _, second = deployment.submit((SMALL,), [500], job_id=job_id, entry="entry-1")
    deployment.run_for(5_000)
    assert deployment.replies[first].outcome is CallOutcome.OK
    assert deployment.replies[second].outcome is CallOutcome.OK
    assert deployment.checks.starts == 3
    assert not deployment.checks.violations


def test_job_with_failing_tasks_ends_as_failed() -> None:
    deployment = make_ready_deployment()
    for minion in deployment.minions.values():
        minion.fails_all_runs = True
    job_id, _ = deployment.submit((SMALL,), [500])
    assert deployment.run_until(
        lambda: deployment.state(job_id) is JobState.FAILED, 20_000
    )
    assert not deployment.checks.violations


def test_calls_for_unknown_jobs_and_queues_are_rejected() -> None:
    deployment = make_ready_deployment()
    unknown_job = deployment.call(CallKind.STATE, "/urgent/0123456789abcdef")
    unknown_queue = deployment.call(CallKind.STATE, "/nowhere/0123456789abcdef")
    queue_length = deployment.call(CallKind.STATE, "/urgent/")
    deployment.run_for(50)
    assert deployment.replies[unknown_job].outcome is CallOutcome.NO_JOB
    assert deployment.replies[unknown_queue].outcome is CallOutcome.NO_QUEUE
    assert deployment.replies[queue_length].waiting == 0


def test_first_term_of_an_empty_log_schedules() -> None:
    deployment = make_ready_deployment(seed=3, entries=1)
    assert deployment.holder().world.schedule.term >= 1
    job_id, _ = deployment.submit((SMALL,), [500])
    assert deployment.run_until(
        lambda: deployment.state(job_id) is JobState.COMPLETED, 5_000
    )


def test_overnight_work_leaves_whole_racks_to_urgent_gangs() -> None:
    deployment = make_ready_deployment()
    wide = StepSpec(6, cpu_millis=5_000, accelerators=1)
    for _ in range(2):
        deployment.submit((wide,), [60_000], 2)
        deployment.run_for(300)
    racks = {minion.rack for minion in deployment.minions.values() if minion.runs}
    assert len(racks) == 1


def test_entry_without_the_log_rejects_jobs_at_once() -> None:
    deployment = make_ready_deployment()
    deployment.processes["entry-1"].is_cut_off = True
    deployment.run_for(3_500)
    job_id, exchange_id = deployment.submit((SMALL,), [500], entry="entry-1")
    deployment.run_for(10)
    reply = deployment.replies[exchange_id]
    assert reply.outcome is CallOutcome.NOT_RUN
    assert reply.retry_after_ms > 0
    deployment.run_for(1_000)
    assert deployment.checks.starts == 0


def test_ended_jobs_are_removed_after_retention() -> None:
    deployment = make_ready_deployment(entries=2, minions=2)
    job_id, _ = deployment.submit((StepSpec(1, cpu_millis=1_000),), [100])
    assert deployment.run_until(
        lambda: deployment.state(job_id) is JobState.COMPLETED, 5_000
    )
    deployment.run_for(100_000)
    assert deployment.state(job_id) is JobState.COMPLETED
    deployment.run_for(100_000)
    exchange_id = deployment.call(CallKind.STATE, f"/design/{job_id}")
    deployment.run_for(50)
    assert deployment.replies[exchange_id].outcome is CallOutcome.NO_JOB
    keys = [key for _, key, _ in deployment.store.newest(Stream.JOBS)]
    assert not any(job_id in key for key in keys)


def test_guaranteed_gang_spreads_over_racks_instead_of_waiting() -> None:
    deployment = make_ready_deployment(minions=2)
    for index, minion in enumerate(deployment.minions.values()):
        minion.rack = f"r{index}-1"
    large = StepSpec(1, cpu_millis=7_500, accelerators=6, gang=True, estimate_ms=60_000)
    for _ in range(2):
        deployment.submit((large,), [60_000], 0)
        deployment.run_for(300)
    small = StepSpec(2, cpu_millis=7_500, accelerators=2, gang=True, one_rack=True)
    deployment.submit((small,), [1_000], 0)
    deployment.run_for(2_700)
    assert deployment.checks.starts == 4
    assert not deployment.checks.violations


def test_gang_retries_on_failed_minions_if_it_needs_them() -> None:
    deployment = make_ready_deployment(minions=2)
    for minion in deployment.minions.values():
        minion.rack = "r1-1"
        minion.fails_all_runs = True
    wide = StepSpec(2, cpu_millis=40_000, accelerators=8, gang=True)
    job_id, _ = deployment.submit((wide,), [500], 1)
    while not deployment.checks.ends[RunEnd.FAILED]:
        deployment.run_for(1)
    for minion in deployment.minions.values():
        minion.fails_all_runs = False
    assert deployment.run_until(
        lambda: deployment.state(job_id) is JobState.COMPLETED, 12_000
    )


def test_urgent_job_is_scheduled_again_without_a_change() -> None:
    """The only minion is in backoff at first, and no event marks the end of it."""
    deployment = make_ready_deployment(minions=1)
    fill = StepSpec(2, cpu_millis=30_000, accelerators=4, estimate_ms=60_000)
    deployment.submit((fill,), [60_000], 1)
    deployment.run_for(6_000)
    minion = deployment.minions["m-0"]
    row = next(iter(deployment.holder().world.schedule.minions))
    row.backoff_until_ms = deployment.clock.now_ms() + 1_500
    urgent = StepSpec(1, cpu_millis=30_000, accelerators=4, estimate_ms=9_000)
    job_id, _ = deployment.submit((urgent,), [9_000], 0)
    deployment.run_for(2_500)
    assert any(run.task.job == job_id for run in minion.runs.values())


def test_nothing_starts_in_a_zone_that_was_closed_unseen_by_the_holder() -> None:
    deployment = make_ready_deployment(minions=6)
    holder = deployment.holder()
    other = next(name for name in ("entry-0", "entry-1") if name != holder.name)
    holder.missed_streams = {Stream.OPERATORS}
    deployment.closed_zones.add("zone-0")
    deployment.run_for(2_500)
    wide = StepSpec(12, cpu_millis=10_000, accelerators=1)
    deployment.submit((wide,), [5_000], entry=other)
    deployment.run_for(2_000)
    assert deployment.checks.starts == 0
    holder.missed_streams = set()
    deployment.run_for(2_500)
    assert deployment.checks.starts == 12
    assert not any(
        minion.runs for minion in deployment.minions.values() if minion.zone == "zone-0"
    )
