"""Infeasible jobs are refused or parked; faulty workers and jobs are distinguished."""

from bench.driver import Driver
from bench.workloads import Cancel, ZoneChange
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
from kingcuppost.tables.job import Job, JobState, Urgency
from kingcuppost.tables.record import TeamPut
from kingcuppost.tables.team import Shape

FLEET_STABLE_MS = 15_000


def get_job(driver: Driver, name: str) -> Job:
    return driver.world.agreed.jobs.get(name)


def test_job_that_no_worker_could_hold_is_refused_with_the_reason() -> None:
    driver = make_driver([make_worker(0), make_worker(1)], {"a": ()})
    submit(driver, make_job("wide", "a", 3, 8), make_job("deep", "a", 1, 9))
    submit(driver, make_job("hungry", "a", 1, 1, cores=65))
    settle(driver, FLEET_STABLE_MS)
    for name in ("wide", "deep", "hungry"):
        assert get_job(driver, name).state is JobState.REFUSED
        assert "could ever hold" in get_job(driver, name).reason


def test_nothing_is_refused_before_workers_are_known() -> None:
    driver = make_driver([], {"a": ()})
    submit(driver, make_job("early", "a", 1, 8))
    settle(driver, MINUTE_MS)
    assert get_job(driver, "early").state is JobState.WAITING


def test_job_beyond_the_limit_of_its_team_is_refused() -> None:
    driver = make_driver([make_worker(0), make_worker(1)], {"a": ()})
    team = driver.world.agreed.teams.get("a")
    driver.append(TeamPut("a", (), 8, team.offset))
    submit(
        driver,
        make_job("wide", "a", 2, 8),
        make_job("one", "a", 1, 6),
        make_job("two", "a", 1, 4),
    )
    assert get_job(driver, "wide").state is JobState.REFUSED
    assert "may hold 8" in get_job(driver, "wide").reason
    assert running(driver) == {"two": True} or running(driver) == {"one": True}


def test_job_that_needs_a_zone_out_of_service_is_parked_until_it_returns() -> None:
    driver = make_driver(
        [make_worker(0, zone="a"), make_worker(1, zone="b")], {"a": ()}
    )
    driver.change_zone(ZoneChange(0, "b", False))
    submit(driver, make_job("pair", "a", 2, 8))
    settle(driver, FLEET_STABLE_MS)
    assert get_job(driver, "pair").state is JobState.PARKED
    assert "out of service" in get_job(driver, "pair").reason
    driver.change_zone(ZoneChange(0, "b", True))
    driver.tick()
    settle(driver)
    assert running(driver) == {"pair": True}


def test_worker_on_which_all_jobs_fail_is_quarantined_and_probed() -> None:
    driver = make_driver([make_worker(0), make_worker(1)], {"a": (Shape(1, 1),)})
    driver.failing_workers = {"w0"}
    for number in range(30):
        submit(driver, make_job(f"j{number}", "a", 1, 1, run_ms=MINUTE_MS))
        settle(driver, 5_000)
    faults = driver.world.scheduling.faults.get("w0")
    assert faults.quarantined
    assert len(faults.jobs) <= 8
    assert all(get_job(driver, f"j{n}").state is not JobState.FAILED for n in range(30))
    driver.failing_workers.clear()
    submit(driver, make_job("later", "a", 1, 8, run_ms=MINUTE_MS))
    settle(driver, 2 * HOUR_MS)
    for number in range(3):
        submit(driver, make_job(f"probe{number}", "a", 1, 8, run_ms=MINUTE_MS))
    settle(driver, 2 * HOUR_MS)
    assert "w0" not in driver.world.scheduling.faults
    assert driver.world.scheduling.workers.get("w0").free_class == 3


def test_probe_is_a_single_job() -> None:
    driver = make_driver([make_worker(0)], {"a": ()})
    driver.failing_workers = {"w0"}
    submit(driver, *(make_job(f"j{number}", "a", 1, 8) for number in range(3)))
    settle(driver, MINUTE_MS)
    assert driver.world.scheduling.faults.get("w0").quarantined
    assert running(driver) == {}
    submit(driver, *(make_job(f"k{number}", "a", 1, 1) for number in range(3)))
    settle(driver, 10 * MINUTE_MS - 30_000)
    assert len(running(driver)) <= 1


def test_job_that_fails_on_several_healthy_workers_is_failed() -> None:
    driver = make_driver([make_worker(number) for number in range(4)], {"a": ()})
    driver.failing_jobs = {"bad"}
    for number in range(4):
        submit(driver, make_job(f"good{number}", "a", 1, 4, run_ms=MINUTE_MS))
    submit(driver, make_job("bad", "a", 1, 8))
    for number in range(12):
        settle(driver, 10_000)
        submit(driver, make_job(f"more{number}", "a", 1, 1, run_ms=MINUTE_MS))
    settle(driver, HOUR_MS)
    assert get_job(driver, "bad").state is JobState.FAILED
    assert "failed on 3 workers" in get_job(driver, "bad").reason
    assert not any(row.quarantined for row in driver.world.scheduling.faults)


def test_jobs_start_during_a_wave_of_cancellations() -> None:
    driver = make_driver([make_worker(number) for number in range(4)], {"a": ()})
    jobs = [make_job(f"j{number}", "a", 1, 2) for number in range(64)]
    submit(driver, *jobs)
    assert len(running(driver)) == 16
    driver.cancel(Cancel(0, 0.5))
    submit(driver, make_job("urgent", "a", 1, 1, Urgency.INTERACTIVE))
    started = driver.runs["urgent"]
    assert 0 <= started.started_ms - started.submitted_ms <= 1_800
    settle(driver, 5_000)
    assert len(running(driver)) >= 16
    cancelled = driver.world.agreed.jobs.find("state", JobState.CANCELLED)
    assert len(cancelled) == 32
    assert not {row.name for row in cancelled} & set(running(driver))
