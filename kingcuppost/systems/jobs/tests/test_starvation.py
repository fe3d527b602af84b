"""Large gangs start within a time limit; gangs are placed close together."""

import pytest

from kingcuppost.settings import effective_value
from kingcuppost.systems.jobs.tests.support import (
    HOUR_MS,
    MINUTE_MS,
    make_driver,
    make_job,
    make_worker,
    settle,
    submit,
)
from kingcuppost.tables.team import Shape

STOP_AND_START_MS = 10_000


def test_a_gang_of_64_starts_among_endless_small_jobs() -> None:
    """The gang waits at most its expected run time plus its reservation's limit.

    It becomes first in the queue within its expected run time. Compaction is delayed,
    so that the time limit of the reservation ends the wait. The stop of the borrowers
    and the start of the gang add `STOP_AND_START_MS`.
    """
    driver = make_driver(
        [make_worker(number) for number in range(64)], {"a": (), "b": ()}
    )
    driver.put_setting("job.overtake_limit_ms", HOUR_MS)
    driver.put_setting("job.keep_bound_ms", HOUR_MS)
    driver.put_setting("job.compact_after_ms", 10 * HOUR_MS)
    for number in range(2_400):
        small = make_job(
            f"s{number}",
            "a",
            1,
            8,
            run_ms=20 * MINUTE_MS,
            declared_ms=2 * MINUTE_MS,
        )
        driver.at(1_000 + number * 15_000, lambda small=small: driver.submit(small))
    large = make_job("large", "b", 64, 8, run_ms=MINUTE_MS)
    driver.at(30 * MINUTE_MS, lambda: driver.submit(large))
    driver.run(10 * HOUR_MS)
    waited_ms = driver.runs["large"].started_ms - driver.runs["large"].submitted_ms
    assert 0 <= waited_ms <= MINUTE_MS + HOUR_MS + STOP_AND_START_MS


def test_sort_key_of_a_waiting_job_is_within_the_overtake_limit() -> None:
    driver = make_driver([make_worker(0)], {"a": ()})
    driver.tick()
    submit(driver, make_job("blocker", "a", 1, 8))
    submit(driver, make_job("large", "a", 1, 8, run_ms=HOUR_MS))
    limit_ms = effective_value(driver.world.agreed, "job.overtake_limit_ms")
    settle(driver, MINUTE_MS)
    first = driver.world.scheduling.queue[0]
    assert first.job == "large"
    assert first.sort_key[1] <= driver.runs["large"].submitted_ms + limit_ms


@pytest.mark.parametrize(
    ("members", "accelerators", "attribute"),
    [(2, 4, "name"), (3, 8, "rack"), (4, 8, "availability_zone")],
)
def test_gang_is_placed_as_close_as_possible(
    members: int, accelerators: int, attribute: str
) -> None:
    workers = [make_worker(number, zone="ab"[number // 6]) for number in range(12)]
    driver = make_driver(workers, {"a": (Shape(1, 1),)})
    submit(driver, make_job("gang", "a", members, accelerators))
    (gang,) = driver.world.agreed.gangs
    rows = [driver.world.agreed.workers.get(item.worker) for item in gang.placements]
    assert len({getattr(row, attribute) for row in rows}) == 1


def test_gang_is_placed_whole_or_not_at_all() -> None:
    driver = make_driver([make_worker(0), make_worker(1)], {"a": ()})
    submit(driver, make_job("gang", "a", 3, 8))
    assert not len(driver.world.agreed.gangs)
