"""Infeasible jobs are refused or parked; faulty workers and jobs are distinguished."""

from bench.driver import Driver
from bench.workloads import Cancel, ZoneChange
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
from kingcuppost.tables.job import Job, JobState, Urgency
from kingcuppost.tables.record import TeamPut
from kingcuppost.tables.team import Shape

FLEET_STABLE_MS = 15_000


def get_job(run: Driver, name: str) -> Job:
    return run.world.agreed.jobs.get(name)


def test_job_that_no_worker_could_hold_is_refused_with_the_reason() -> None:
    run = driver([worker(0), worker(1)], {"a": ()})
    submit(run, job("wide", "a", 3, 8), job("deep", "a", 1, 9))
    submit(run, job("hungry", "a", 1, 1, cores=65))
    settle(run, FLEET_STABLE_MS)
    for name in ("wide", "deep", "hungry"):
        assert get_job(run, name).state is JobState.REFUSED
        assert "could ever hold" in get_job(run, name).reason


def test_nothing_is_refused_before_workers_are_known() -> None:
    run = driver([], {"a": ()})
    submit(run, job("early", "a", 1, 8))
    settle(run, MINUTE_MS)
    assert get_job(run, "early").state is JobState.WAITING


def test_job_beyond_the_limit_of_its_team_is_refused() -> None:
    run = driver([worker(0), worker(1)], {"a": ()})
    team = run.world.agreed.teams.get("a")
    run.append(TeamPut("a", (), 8, team.offset))
    submit(run, job("wide", "a", 2, 8), job("one", "a", 1, 6), job("two", "a", 1, 4))
    assert get_job(run, "wide").state is JobState.REFUSED
    assert "may hold 8" in get_job(run, "wide").reason
    assert running(run) == {"two": True} or running(run) == {"one": True}


def test_job_that_needs_a_zone_out_of_service_is_parked_until_it_returns() -> None:
    run = driver([worker(0, zone="a"), worker(1, zone="b")], {"a": ()})
    run.change_zone(ZoneChange(0, "b", False))
    submit(run, job("pair", "a", 2, 8))
    settle(run, FLEET_STABLE_MS)
    assert get_job(run, "pair").state is JobState.PARKED
    assert "out of service" in get_job(run, "pair").reason
    run.change_zone(ZoneChange(0, "b", True))
    run.tick()
    settle(run)
    assert running(run) == {"pair": True}


def test_worker_on_which_all_jobs_fail_is_quarantined_and_probed() -> None:
    run = driver([worker(0), worker(1)], {"a": (Shape(1, 1),)})
    run.failing_workers = {"w0"}
    for number in range(30):
        submit(run, job(f"j{number}", "a", 1, 1, run_ms=MINUTE_MS))
        settle(run, 5_000)
    faults = run.world.scheduling.faults.get("w0")
    assert faults.quarantined
    assert len(faults.jobs) <= 8
    assert all(get_job(run, f"j{n}").state is not JobState.FAILED for n in range(30))
    run.failing_workers.clear()
    submit(run, job("later", "a", 1, 8, run_ms=MINUTE_MS))
    settle(run, 2 * HOUR_MS)
    for number in range(3):
        submit(run, job(f"probe{number}", "a", 1, 8, run_ms=MINUTE_MS))
    settle(run, 2 * HOUR_MS)
    assert "w0" not in run.world.scheduling.faults
    assert run.world.scheduling.workers.get("w0").free_class == 3


def test_probe_is_a_single_job() -> None:
    run = driver([worker(0)], {"a": ()})
    run.failing_workers = {"w0"}
    submit(run, *(job(f"j{number}", "a", 1, 8) for number in range(3)))
    settle(run, MINUTE_MS)
    assert run.world.scheduling.faults.get("w0").quarantined
    assert running(run) == {}
    submit(run, *(job(f"k{number}", "a", 1, 1) for number in range(3)))
    settle(run, 10 * MINUTE_MS - 30_000)
    assert len(running(run)) <= 1


def test_job_that_fails_on_several_healthy_workers_is_failed() -> None:
    run = driver([worker(number) for number in range(4)], {"a": ()})
    run.failing_jobs = {"bad"}
    for number in range(4):
        submit(run, job(f"good{number}", "a", 1, 4, run_ms=MINUTE_MS))
    submit(run, job("bad", "a", 1, 8))
    for number in range(12):
        settle(run, 10_000)
        submit(run, job(f"more{number}", "a", 1, 1, run_ms=MINUTE_MS))
    settle(run, HOUR_MS)
    assert get_job(run, "bad").state is JobState.FAILED
    assert "failed on 3 workers" in get_job(run, "bad").reason
    assert not any(row.quarantined for row in run.world.scheduling.faults)


def test_jobs_start_during_a_wave_of_cancellations() -> None:
    run = driver([worker(number) for number in range(4)], {"a": ()})
    jobs = [job(f"j{number}", "a", 1, 2) for number in range(64)]
    submit(run, *jobs)
    assert len(running(run)) == 16
    run.cancel(Cancel(0, 0.5))
    submit(run, job("urgent", "a", 1, 1, Urgency.INTERACTIVE))
    started = run.runs["urgent"]
    assert 0 <= started.started_ms - started.submitted_ms <= 1_800
    settle(run, 5_000)
    assert len(running(run)) >= 16
    cancelled = run.world.agreed.jobs.find("state", JobState.CANCELLED)
    assert len(cancelled) == 32
    assert not {row.name for row in cancelled} & set(running(run))
