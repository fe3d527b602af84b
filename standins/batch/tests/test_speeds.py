"""Tests that learned speeds are right and survive new minions and holders."""

from kingcuppost.batch.tables.job import JobState, StepSpec
from standins.batch import Deployment
from standins.batch.tests.test_jobs import make_ready_deployment

SLOW_SIDECARS = {"side-0", "side-4", "side-8"}


def run_calibration_jobs(
    deployment: Deployment, estimate_factor: float = 1.0, jobs: int = 2
) -> Deployment:
    """Run jobs on all minions; estimates are too short and too long in turn."""
    for number in range(jobs):
        factor = estimate_factor if number % 2 else 1 / estimate_factor
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


def slowest_sidecars(deployment: Deployment) -> set[str]:
    for process in deployment.processes.values():
        if process.is_up and process.world.schedule.is_loaded:
            rows = sorted(
                process.world.schedule.minions, key=lambda row: row.speed.value
            )
            return {row.sidecar for row in rows[: len(SLOW_SIDECARS)]}
    return set()


def test_slow_machines_are_found_despite_wrong_estimates() -> None:
    deployment = run_calibration_jobs(make_ready_deployment(), estimate_factor=1.6)
    assert slowest_sidecars(deployment) == SLOW_SIDECARS


def test_new_holder_knows_the_speeds() -> None:
    deployment = run_calibration_jobs(make_ready_deployment())
    holder = deployment.holder()
    deployment.run_for(12_000)
    run_calibration_jobs(deployment, jobs=1)
    deployment.kill(holder.name)
    deployment.run_for(5_000)
    assert slowest_sidecars(deployment) == SLOW_SIDECARS


def test_restarted_minion_keeps_the_speed_of_its_machine() -> None:
    deployment = run_calibration_jobs(make_ready_deployment())
    for minion in deployment.minions.values():
        minion.restart()
    deployment.run_for(2_000)
    assert slowest_sidecars(deployment) == SLOW_SIDECARS


def test_delay_tolerant_work_leaves_fast_minions_free() -> None:
    deployment = run_calibration_jobs(make_ready_deployment())
    step = StepSpec(3, cpu_millis=60_000, accelerators=8, estimate_ms=3_000)
    deployment.submit((step,), [9_000], 2)
    deployment.run_for(500)
    sidecars = {
        name for name, process in deployment.processes.items() if process.minion
    }
    busy = {name for name in sidecars if deployment.processes[name].minion.runs}
    assert busy == SLOW_SIDECARS


def test_urgent_work_preempts_rather_than_runs_on_slow_minions() -> None:
    deployment = run_calibration_jobs(make_ready_deployment())
    fill = StepSpec(6, cpu_millis=60_000, accelerators=8, estimate_ms=9_000)
    deployment.submit((fill,), [20_000], 1)
    deployment.run_for(3_000)
    urgent = StepSpec(1, cpu_millis=60_000, accelerators=8, estimate_ms=9_000)
    job_id, _ = deployment.submit((urgent,), [9_000], 0)
    assert deployment.run_until(
        lambda: deployment.state(job_id, 0) is JobState.COMPLETED, 9_600
    )
