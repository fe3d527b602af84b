"""Zones out of service: nothing starts there, and gangs move after a delay."""

from bench.workloads import ZoneChange
from kingcuppost.systems.jobs.tests.support import (
    HOUR_MS,
    MINUTE_MS,
    make_driver,
    make_job,
    make_worker,
    running,
    settle,
    submit,
)

WORKERS = [make_worker(0, zone="a"), make_worker(1, zone="b")]


def test_gangs_run_on_when_the_zone_returns_within_the_delay() -> None:
    driver = make_driver(WORKERS, {"t": ()})
    submit(driver, make_job("x", "t", 1, 8), make_job("y", "t", 1, 8))
    driver.change_zone(ZoneChange(0, "b", False))
    driver.tick()
    settle(driver, 30_000)
    driver.change_zone(ZoneChange(0, "b", True))
    driver.tick()
    settle(driver, 2 * HOUR_MS)
    assert [item.attempts for item in driver.runs.values()] == [1, 1]


def test_gangs_are_checkpointed_and_moved_when_the_zone_stays_out() -> None:
    driver = make_driver([*WORKERS, make_worker(2, zone="a")], {"t": ()})
    submit(driver, make_job("x", "t", 1, 8), make_job("y", "t", 1, 8))
    settle(driver, 30 * MINUTE_MS)
    for zone in ("a", "b"):
        driver.change_zone(ZoneChange(0, zone, zone == "a"))
    driver.tick()
    settle(driver, 2 * MINUTE_MS)
    assert driver.lost_accelerator_ms == 0
    zones = {
        driver.world.agreed.workers.get(item.worker).availability_zone
        for gang in driver.world.agreed.gangs
        for item in gang.placements
    }
    assert zones == {"a"}


def test_nothing_starts_in_a_zone_out_of_service() -> None:
    driver = make_driver(WORKERS, {"t": ()})
    driver.change_zone(ZoneChange(0, "b", False))
    submit(driver, *(make_job(f"j{number}", "t", 1, 8) for number in range(3)))
    settle(driver, 10 * MINUTE_MS)
    (gang,) = driver.world.agreed.gangs
    assert gang.placements[0].worker == "w0"


def test_unreleased_gang_is_stopped_at_once() -> None:
    driver = make_driver(WORKERS, {"t": ()})
    driver.submit(make_job("pair", "t", 2, 8))
    driver.tick()
    settle(driver, 50)
    driver.change_zone(ZoneChange(0, "b", False))
    driver.tick()
    settle(driver, 1_000)
    assert running(driver) == {}
    assert driver.runs["pair"].started_ms < 0
