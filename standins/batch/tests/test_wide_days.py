"""Days with jobs of many steps: other work runs, and the holder keeps its lease."""

import pytest

from kingcuppost.utils import ManualClock
from standins.batch.wide_days import run_wide_day
from standins.batch.work_clock import WorkClock


@pytest.mark.parametrize(
    "seed",
    [
        pytest.param(205, id="more ends than a list holds"),
        *[pytest.param(seed, id=f"seed {seed}") for seed in (1, 2, 4)],
    ],
)
def test_jobs_of_many_steps_keep_no_other_job_from_running(seed: int) -> None:
    outcome = run_wide_day(seed)
    assert outcome.jobs
    assert not outcome.violations, outcome.injected_faults


def test_the_clock_of_a_process_advances_with_the_lines_of_its_tick() -> None:
    clock = WorkClock(ManualClock(start_ms=100), lines_per_ms=10)
    seen = []

    def tick() -> None:
        for _ in range(100):
            seen.append(clock.now_ms())

    taken_ms = clock.run(tick)
    assert taken_ms >= 20
    assert seen[0] == 100
    assert seen[-1] >= 119
    assert clock.now_ms() == 100
