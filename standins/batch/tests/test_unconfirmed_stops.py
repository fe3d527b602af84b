"""Runs to be stopped, at a minion that lists its runs and does not stop them."""

import pytest

from kingcuppost.batch.tables.job import StepSpec
from standins.batch import Deployment
from standins.batch.minions import Minion
from standins.batch.tests.test_unconfirmed_starts import (
    MINIONS,
    count_running,
    make_sick_deployment,
)

WORK_MS = 120_000
STEP = StepSpec(1, cpu_millis=40_000, accelerators=4)
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
