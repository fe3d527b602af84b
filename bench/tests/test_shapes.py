"""What a tick of the holder costs grows no faster than the work, of any shape.

The cost is counted in lines of Python, so that the tests need no clock.
"""

from collections.abc import Callable

import pytest

from bench.holder import Holder
from bench.shapes import shapes
from bench.tests.test_holder import count_lines
from kingcuppost.batch.edges.metrics import metrics_text
from kingcuppost.batch.systems.run_monitor import ALMOST_DONE_PERCENT
from kingcuppost.batch.tables.job import RunEnd

MINIONS = 2
TASKS = 640
MAX_GROWTH = 2.4  # when the work doubles; the square of it would grow by 4


def make_holder(shape: str, tasks: int) -> Holder:
    holder = Holder(MINIONS)
    for steps in shapes[shape](tasks):
        holder.submit(steps)
    return holder


def lines_of_first_tick(shape: str, tasks: int) -> int:
    return count_lines(make_holder(shape, tasks).tick)


def lines_of_end(shape: str, tasks: int) -> int:
    """Count the lines of a tick in which one run has ended."""
    holder = make_holder(shape, tasks)
    holder.tick()
    holder.settle()
    index = next(index for index in range(MINIONS) if holder.running[f"side-{index}"])
    ended = next(iter(holder.running[f"side-{index}"]))
    holder.report(index, ended=(ended,))
    return count_lines(holder.tick)


def lines_of_load(shape: str, tasks: int) -> int:
    """Count the lines of the tick in which a new holder loads the plans."""
    holder = make_holder(shape, tasks)
    holder.tick()
    holder.hand_over()
    return count_lines(holder.tick)


def lines_of_cancel(shape: str, tasks: int) -> int:
    """Count the lines of a tick in which all jobs are cancelled."""
    holder = make_holder(shape, tasks)
    holder.tick()
    for job in holder.world.agreed.jobs:
        holder.cancel(job.id)
    return count_lines(holder.tick)


def lines_of_failures(tasks: int) -> int:
    """Count the lines of a tick in which all members of a gang have failed."""
    holder = make_holder("one gang", tasks)
    holder.tick()
    holder.settle()
    for index in range(MINIONS):
        runs = tuple(holder.running[f"side-{index}"])
        holder.report(index, ended=runs, run_end=RunEnd.FAILED)
    return count_lines(holder.tick)


def lines_of_monitor(tasks: int) -> int:
    """Count the lines of a check of a gang whose members are almost done."""
    holder = make_holder("one gang", tasks)
    holder.tick()
    holder.settle()
    schedule = holder.world.schedule
    for plan in schedule.plans.values():
        for task in plan.tasks[0]:
            task.percent = ALMOST_DONE_PERCENT
    schedule.check_runs_at_ms = 0
    return count_lines(holder.tick)


@pytest.mark.parametrize("shape", list(shapes))
def test_the_first_tick_after_a_submission_grows_with_the_work(shape: str) -> None:
    once = lines_of_first_tick(shape, TASKS)
    assert lines_of_first_tick(shape, 2 * TASKS) <= MAX_GROWTH * once


@pytest.mark.parametrize("shape", [shape for shape in shapes if shape != "unfit steps"])
def test_a_tick_with_the_end_of_a_run_grows_with_the_work(shape: str) -> None:
    once = lines_of_end(shape, TASKS)
    assert lines_of_end(shape, 2 * TASKS) <= MAX_GROWTH * once


@pytest.mark.parametrize("shape", list(shapes))
def test_the_load_by_a_new_holder_grows_with_the_work(shape: str) -> None:
    once = lines_of_load(shape, TASKS)
    assert lines_of_load(shape, 2 * TASKS) <= MAX_GROWTH * once


@pytest.mark.parametrize("shape", list(shapes))
def test_a_cancellation_grows_with_the_work(shape: str) -> None:
    once = lines_of_cancel(shape, TASKS)
    assert lines_of_cancel(shape, 2 * TASKS) <= MAX_GROWTH * once


@pytest.mark.parametrize("lines_of", [lines_of_failures, lines_of_monitor])
def test_what_happens_to_a_gang_grows_with_its_members(
    lines_of: Callable[[int], int],
) -> None:
    assert lines_of(2 * TASKS) <= MAX_GROWTH * lines_of(TASKS)


def test_a_scrape_of_the_metrics_does_not_look_at_every_task() -> None:
    few, many = (make_holder("one step", tasks) for tasks in (TASKS, 10 * TASKS))
    for holder in (few, many):
        holder.tick()
        holder.settle()
    once = count_lines(lambda: metrics_text(few.world))
    assert count_lines(lambda: metrics_text(many.world)) <= 1.3 * once
