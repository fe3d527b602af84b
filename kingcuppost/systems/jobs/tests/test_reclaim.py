"""Borrowers yield to guaranteed and interactive work, with the least work lost."""

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
from kingcuppost.tables.job import GangState, Urgency
from kingcuppost.tables.team import Shape

TEAMS = {"owner": (Shape(1, 8),), "guest": ()}
START_LIMIT_MS = 1_800


def test_interactive_work_within_its_guarantee_starts_in_time() -> None:
    run = driver([worker(0), worker(1)], TEAMS)
    submit(run, job("b0", "guest", 1, 8), job("b1", "guest", 1, 8))
    assert running(run) == {"b0": True, "b1": True}
    submit(run, job("urgent", "owner", 1, 2, Urgency.INTERACTIVE))
    assert not running(run)["urgent"]
    started = run.runs["urgent"]
    assert started.started_ms - started.submitted_ms <= START_LIMIT_MS


def test_overnight_work_within_its_guarantee_reclaims_too() -> None:
    run = driver([worker(0)], TEAMS)
    submit(run, job("b0", "guest", 1, 8))
    submit(run, job("own", "owner", 1, 8))
    settle(run, 10_000)
    assert running(run) == {"own": False}


def test_borrower_with_least_lost_work_is_stopped() -> None:
    run = driver([worker(0), worker(1)], TEAMS)
    submit(run, job("old", "guest", 1, 8))
    settle(run, 10 * MINUTE_MS)
    submit(run, job("young", "guest", 1, 8))
    submit(run, job("own", "owner", 1, 4, Urgency.INTERACTIVE))
    assert "old" in running(run)
    assert "young" not in running(run)


def test_guaranteed_work_is_not_stopped() -> None:
    run = driver([worker(0)], {"owner": (Shape(1, 8),), "guest": ()})
    submit(run, job("own", "owner", 1, 8))
    submit(run, job("urgent", "guest", 1, 1, Urgency.INTERACTIVE))
    assert running(run) == {"own": False}


def test_cores_are_reclaimed_with_the_accelerators() -> None:
    run = driver([worker(0)], TEAMS)
    submit(run, job("cores", "guest", 60, 0))
    submit(run, job("urgent", "owner", 1, 8, Urgency.INTERACTIVE, cores=64))
    assert running(run) == {"urgent": False}


def test_stop_has_a_reason_and_a_short_grace() -> None:
    run = driver([worker(0)], TEAMS)
    submit(run, job("b0", "guest", 1, 8))
    run.submit(job("urgent", "owner", 1, 2, Urgency.INTERACTIVE))
    run.tick()
    run.step()
    (gang,) = run.world.agreed.gangs
    assert gang.state is GangState.STOPPING
    assert gang.reason == "reclaimed for job urgent"
    assert gang.grace_ms == 800


def test_two_jobs_never_preempt_each_other_alternately() -> None:
    """Guards against an interactive borrower and an overdue overnight job in a loop.

    Each of them would stop the other again and again.
    """
    run = driver([worker(0)], {"guest": (), "other": ()})
    run.put_setting("job.keep_bound_ms", 0)
    submit(run, job("wide", "guest", 1, 8, run_ms=HOUR_MS))
    urgent = Urgency.INTERACTIVE
    submit(run, job("u", "other", 1, 2, urgent, run_ms=MINUTE_MS))
    settle(run, 3 * HOUR_MS)
    assert run.runs["u"].finished_ms > 0
    assert run.runs["wide"].finished_ms > 0
    assert run.reclaims <= 1


def test_reservation_is_not_lent_past_its_time_limit() -> None:
    """Guards against a borrower that is stopped and started again without end.

    After the time limit of the reservation, each loan would be stopped at once.
    """
    run = driver([worker(0), worker(1)], {"guest": (), "own": (Shape(1, 8),)})
    run.put_setting("job.keep_bound_ms", MINUTE_MS)
    submit(run, job("own", "own", 1, 8, run_ms=HOUR_MS, cores=8))
    submit(run, job("wide", "guest", 2, 8, run_ms=MINUTE_MS))
    for number in range(8):
        submit(run, job(f"s{number}", "guest", 1, 1, run_ms=10 * MINUTE_MS))
    settle(run, 3 * HOUR_MS)
    assert run.runs["wide"].finished_ms > 0
    assert run.reclaims <= 8


def test_reservation_is_lent_while_it_waits_for_an_earlier_gang() -> None:
    run = driver([worker(0), worker(1)], {"guest": ()})
    run.put_setting("job.compact_after_ms", 10 * HOUR_MS)
    submit(run, job("early", "guest", 1, 8, run_ms=HOUR_MS))
    submit(run, job("wide", "guest", 2, 8, run_ms=MINUTE_MS))
    submit(run, job("loan", "guest", 1, 8, run_ms=3 * HOUR_MS))
    assert running(run) == {"early": True, "loan": True}
    settle(run, HOUR_MS + MINUTE_MS)
    wide = run.runs["wide"]
    assert HOUR_MS - 10_000 <= wide.started_ms - wide.submitted_ms <= HOUR_MS + 10_000
    settle(run, 4 * HOUR_MS)
    assert run.runs["loan"].finished_ms > 0
    assert run.runs["loan"].attempts == 2


def test_few_borrowers_are_moved_from_a_reservation() -> None:
    run = driver([worker(0), worker(1), worker(2)], {"guest": ()})
    for number in range(3):
        submit(run, job(f"fill{number}", "guest", 1, 8, run_ms=MINUTE_MS))
    submit(run, *(job(f"s{number}", "guest", 1, 1) for number in range(2)))
    submit(run, job("long", "guest", 1, 8, run_ms=9 * HOUR_MS))
    settle(run, 2 * MINUTE_MS)
    submit(run, job("wide", "guest", 2, 8, run_ms=MINUTE_MS))
    settle(run, 15 * MINUTE_MS)
    assert run.runs["wide"].finished_ms > 0
    assert run.lost_accelerator_ms == 0


def test_overnight_work_has_only_one_reservation() -> None:
    """Guards against one more reservation for each job that becomes first.

    Workers would stay idle for all of them.
    """
    run = driver([worker(0), worker(1)], {"guest": ()})
    submit(run, job("a", "guest", 1, 8), job("b", "guest", 1, 8))
    for number in range(4):
        hours = (5 - number) * HOUR_MS
        submit(run, job(f"w{number}", "guest", 2, 8, run_ms=hours))
    assert len(run.world.scheduling.advance_reservations) == 1


def test_job_starts_on_free_capacity_beside_its_reservation() -> None:
    """Half of its reservation and a worker that is freed elsewhere are enough."""
    run = driver([worker(0), worker(1), worker(2)], {"guest": ()})
    run.put_setting("job.compact_after_ms", 10 * HOUR_MS)
    minutes = (30, 40, 20)
    for number, run_minutes in enumerate(minutes):
        item = job(
            f"f{number}",
            "guest",
            1,
            8,
            run_ms=run_minutes * MINUTE_MS,
            declared_ms=(10, 20, 60)[number] * MINUTE_MS,
        )
        submit(run, item)
    submit(run, job("wide", "guest", 2, 8, run_ms=MINUTE_MS))
    settle(run, 32 * MINUTE_MS)
    assert run.runs["wide"].started_ms > 0


def test_reclaimed_cores_are_not_lent_again() -> None:
    """Guards against an endless reclaim of the same cores.

    An older borrower was placed on them again each time before the job could start.
    """
    run = driver([worker(0)], TEAMS)
    submit(run, job("cores", "guest", 60, 0, run_ms=HOUR_MS))
    submit(run, job("own", "owner", 1, 8, run_ms=9 * HOUR_MS, cores=64))
    settle(run, MINUTE_MS)
    assert running(run) == {"own": False}
    assert run.reclaims == 1
