"""Orders and ends around the restart of a minion under the identifier that it had."""

import pytest

from kingcuppost.batch.tables.job import JobState, StepSpec
from standins.batch import Deployment
from standins.batch.minions import Minion
from standins.batch.tests.test_jobs import make_ready_deployment

LARGE = StepSpec(1, cpu_millis=40_000, accelerators=4)
SMALL = StepSpec(1, cpu_millis=20_000, accelerators=1)
FILLER = StepSpec(3, cpu_millis=60_000, accelerators=4)
GANG = StepSpec(3, cpu_millis=40_000, accelerators=4, gang=True)
DOWN_MS = 4_000
QUIET_MS = 750


def find_idle(deployment: Deployment) -> Minion:
    return next(minion for minion in deployment.minions.values() if not minion.runs)


@pytest.mark.parametrize("quiet_ms", [0, QUIET_MS])
def test_a_start_for_an_earlier_incarnation_does_not_reach_the_next_one(
    quiet_ms: int,
) -> None:
    """A start was repeated until the next incarnation carried it out."""
    deployment = make_ready_deployment(minions=4)
    deployment.submit((FILLER,), [3_000])
    deployment.run_for(500)
    minion = find_idle(deployment)
    minion.crash()
    short = [4_000, 300]
    job_id, _ = deployment.submit((SMALL, SMALL), short)
    deployment.run_for(DOWN_MS)
    minion.restart(quiet_ms)
    deployment.run_for(15_000)
    assert deployment.state(job_id) is JobState.COMPLETED
    assert not deployment.checks.violations


@pytest.mark.parametrize("late_ms", [0, 500, 1_500, 3_000])
@pytest.mark.parametrize("step", [LARGE, GANG], ids=["single", "gang"])
def test_a_run_is_not_started_again_while_a_copy_of_its_start_may_be_carried_out(
    step: StepSpec, late_ms: int
) -> None:
    """Runs of an earlier incarnation counted as ended before the next one was asked."""
    deployment = make_ready_deployment(minions=4)
    deployment.late_order_ratio = 1.0
    job_id, _ = deployment.submit((step,), [2_000])
    deployment.run_for(200)
    deployment.late_order_ratio = 0.0
    row = next(iter(deployment.holder().world.schedule.loads))
    minion = deployment.minions[row.minion]
    minion.crash()
    deployment.run_for(late_ms)
    minion.restart()
    deployment.run_for(25_000)
    assert deployment.state(job_id) is JobState.COMPLETED
    assert not deployment.checks.violations


@pytest.mark.parametrize("step", [LARGE, GANG], ids=["single", "gang"])
def test_work_of_a_restarted_minion_goes_on_without_waiting_for_the_lease(
    step: StepSpec,
) -> None:
    deployment = make_ready_deployment(minions=4)
    job_id, _ = deployment.submit((step,), [1_500])
    deployment.run_for(500)
    minion = next(item for item in deployment.minions.values() if item.runs)
    minion.crash()
    minion.restart()
    deployment.run_for(4_500)
    assert deployment.state(job_id) is JobState.COMPLETED
    assert not deployment.checks.violations
