"""Tests of gangs that a minion of unknown speed holds back."""

from dataclasses import replace

import pytest

from kingcuppost.batch.tables.fleet import Speed
from kingcuppost.batch.tables.job import JobState, RunEnd, StepSpec
from standins.batch import Deployment

WORK_MS = 8_000
GANG = StepSpec(3, cpu_millis=7_500, accelerators=8, gang=True, estimate_ms=WORK_MS)
SLACK_FACTOR = 1.5


def make_deployment(fast_is_known: bool = True) -> Deployment:
    """Return 4 minions in a rack; the first is slow, which nobody knows yet.

    A short run occupies one of the others, so that the gang has to use the slow one.
    """
    deployment = Deployment(3, minions=4)
    queues = tuple(
        replace(queue, slack_factor=SLACK_FACTOR)
        for queue in deployment.configuration.queues
    )
    deployment.configuration = replace(
        deployment.configuration, version=2, queues=queues
    )
    for minion in deployment.minions.values():
        minion.rack = "r1-1"
    assert deployment.run_until(lambda: deployment.holder() is not None, 5_000)
    deployment.run_for(2_000)
    for row in deployment.holder().world.schedule.minions:
        if row.incarnation.minion != "m-0" and fast_is_known:
            row.speed = Speed(1.2, 2.0)
    short = StepSpec(1, cpu_millis=7_500, accelerators=8, estimate_ms=1_000)
    deployment.submit((short,), [1_200], 0)
    deployment.run_for(200)
    return deployment


@pytest.mark.parametrize("one_rack", [False, True])
def test_a_gang_that_would_be_late_restarts_without_its_slow_minion(
    one_rack: bool,
) -> None:
    deployment = make_deployment()
    step = replace(GANG, one_rack=one_rack)
    job_id, _ = deployment.submit((step,), [WORK_MS], 0)
    deployment.run_for(500)
    assert deployment.minions["m-0"].runs
    target_ms = SLACK_FACTOR * WORK_MS
    assert deployment.run_until(
        lambda: deployment.state(job_id, 0) is JobState.COMPLETED, target_ms - 500
    )
    assert deployment.checks.ends[RunEnd.STOPPED] == 3
    assert not deployment.checks.violations


def test_a_gang_is_not_restarted_on_minions_of_unknown_speed() -> None:
    deployment = make_deployment(fast_is_known=False)
    job_id, _ = deployment.submit((GANG,), [WORK_MS], 0)
    assert deployment.run_until(
        lambda: deployment.state(job_id, 0) is JobState.COMPLETED, 20_000
    )
    assert not deployment.checks.violations


def test_a_gang_that_is_in_time_is_not_restarted() -> None:
    deployment = make_deployment()
    deployment.minions["m-0"].speed = 1.0
    job_id, _ = deployment.submit((GANG,), [WORK_MS], 0)
    assert deployment.run_until(
        lambda: deployment.state(job_id, 0) is JobState.COMPLETED, 20_000
    )
    assert deployment.checks.ends[RunEnd.STOPPED] == 0
