"""The scheduling lease moves when its holder is gone, and only then."""

from dataclasses import replace

from kingcuppost.batch.systems.holder_election import has_authority
from kingcuppost.batch.tables.job import JobState, StepSpec
from standins.batch import Deployment

SMALL = StepSpec(3, cpu_millis=5_000, memory_mb=8_000, accelerators=1, saves=True)


def ready(seed: int = 1) -> Deployment:
    deployment = Deployment(seed)
    assert deployment.run_until(lambda: deployment.holder() is not None, 5_000)
    deployment.run_for(2_000)
    return deployment


def test_a_dead_holder_is_followed_by_another_entry() -> None:
    deployment = ready()
    old = deployment.holder()
    deployment.kill(old.name)
    assert deployment.run_until(lambda: deployment.holder() is not None, 5_000)
    job_id, _ = deployment.submit((SMALL,), [500])
    assert deployment.run_until(
        lambda: deployment.state(job_id) is JobState.COMPLETED, 10_000
    )


def test_work_goes_on_after_all_entries_were_killed() -> None:
    deployment = ready()
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
    assert not deployment.checks.broken


def test_a_restarted_holder_claims_at_once() -> None:
    deployment = ready()
    old = deployment.holder()
    deployment.kill(old.name)
    deployment.run_for(300)
    deployment.start(old.name)
    assert deployment.run_until(lambda: deployment.holder() is not None, 1_000)


def test_a_holder_that_leaves_gives_the_lease_back() -> None:
    deployment = ready()
    old = deployment.holder()
    deployment.stop(old.name)
    deployment.run_for(1_000)
    assert deployment.holder() is not None
    assert deployment.holder().name != old.name


def test_a_job_cancelled_while_nobody_schedules_does_not_run_again() -> None:
    deployment = ready()
    job_id, _ = deployment.submit((SMALL,), [60_000])
    deployment.run_for(500)
    deployment.kill(deployment.holder().name)
    deployment.run_for(300)
    deployment.cancel(job_id)
    deployment.run_for(6_000)
    assert deployment.holder() is not None
    assert not any(minion.runs for minion in deployment.minions.values())
    assert not deployment.checks.broken


def test_work_of_minions_that_lost_power_goes_on_without_their_lease() -> None:
    deployment = ready()
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
    assert not deployment.checks.broken


def test_checkpoints_outlive_the_loss_of_everything() -> None:
    deployment = ready()
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


def test_a_job_keeps_its_terms_when_its_queue_is_gone() -> None:
    deployment = ready()
    job_id, _ = deployment.submit((SMALL,), [4_000], 1)
    deployment.run_for(500)
    failing = next(minion for minion in deployment.minions.values() if minion.runs)
    failing.fails = True
    queues = deployment.configuration.queues
    kept = tuple(queue for queue in queues if queue.priority != 1)
    deployment.configuration = replace(deployment.configuration, version=2, queues=kept)
    deployment.run_for(1_500)
    deployment.kill(deployment.holder().name)
    deployment.run_for(6_000)
    assert (
        deployment.holder().world.schedule.plans[job_id].job.policy.most_failures == 3
    )


def test_a_new_term_stops_what_a_cancelled_job_still_runs() -> None:
    deployment = ready()
    job_id, _ = deployment.submit((SMALL,), [60_000])
    deployment.run_for(500)
    cut = [
        process
        for process in deployment.processes.values()
        if process.minion is not None and process.minion.runs
    ]
    for process in cut:
        process.is_cut = True
    deployment.cancel(job_id)
    deployment.run_for(500)
    deployment.kill(deployment.holder().name)
    for process in cut:
        process.is_cut = False
    deployment.run_for(5_000)
    assert deployment.state(job_id) is JobState.CANCELLED
    assert not any(minion.runs for minion in deployment.minions.values())
    assert not deployment.checks.broken


def test_a_renewal_after_another_claim_gives_no_authority() -> None:
    deployment = ready()
    old = deployment.holder()
    old.is_turned_away = True
    old.is_deaf = True
    deployment.run_for(3_500)
    others = [item for item in deployment.processes.values() if item is not old]
    assert any(item.world.schedule.is_loaded for item in others)
    old.is_turned_away = False
    deployment.run_for(1_500)
    assert not has_authority(old.world, deployment.clock.now_ms())
