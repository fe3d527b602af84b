"""The driver gives the same run for the same seed, and ends every job once."""

import pytest

from bench.driver import Driver
from bench.workloads import deployments
from kingcuppost.tables.job import JobState

DAYS_3_MS = 3 * 24 * 3_600_000


def outcomes(policy: str) -> dict[str, int]:
    driver = Driver(deployments["apinis"](1), policy)
    driver.run(DAYS_3_MS)
    return {name: run.finished_ms for name, run in driver.runs.items()}


def test_a_seed_gives_one_run() -> None:
    assert outcomes("shapes") == outcomes("shapes")


@pytest.mark.parametrize("policy", ["first_fit", "backfill", "shapes"])
def test_every_job_finishes(policy: str) -> None:
    driver = Driver(deployments["moulerie"](1), policy)
    driver.run(DAYS_3_MS)
    states = {job.state for job in driver.world.agreed.jobs}
    assert states == {JobState.DONE}
    assert not len(driver.world.agreed.gangs)
