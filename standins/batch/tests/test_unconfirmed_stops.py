"""Runs to be stopped, at a minion that lists its runs and does not stop them."""

import pytest

from kingcuppost.batch.tables.job import JobState, StepSpec
from standins.batch import Deployment
from standins.batch.minions import Minion
from standins.batch.tests.test_jobs import make_ready_deployment
from standins.batch.tests.test_unconfirmed_starts import (
    MINIONS,
    count_running,
    make_sick_deployment,
)

WORK_MS = 120_000
STEP = StepSpec(1, cpu_millis=40_000, accelerators=4)
SMALL = StepSpec(1, cpu_millis=5_000)
SICKNESSES = [
    pytest.param("is_busy_for_stops", id="busy"),
    pytest.param("ignores_stops", id="no answer"),
    pytest.param("swallows_stops", id="accepted and lost"),
]


def cancel_at_sick_minions(name: str) -> tuple[Deployment, str, list[Minion]]:
    """Return a deployment with a run whose job was cancelled, the job, and minions."""
    deployment, minions = make_sick_deployment((), MINIONS)
    job_id, _ = deployment.submit((STEP,), [WORK_MS])
    deployment.run_for(1_000)
    assert count_running(deployment, job_id) == 1
    for minion in minions:
        setattr(minion, name, True)
    deployment.cancel(job_id)
    deployment.run_for(700)
    assert count_running(deployment, job_id) == 1
    return deployment, job_id, minions


@pytest.mark.parametrize("name", SICKNESSES)
def test_a_stop_is_repeated_until_the_run_has_ended(name: str) -> None:
    """A stop that was accepted and lost was not sent again."""
    deployment, job_id, minions = cancel_at_sick_minions(name)
    for minion in minions:
        setattr(minion, name, False)
    assert deployment.run_until(lambda: count_running(deployment, job_id) == 0, 3_000)
    assert not deployment.checks.violations


@pytest.mark.parametrize("name", SICKNESSES)
def test_a_run_whose_stops_fail_ends_with_a_lease(name: str) -> None:
    """The lease is extended for a minion that carries out no stop."""
    deployment, job_id, _ = cancel_at_sick_minions(name)
    limit_ms = 2 * deployment.bounds.lease_ms
    assert deployment.run_until(
        lambda: count_running(deployment, job_id) == 0, limit_ms
    )


def cancel_beside(work_ms: float) -> tuple[Deployment, str, str]:
    """Return a deployment of one minion, a run it does not stop, and one beside it."""
    deployment = make_ready_deployment(minions=1)
    deployment.checks.expects_no_faults = False
    other_id, _ = deployment.submit((SMALL,), [work_ms])
    job_id, _ = deployment.submit((STEP,), [WORK_MS])
    deployment.run_for(1_000)
    assert count_running(deployment, job_id) == 1
    next(iter(deployment.minions.values())).is_busy_for_stops = True
    deployment.cancel(job_id)
    return deployment, job_id, other_id


def test_other_runs_keep_the_lease_until_they_have_ended() -> None:
    """A lease covers all runs of a minion, and theirs would be lost."""
    deployment, job_id, other_id = cancel_beside(12_000)
    assert deployment.run_until(
        lambda: deployment.state(other_id) is JobState.COMPLETED, 30_000
    )
    assert deployment.checks.starts == 2
    limit_ms = 2 * deployment.bounds.lease_ms
    assert deployment.run_until(
        lambda: count_running(deployment, job_id) == 0, limit_ms
    )
    assert not deployment.checks.violations


def test_a_run_whose_stops_fail_ends_though_other_work_keeps_coming() -> None:
    """Each new run at the minion would keep the lease for another while."""
    deployment, job_id, _ = cancel_beside(1_000)
    job_ids = []
    for _ in range(60):
        job_ids.append(deployment.submit((SMALL,), [2_000])[0])
        deployment.run_for(500)
    assert count_running(deployment, job_id) == 0
    deployment.run_for(10_000)
    states = {deployment.state(other_id) for other_id in job_ids}
    assert states == {JobState.COMPLETED}
    assert deployment.checks.starts == 2 + len(job_ids), "no other run was lost"
