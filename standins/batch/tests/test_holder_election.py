"""Tests that the scheduling lease moves if and only if its holder is lost."""

from dataclasses import replace

from kingcuppost.batch.systems.holder_election import has_authority
from kingcuppost.batch.tables.job import JobState, StepSpec
from kingcuppost.batch.tables.messages import Stream
from standins.batch import Deployment

SMALL = StepSpec(3, cpu_millis=5_000, memory_mb=8_000, accelerators=1, saves=True)


def make_ready_deployment(seed: int = 1) -> Deployment:
    deployment = Deployment(seed)
    assert deployment.run_until(lambda: deployment.holder() is not None, 5_000)
    deployment.run_for(2_000)
    return deployment


def test_another_entry_replaces_a_dead_holder() -> None:
    deployment = make_ready_deployment()
    old = deployment.holder()
    deployment.kill(old.name)
    assert deployment.run_until(lambda: deployment.holder() is not None, 5_000)
    job_id, _ = deployment.submit((SMALL,), [500])
    assert deployment.run_until(
        lambda: deployment.state(job_id) is JobState.COMPLETED, 10_000
    )


def test_jobs_complete_after_all_entries_were_killed() -> None:
    deployment = make_ready_deployment()
    job_id, _ = deployment.submit((SMALL,), [8_000])
    deployment.run_for(1_000)
    names = [name for name in deployment.processes if name.startswith("entry")]
    for name in names:
        deployment.kill(name)
    deployment.run_for(1_000)
    for name in names:
        deployment.start(name)
    assert deployment.run_until(lambda: deployment.holder() is not None, 4_000)
    assert deployment.run_until(
        lambda: deployment.state(job_id) is JobState.COMPLETED, 20_000
    )
    assert not deployment.checks.violations


def test_restarted_holder_claims_at_once() -> None:
    deployment = make_ready_deployment()
    old = deployment.holder()
    deployment.kill(old.name)
    deployment.run_for(300)
    deployment.start(old.name)
    assert deployment.run_until(lambda: deployment.holder() is not None, 1_000)


def test_stopping_holder_releases_the_lease() -> None:
    deployment = make_ready_deployment()
    old = deployment.holder()
    deployment.stop(old.name)
    deployment.run_for(1_000)
    assert deployment.holder() is not None
    assert deployment.holder().name != old.name


def test_job_cancelled_without_a_holder_does_not_run_again() -> None:
    deployment = make_ready_deployment()
    job_id, _ = deployment.submit((SMALL,), [60_000])
    deployment.run_for(500)
    deployment.kill(deployment.holder().name)
    deployment.run_for(300)
    deployment.cancel(job_id)
    deployment.run_for(6_000)
    assert deployment.holder() is not None
    assert not any(minion.runs for minion in deployment.minions.values())
    assert not deployment.checks.violations


def test_tasks_of_restarted_minions_do_not_wait_for_lease_expiry() -> None:
    """After a loss of power the minions return with new identifiers."""
    deployment = make_ready_deployment()
    job_id, _ = deployment.submit((SMALL,), [1_500])
    deployment.run_for(1_000)
    for process in deployment.processes.values():
        deployment.kill(process.name)
        if process.minion is not None:
            process.minion.restart()
            process.minion.id += "-again"
    deployment.run_for(700)
    for name in deployment.processes:
        deployment.start(name)
    assert deployment.run_until(
        lambda: deployment.state(job_id) is JobState.COMPLETED, 6_000
    )
    assert not deployment.checks.violations


def test_checkpoints_survive_a_restart_of_everything() -> None:
    deployment = make_ready_deployment()
    job_id, _ = deployment.submit((SMALL,), [20_000])
    deployment.run_for(12_000)
    for process in deployment.processes.values():
        deployment.kill(process.name)
        if process.minion is not None:
            process.minion.restart()
    deployment.run_for(700)
    for name in deployment.processes:
        deployment.start(name)
    deployment.run_for(4_000)
    runs = [
        run for minion in deployment.minions.values() for run in minion.runs.values()
    ]
    assert len(runs) == 3
    assert all(run.done_ms > 4_000 for run in runs)


def test_job_keeps_its_policy_when_its_queue_is_removed() -> None:
    deployment = make_ready_deployment()
    job_id, _ = deployment.submit((SMALL,), [4_000], 1)
    deployment.run_for(500)
    failing = next(minion for minion in deployment.minions.values() if minion.runs)
    failing.fails_all_runs = True
    queues = deployment.configuration.queues
    kept = tuple(queue for queue in queues if queue.priority != 1)
    deployment.configuration = replace(deployment.configuration, version=2, queues=kept)
    deployment.run_for(1_500)
    deployment.kill(deployment.holder().name)
    deployment.run_for(6_000)
    assert (
        deployment.holder().world.schedule.plans[job_id].job.policy.most_failures == 3
    )


def test_new_term_stops_runs_of_a_cancelled_job() -> None:
    deployment = make_ready_deployment()
    job_id, _ = deployment.submit((SMALL,), [60_000])
    deployment.run_for(500)
    cut_off = [
        process
        for process in deployment.processes.values()
        if process.minion is not None and process.minion.runs
    ]
    for process in cut_off:
        process.is_cut_off = True
    deployment.cancel(job_id)
    deployment.run_for(500)
    deployment.kill(deployment.holder().name)
    for process in cut_off:
        process.is_cut_off = False
    deployment.run_for(5_000)
    assert deployment.state(job_id) is JobState.CANCELLED
    assert not any(minion.runs for minion in deployment.minions.values())
    assert not deployment.checks.violations


def test_renewal_after_another_claim_gives_no_authority() -> None:
    """The old holder can append again, but has not read the claim of another entry."""
    deployment = make_ready_deployment()
    old = deployment.holder()
    old.is_rejected_by_log = True
    old.missed_streams = set(Stream)
    deployment.run_for(3_500)
    others = [
        process for process in deployment.processes.values() if process is not old
    ]
    assert any(process.world.schedule.is_loaded for process in others)
    old.is_rejected_by_log = False
    deployment.run_for(1_500)
    assert not has_authority(old.world, deployment.clock.now_ms())
