"""Small deployments for tests of scheduling decisions."""

from bench.driver import Driver
from bench.workloads import Arrival, Deployment, WorkerSpec
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.team import Shape

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS


def make_worker(number: int, accelerators: int = 8, zone: str = "a") -> WorkerSpec:
    """Return a worker with 64 cores and 64,000 MB; each rack holds three workers."""
    rack = f"{zone}-{number // 3}"
    return WorkerSpec(f"w{number}", zone, rack, 64, 64_000, accelerators)


def make_deployment(
    workers: list[WorkerSpec], teams: dict[str, tuple[Shape, ...]]
) -> Deployment:
    zones = {spec.availability_zone: "r" for spec in workers}
    return Deployment("test", zones, workers, teams)


def make_driver(
    workers: list[WorkerSpec],
    teams: dict[str, tuple[Shape, ...]],
    policy: str = "shapes",
) -> Driver:
    return Driver(make_deployment(workers, teams), policy)


def make_job(
    name: str,
    team: str,
    members: int = 1,
    accelerators: int = 1,
    urgency: Urgency = Urgency.OVERNIGHT,
    run_ms: int = HOUR_MS,
    declared_ms: int = 0,
    cores: int = 1,
    at_ms: int = 0,
    checkpoint_ms: int = 100,
) -> Arrival:
    return Arrival(
        at_ms,
        name,
        team,
        members,
        accelerators,
        cores,
        100,
        urgency,
        declared_ms or run_ms,
        run_ms,
        checkpoint_ms,
    )


def submit(driver: Driver, *jobs: Arrival) -> None:
    """Submit jobs now and run until they could have started."""
    for item in jobs:
        driver.submit(item)
    driver.tick()
    settle(driver)


def settle(driver: Driver, for_ms: int = 2_000) -> None:
    driver.run(driver.clock.now_ms() + for_ms)


def running(driver: Driver) -> dict[str, bool]:
    """Return the jobs that have a gang, and whether it borrows."""
    return {gang.job: gang.borrowed for gang in driver.world.agreed.gangs}
