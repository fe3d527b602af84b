"""Tests that the driver is deterministic by seed and that every job finishes."""

import pytest

from bench.driver import Driver
from bench.workloads import deployments
from kingcuppost.tables.job import JobState

RUN_MS = 3 * 24 * 3_600_000


def finish_times(policy: str) -> dict[str, int]:
    driver = Driver(deployments["apinis"](1), policy)
    driver.run(RUN_MS)
    return {name: run.finished_ms for name, run in driver.runs.items()}


def test_equal_seeds_give_equal_runs() -> None:
    assert finish_times("shapes") == finish_times("shapes")


@pytest.mark.parametrize("policy", ["first_fit", "backfill", "shapes"])
def test_every_job_finishes(policy: str) -> None:
    driver = Driver(deployments["moulerie"](1), policy)
    driver.run(RUN_MS)
    states = {job.state for job in driver.world.agreed.jobs}
    assert states == {JobState.DONE}
    assert not len(driver.world.agreed.gangs)
