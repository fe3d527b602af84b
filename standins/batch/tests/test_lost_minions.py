"""Work of minions that are lost, or silent for a while, beside a live sidecar."""

from collections.abc import Callable

import pytest

from kingcuppost.batch.tables.job import JobState, RunEnd, StepSpec
from standins.batch import Deployment
from standins.batch.minions import Minion
from standins.batch.tests.test_jobs import make_ready_deployment

SINGLE = StepSpec(1, cpu_millis=40_000, accelerators=4)
GANG = StepSpec(3, cpu_millis=40_000, accelerators=4, gang=True)
RECOVERY_MS = 14_000


def freeze(minion: Minion) -> None:
    minion.is_frozen = True


def run_one(step: StepSpec, work_ms: float) -> tuple[Deployment, str, Minion]:
    """Return a deployment where a job runs, the job, and a minion that works on it."""
    deployment = make_ready_deployment(minions=4)
    job_id, _ = deployment.submit((step,), [work_ms])
    deployment.run_for(1_000)
    minion = next(item for item in deployment.minions.values() if item.runs)
    return deployment, job_id, minion


@pytest.mark.parametrize("lose", [Minion.crash, freeze], ids=["crash", "silence"])
@pytest.mark.parametrize("step", [SINGLE, GANG], ids=["single", "gang"])
def test_a_task_of_a_minion_lost_beside_a_live_sidecar_runs_again(
    lose: Callable[[Minion], None], step: StepSpec
) -> None:
    """A sidecar that went on reporting a dead minion kept its lease alive for good."""
    deployment, job_id, minion = run_one(step, 2_500)
    lose(minion)
    deployment.run_for(RECOVERY_MS)
    assert deployment.state(job_id) is JobState.COMPLETED
    assert not deployment.checks.violations


def test_a_silent_minion_is_offered_no_new_work() -> None:
    deployment = make_ready_deployment(minions=2)
    freeze(deployment.minions["m-0"])
    deployment.run_for(3_000)
    wide = StepSpec(2, cpu_millis=20_000, accelerators=2)
    job_id, _ = deployment.submit((wide,), [500])
    deployment.run_for(2_000)
    assert deployment.state(job_id) is JobState.COMPLETED


def test_a_sidecar_restarted_beside_a_dead_minion_does_not_keep_its_runs() -> None:
    deployment, job_id, minion = run_one(SINGLE, 2_500)
    minion.crash()
    sidecar = next(
        item.name for item in deployment.processes.values() if item.minion is minion
    )
    deployment.kill(sidecar)
    deployment.run_for(500)
    deployment.start(sidecar)
    deployment.run_for(RECOVERY_MS)
    assert deployment.state(job_id) is JobState.COMPLETED
    assert not deployment.checks.violations


@pytest.mark.parametrize("frozen_ms", [1_000, 2_500, 3_500])
def test_a_run_outlives_a_silence_that_is_shorter_than_the_lease(
    frozen_ms: int,
) -> None:
    deployment, job_id, minion = run_one(SINGLE, 8_000)
    freeze(minion)
    deployment.run_for(frozen_ms)
    minion.is_frozen = False
    deployment.run_for(20_000)
    assert deployment.state(job_id) is JobState.COMPLETED
    assert deployment.checks.starts == 1
    assert not deployment.checks.violations


def test_a_minion_that_speaks_after_its_runs_were_given_up_works_again() -> None:
    deployment, job_id, minion = run_one(SINGLE, 2_500)
    freeze(minion)
    deployment.run_for(RECOVERY_MS)
    minion.is_frozen = False
    deployment.run_for(2_000)
    assert deployment.state(job_id) is JobState.COMPLETED
    assert deployment.checks.ends[RunEnd.LAPSED] == 1
    every = StepSpec(4, cpu_millis=40_000, accelerators=4)
    deployment.submit((every,), [2_500])
    deployment.run_for(1_500)
    assert minion.runs
    assert not deployment.checks.violations
