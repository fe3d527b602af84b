"""What is known of machines' speeds outlives minions and holders."""

from kingcuppost.batch.tables.job import JobState, StepSpec
from standins.batch import Deployment
from standins.batch.tests.test_days import ready

SLOW = {"side-0", "side-4", "side-8"}


def learned(deployment: Deployment, rough: float = 1.0, jobs: int = 2) -> Deployment:
    """Run tasks on every minion, of which some are slow, with rough estimates."""
    for number in range(jobs):
        factor = rough if number % 2 else 1 / rough
        step = StepSpec(
            9,
            cpu_millis=5_000,
            accelerators=1,
            most_per_minion=1,
            estimate_ms=int(3_000 * factor),
        )
        job_id, _ = deployment.submit((step,), [3_000])
        assert deployment.run_until(
            lambda job_id=job_id: deployment.state(job_id) is JobState.COMPLETED, 12_000
        )
    return deployment


def slowest(deployment: Deployment) -> set[str]:
    for process in deployment.processes.values():
        if process.is_up and process.world.schedule.is_loaded:
            rows = sorted(
                process.world.schedule.minions, key=lambda row: row.speed.value
            )
            return {row.sidecar for row in rows[: len(SLOW)]}
    return set()


def test_slow_machines_are_told_apart_though_estimates_are_rough() -> None:
    deployment = learned(ready(), rough=1.6)
    assert slowest(deployment) == SLOW


def test_a_new_holder_knows_the_speeds() -> None:
    deployment = learned(ready())
    holder = deployment.holder()
    deployment.run_for(12_000)
    learned(deployment, jobs=1)
    deployment.kill(holder.name)
    deployment.run_for(5_000)
    assert slowest(deployment) == SLOW


def test_a_new_life_of_a_minion_keeps_its_machine_s_speed() -> None:
    deployment = learned(ready())
    for minion in deployment.minions.values():
        minion.restart()
    deployment.run_for(2_000)
    assert slowest(deployment) == SLOW


def test_work_with_the_most_time_leaves_the_fast_minions_to_others() -> None:
    deployment = learned(ready())
    step = StepSpec(3, cpu_millis=60_000, accelerators=8, estimate_ms=3_000)
    deployment.submit((step,), [9_000], 2)
    deployment.run_for(500)
    at = {name for name, process in deployment.processes.items() if process.minion}
    busy = {name for name in at if deployment.processes[name].minion.runs}
    assert busy == SLOW


def test_urgent_work_rather_stops_others_than_run_on_slow_minions() -> None:
    deployment = learned(ready())
    fill = StepSpec(6, cpu_millis=60_000, accelerators=8, estimate_ms=9_000)
    deployment.submit((fill,), [20_000], 1)
    deployment.run_for(3_000)
    urgent = StepSpec(1, cpu_millis=60_000, accelerators=8, estimate_ms=9_000)
    job_id, _ = deployment.submit((urgent,), [9_000], 0)
    assert deployment.run_until(
        lambda: deployment.state(job_id, 0) is JobState.COMPLETED, 9_600
    )
