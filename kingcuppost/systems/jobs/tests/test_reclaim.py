"""Borrowers yield to guaranteed and interactive work, with the least work lost."""

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
from kingcuppost.tables.job import GangState, Urgency
from kingcuppost.tables.team import Shape

TEAMS = {"owner": (Shape(1, 8),), "guest": ()}
START_LIMIT_MS = 1_800


def test_interactive_work_within_its_guarantee_starts_in_time() -> None:
    driver = make_driver([make_worker(0), make_worker(1)], TEAMS)
    submit(driver, make_job("b0", "guest", 1, 8), make_job("b1", "guest", 1, 8))
    assert running(driver) == {"b0": True, "b1": True}
    submit(driver, make_job("urgent", "owner", 1, 2, Urgency.INTERACTIVE))
    assert not running(driver)["urgent"]
    started = driver.runs["urgent"]
    assert started.started_ms - started.submitted_ms <= START_LIMIT_MS


def test_overnight_work_within_its_guarantee_reclaims_too() -> None:
    driver = make_driver([make_worker(0)], TEAMS)
    submit(driver, make_job("b0", "guest", 1, 8))
    submit(driver, make_job("own", "owner", 1, 8))
    settle(driver, 10_000)
    assert running(driver) == {"own": False}


def test_borrower_with_least_lost_work_is_stopped() -> None:
    driver = make_driver([make_worker(0), make_worker(1)], TEAMS)
    submit(driver, make_job("old", "guest", 1, 8))
    settle(driver, 10 * MINUTE_MS)
    submit(driver, make_job("young", "guest", 1, 8))
    submit(driver, make_job("own", "owner", 1, 4, Urgency.INTERACTIVE))
    assert "old" in running(driver)
    assert "young" not in running(driver)


def test_guaranteed_work_is_not_stopped() -> None:
    driver = make_driver([make_worker(0)], {"owner": (Shape(1, 8),), "guest": ()})
    submit(driver, make_job("own", "owner", 1, 8))
    submit(driver, make_job("urgent", "guest", 1, 1, Urgency.INTERACTIVE))
    assert running(driver) == {"own": False}


def test_cores_are_reclaimed_with_the_accelerators() -> None:
    driver = make_driver([make_worker(0)], TEAMS)
    submit(driver, make_job("cores", "guest", 60, 0))
    submit(driver, make_job("urgent", "owner", 1, 8, Urgency.INTERACTIVE, cores=64))
    assert running(driver) == {"urgent": False}


def test_stop_has_a_reason_and_a_short_grace() -> None:
    driver = make_driver([make_worker(0)], TEAMS)
    submit(driver, make_job("b0", "guest", 1, 8))
    driver.submit(make_job("urgent", "owner", 1, 2, Urgency.INTERACTIVE))
    driver.tick()
    driver.step()
    (gang,) = driver.world.agreed.gangs
    assert gang.state is GangState.STOPPING
    assert gang.reason == "reclaimed for job urgent"
    assert gang.grace_ms == 800


def test_two_jobs_never_preempt_each_other_alternately() -> None:
    """Guards against an interactive borrower and an overdue overnight job in a loop.

    Each of them would stop the other again and again.
    """
    driver = make_driver([make_worker(0)], {"guest": (), "other": ()})
    driver.put_setting("job.keep_bound_ms", 0)
    submit(driver, make_job("wide", "guest", 1, 8, run_ms=HOUR_MS))
    urgent = Urgency.INTERACTIVE
    submit(driver, make_job("u", "other", 1, 2, urgent, run_ms=MINUTE_MS))
    settle(driver, 3 * HOUR_MS)
    assert driver.runs["u"].finished_ms > 0
    assert driver.runs["wide"].finished_ms > 0
    assert driver.reclaims <= 1


def test_reservation_is_not_lent_past_its_time_limit() -> None:
    """Guards against a borrower that is stopped and started again without end.

    After the time limit of the reservation, each loan would be stopped at once.
    """
    driver = make_driver(
        [make_worker(0), make_worker(1)], {"guest": (), "own": (Shape(1, 8),)}
    )
    driver.put_setting("job.keep_bound_ms", MINUTE_MS)
    submit(driver, make_job("own", "own", 1, 8, run_ms=HOUR_MS, cores=8))
    submit(driver, make_job("wide", "guest", 2, 8, run_ms=MINUTE_MS))
    for number in range(8):
        submit(driver, make_job(f"s{number}", "guest", 1, 1, run_ms=10 * MINUTE_MS))
    settle(driver, 3 * HOUR_MS)
    assert driver.runs["wide"].finished_ms > 0
    assert driver.reclaims <= 8


def test_reservation_is_lent_while_it_waits_for_an_earlier_gang() -> None:
    driver = make_driver([make_worker(0), make_worker(1)], {"guest": ()})
    driver.put_setting("job.compact_after_ms", 10 * HOUR_MS)
    submit(driver, make_job("early", "guest", 1, 8, run_ms=HOUR_MS))
    submit(driver, make_job("wide", "guest", 2, 8, run_ms=MINUTE_MS))
    submit(driver, make_job("loan", "guest", 1, 8, run_ms=3 * HOUR_MS))
    assert running(driver) == {"early": True, "loan": True}
    settle(driver, HOUR_MS + MINUTE_MS)
    wide = driver.runs["wide"]
    assert HOUR_MS - 10_000 <= wide.started_ms - wide.submitted_ms <= HOUR_MS + 10_000
    settle(driver, 4 * HOUR_MS)
    assert driver.runs["loan"].finished_ms > 0
    assert driver.runs["loan"].attempts == 2


def test_few_borrowers_are_moved_from_a_reservation() -> None:
    driver = make_driver(
        [make_worker(0), make_worker(1), make_worker(2)], {"guest": ()}
    )
    for number in range(3):
        submit(driver, make_job(f"fill{number}", "guest", 1, 8, run_ms=MINUTE_MS))
    submit(driver, *(make_job(f"s{number}", "guest", 1, 1) for number in range(2)))
    submit(driver, make_job("long", "guest", 1, 8, run_ms=9 * HOUR_MS))
    settle(driver, 2 * MINUTE_MS)
    submit(driver, make_job("wide", "guest", 2, 8, run_ms=MINUTE_MS))
    settle(driver, 15 * MINUTE_MS)
    assert driver.runs["wide"].finished_ms > 0
    assert driver.lost_accelerator_ms == 0


def test_overnight_work_has_only_one_reservation() -> None:
    """Guards against one more reservation for each job that becomes first.

    Workers would stay idle for all of them.
    """
    driver = make_driver([make_worker(0), make_worker(1)], {"guest": ()})
    submit(driver, make_job("a", "guest", 1, 8), make_job("b", "guest", 1, 8))
    for number in range(4):
        run_ms = (5 - number) * HOUR_MS
        submit(driver, make_job(f"w{number}", "guest", 2, 8, run_ms=run_ms))
    assert len(driver.world.scheduling.advance_reservations) == 1


def test_job_starts_on_free_capacity_beside_its_reservation() -> None:
    """Half of its reservation and a worker that is freed elsewhere are enough."""
    driver = make_driver(
        [make_worker(0), make_worker(1), make_worker(2)], {"guest": ()}
    )
    driver.put_setting("job.compact_after_ms", 10 * HOUR_MS)
    minutes = (30, 40, 20)
    for number, run_minutes in enumerate(minutes):
        item = make_job(
            f"f{number}",
            "guest",
            1,
            8,
            run_ms=run_minutes * MINUTE_MS,
            declared_ms=(10, 20, 60)[number] * MINUTE_MS,
        )
        submit(driver, item)
    submit(driver, make_job("wide", "guest", 2, 8, run_ms=MINUTE_MS))
    settle(driver, 32 * MINUTE_MS)
    assert driver.runs["wide"].started_ms > 0


def test_reclaimed_cores_are_not_lent_again() -> None:
    """Guards against an endless reclaim of the same cores.

    An older borrower was placed on them again each time before the job could start.
    """
    driver = make_driver([make_worker(0)], TEAMS)
    submit(driver, make_job("cores", "guest", 60, 0, run_ms=HOUR_MS))
    submit(driver, make_job("own", "owner", 1, 8, run_ms=9 * HOUR_MS, cores=64))
    settle(driver, MINUTE_MS)
    assert running(driver) == {"own": False}
    assert driver.reclaims == 1
