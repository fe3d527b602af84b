"""Capacity updated by changes equals capacity rebuilt from the tables."""

import pytest

from bench.driver import Driver
from bench.workloads import deployments
from kingcuppost.systems.jobs.occupancy import (
    build_allocation,
    put_allocation,
    track_occupancy,
)
from kingcuppost.tables.scheduling import SchedulingState
from kingcuppost.tables.world import World

HOUR_MS = 3_600_000


def rebuild(driver: Driver) -> SchedulingState:
    world = World(
        driver.world.cfg, driver.world.identity, driver.clock, driver.world.rng
    )
    agreed = driver.world.agreed
    for name in ("availability_zones", "minions", "workers", "teams", "jobs", "gangs"):
        for row in getattr(agreed, name):
            getattr(world.agreed, name).put(row)
    track_occupancy(world, driver.clock.now_ms())
    for reservation in driver.world.scheduling.advance_reservations:
        allocation = driver.world.scheduling.allocations[
            f"reservation:{reservation.job}"
        ]
        put_allocation(world.scheduling, allocation)
    for key in driver.world.scheduling.pending_gangs:
        put_allocation(world.scheduling, driver.world.scheduling.allocations[key])
    return world.scheduling


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_incremental_updates_equal_a_rebuild(seed: int) -> None:
    driver = Driver(deployments["moulerie"](seed), "shapes")
    for hours in range(1, 16, 2):
        driver.run(hours * HOUR_MS)
        driver.tick()
        rebuilt = rebuild(driver)
        updated = driver.world.scheduling
        assert updated.free_blocks == rebuilt.free_blocks
        assert updated.unbound_blocks == rebuilt.unbound_blocks
        assert updated.demand == rebuilt.demand
        for row in updated.workers:
            assert row == rebuilt.workers.get(row.name)


def test_allocation_without_members_changes_no_worker() -> None:
    driver = Driver(deployments["planned"](1), "shapes")
    driver.tick()
    job = driver.deployment.arrivals[-1]
    driver.submit(job)
    row = driver.world.agreed.jobs.get(job.job)
    before = [item.free_blocks for item in driver.world.scheduling.workers]
    allocation = build_allocation("x/1", row, ())
    put_allocation(driver.world.scheduling, allocation)
    assert before == [item.free_blocks for item in driver.world.scheduling.workers]
