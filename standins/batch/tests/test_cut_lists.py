"""What a minion's list leaves out has not vanished."""

import pytest

from kingcuppost.batch.tables.job import StepSpec
from standins.batch.minions import MAX_LISTED_ENDS
from standins.batch.tests.test_jobs import make_ready_deployment

TASKS = 50
SMALL = StepSpec(TASKS, cpu_millis=100, memory_mb=100)


@pytest.mark.parametrize("outage_ms", [2_500, 4_500])
def test_no_task_runs_again_whose_end_does_not_fit_into_the_list(
    outage_ms: int,
) -> None:
    deployment = make_ready_deployment(minions=1)
    deployment.checks.expects_no_faults = False
    for _ in range(MAX_LISTED_ENDS // TASKS + 2):
        deployment.submit((SMALL,), [2_000], 2)
    assert deployment.run_until(
        lambda: len(deployment.minions["m-0"].runs) == MAX_LISTED_ENDS + 100,
        3_000,
    )
    deployment.log_is_down = True
    deployment.run_for(outage_ms)
    deployment.log_is_down = False
    deployment.run_for(8_000)
    assert len(deployment.checks.completed_tasks) == MAX_LISTED_ENDS + 100
    assert not deployment.checks.violations
