"""Zones out of service: nothing starts there, and gangs move after a delay."""

from bench.workloads import ZoneChange
from kingcuppost.systems.jobs.tests.support import (
    HOUR_MS,
    MINUTE_MS,
    driver,
    job,
    running,
    settle,
    submit,
    worker,
)

WORKERS = [worker(0, zone="a"), worker(1, zone="b")]


def test_gangs_run_on_when_the_zone_returns_within_the_delay() -> None:
    run = driver(WORKERS, {"t": ()})
    submit(run, job("x", "t", 1, 8), job("y", "t", 1, 8))
    run.change_zone(ZoneChange(0, "b", False))
    run.tick()
    settle(run, 30_000)
    run.change_zone(ZoneChange(0, "b", True))
    run.tick()
    settle(run, 2 * HOUR_MS)
    assert [item.attempts for item in run.runs.values()] == [1, 1]


def test_gangs_are_checkpointed_and_moved_when_the_zone_stays_out() -> None:
    run = driver([*WORKERS, worker(2, zone="a")], {"t": ()})
    submit(run, job("x", "t", 1, 8), job("y", "t", 1, 8))
    settle(run, 30 * MINUTE_MS)
    for zone in ("a", "b"):
        run.change_zone(ZoneChange(0, zone, zone == "a"))
    run.tick()
    settle(run, 2 * MINUTE_MS)
    assert run.lost_accelerator_ms == 0
    zones = {
        run.world.agreed.workers.get(item.worker).availability_zone
        for gang in run.world.agreed.gangs
        for item in gang.placements
    }
    assert zones == {"a"}


def test_nothing_starts_in_a_zone_out_of_service() -> None:
    run = driver(WORKERS, {"t": ()})
    run.change_zone(ZoneChange(0, "b", False))
    submit(run, *(job(f"j{number}", "t", 1, 8) for number in range(3)))
    settle(run, 10 * MINUTE_MS)
    (gang,) = run.world.agreed.gangs
    assert gang.placements[0].worker == "w0"


def test_unreleased_gang_is_stopped_at_once() -> None:
    run = driver(WORKERS, {"t": ()})
    run.submit(job("pair", "t", 2, 8))
    run.tick()
    settle(run, 50)
    run.change_zone(ZoneChange(0, "b", False))
    run.tick()
    settle(run, 1_000)
    assert running(run) == {}
    assert run.runs["pair"].started_ms < 0
