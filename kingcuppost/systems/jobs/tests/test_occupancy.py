"""Capacity that follows changes equals capacity built from the tables anew."""

import pytest

from bench.driver import Driver
from bench.lists import deployments
from kingcuppost.systems.jobs.occupancy import hold_of, put_hold, track_occupancy
from kingcuppost.tables.scheduling import SchedulingState
from kingcuppost.tables.world import World

HOUR_MS = 3_600_000


def built_anew(run: Driver) -> SchedulingState:
    world = World(run.world.cfg, run.world.identity, run.clock, run.world.rng)
    agreed = run.world.agreed
    for name in ("availability_zones", "minions", "workers", "teams", "jobs", "gangs"):
        for row in getattr(agreed, name):
            getattr(world.agreed, name).put(row)
    track_occupancy(world, run.clock.now_ms())
    for keep in run.world.scheduling.keeps:
        hold = run.world.scheduling.holds[f"keep:{keep.job}"]
        put_hold(world.scheduling, hold)
    for key in run.world.scheduling.pending:
        put_hold(world.scheduling, run.world.scheduling.holds[key])
    return world.scheduling


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_following_changes_equals_building_anew(seed: int) -> None:
    run = Driver(deployments["moulerie"](seed), "shapes")
    for hours in range(1, 16, 2):
        run.run(hours * HOUR_MS)
        run.tick()
        anew = built_anew(run)
        own = run.world.scheduling
        assert own.free_blocks == anew.free_blocks
        assert own.unbound_blocks == anew.unbound_blocks
        assert own.demand == anew.demand
        for row in own.workers:
            assert row == anew.workers.get(row.name)


def test_a_change_of_members_only_refreshes_their_workers() -> None:
    run = Driver(deployments["planned"](1), "shapes")
    run.tick()
    job = run.deployment.arrivals[-1]
    run.submit(job)
    row = run.world.agreed.jobs.get(job.job)
    before = [item.free_blocks for item in run.world.scheduling.workers]
    hold = hold_of("x/1", row, ())
    put_hold(run.world.scheduling, hold)
    assert before == [item.free_blocks for item in run.world.scheduling.workers]
