"""Large gangs start within a time limit; gangs are placed close together."""

import pytest

from kingcuppost.settings import effective_value
from kingcuppost.systems.jobs.tests.support import (
    HOUR_MS,
    MINUTE_MS,
    driver,
    job,
    settle,
    submit,
    worker,
)
from kingcuppost.tables.team import Shape

STOP_AND_START_MS = 10_000


def test_a_gang_of_64_starts_among_endless_small_jobs() -> None:
    """The gang waits at most its expected run time plus its reservation's limit.

    It becomes first in the queue within its expected run time. Compaction is delayed,
    so that the time limit of the reservation ends the wait. The stop of the borrowers
    and the start of the gang add `STOP_AND_START_MS`.
    """
    run = driver([worker(number) for number in range(64)], {"a": (), "b": ()})
    run.put_setting("job.overtake_limit_ms", HOUR_MS)
    run.put_setting("job.keep_bound_ms", HOUR_MS)
    run.put_setting("job.compact_after_ms", 10 * HOUR_MS)
    for number in range(2_400):
        small = job(
            f"s{number}",
            "a",
            1,
            8,
            run_ms=20 * MINUTE_MS,
            declared_ms=2 * MINUTE_MS,
        )
        run.at(1_000 + number * 15_000, lambda small=small: run.submit(small))
    large = job("large", "b", 64, 8, run_ms=MINUTE_MS)
    run.at(30 * MINUTE_MS, lambda: run.submit(large))
    run.run(10 * HOUR_MS)
    waited_ms = run.runs["large"].started_ms - run.runs["large"].submitted_ms
    assert 0 <= waited_ms <= MINUTE_MS + HOUR_MS + STOP_AND_START_MS


def test_rank_of_a_waiting_job_is_within_the_overtake_limit() -> None:
    run = driver([worker(0)], {"a": ()})
    run.tick()
    submit(run, job("blocker", "a", 1, 8))
    submit(run, job("large", "a", 1, 8, run_ms=HOUR_MS))
    limit_ms = effective_value(run.world.agreed, "job.overtake_limit_ms")
    settle(run, MINUTE_MS)
    first = run.world.scheduling.queue[0]
    assert first.job == "large"
    assert first.rank[1] <= run.runs["large"].submitted_ms + limit_ms


@pytest.mark.parametrize(
    ("members", "accelerators", "attribute"),
    [(2, 4, "name"), (3, 8, "rack"), (4, 8, "availability_zone")],
)
def test_gang_is_placed_as_close_as_possible(
    members: int, accelerators: int, attribute: str
) -> None:
    workers = [worker(number, zone="ab"[number // 6]) for number in range(12)]
    run = driver(workers, {"a": (Shape(1, 1),)})
    submit(run, job("gang", "a", members, accelerators))
    (gang,) = run.world.agreed.gangs
    rows = [run.world.agreed.workers.get(item.worker) for item in gang.placements]
    assert len({getattr(row, attribute) for row in rows}) == 1


def test_gang_is_placed_whole_or_not_at_all() -> None:
    run = driver([worker(0), worker(1)], {"a": ()})
    submit(run, job("gang", "a", 3, 8))
    assert not len(run.world.agreed.gangs)
