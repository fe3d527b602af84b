"""What callers get under a burst of urgent work, with each order of the queue."""

import pytest

from bench.holder import Holder
from kingcuppost.batch.tables.job import StepSpec

TASK_MS = 2_000
STEP_MS = 50
JOBS = 12
URGENT = StepSpec(4, cpu_millis=7_500, accelerators=2, gang=True, estimate_ms=TASK_MS)
TARGET_MS = 2 * TASK_MS  # the queue's slack factor is 2


def play_burst(queue_order: str) -> list[int]:
    """Return how long each of `JOBS` urgent jobs took, in ms.

    There is room for one of them at a time. They come every half second; each needs
    2 s, so from the third on not all can be in time.
    """
    holder = Holder(1)
    holder.world.queue_order = queue_order
    submitted: dict[str, int] = {}
    took_ms: dict[str, int] = {}
    started: dict[str, int] = {}
    now_ms = 0
    while len(took_ms) < JOBS:
        if now_ms % 500 == 0 and len(submitted) < JOBS:
            submitted[holder.submit((URGENT,), priority=0)] = now_ms
        ended = []
        for key in list(holder.running["side-0"]):
            job_id = key[0].job
            started.setdefault(job_id, now_ms)
            if now_ms - started[job_id] >= TASK_MS:
                ended.append(key)
                took_ms[job_id] = now_ms - submitted[job_id]
        holder.report(0, ended=tuple(ended))
        holder.tick()
        holder.tick()
        holder.clock.advance(STEP_MS)
        now_ms += STEP_MS
    return list(took_ms.values())


def count_in_time(took_ms: list[int]) -> int:
    return sum(took <= TARGET_MS + 4 * STEP_MS for took in took_ms)


@pytest.mark.parametrize("queue_order", ["arrival", "cost", "deadline"])
def test_all_jobs_of_a_burst_are_done_in_the_end(queue_order: str) -> None:
    assert len(play_burst(queue_order)) == JOBS


def test_more_jobs_of_a_burst_are_in_time_by_deadline_than_by_arrival() -> None:
    by_arrival = count_in_time(play_burst("arrival"))
    by_deadline = count_in_time(play_burst("deadline"))
    assert by_deadline > by_arrival


def test_work_that_is_too_late_stops_no_other_work() -> None:
    filling = StepSpec(8, cpu_millis=5_600, accelerators=1, estimate_ms=60_000)
    for waited_ms, left in ((0, 0), (3 * TARGET_MS, 8)):
        holder = Holder(1)
        other = holder.submit((filling,))
        holder.settle()
        holder.submit((URGENT,), priority=0, waited_ms=waited_ms)
        holder.settle()
        assert holder.placed(other) == left
