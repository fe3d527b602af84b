"""The order "cost" keeps the cost of a tick within the growth of the work.

The cost is counted in lines of Python, so that the tests need no clock.
"""

from dataclasses import replace

import pytest

from bench.holder import Holder
from bench.shapes import shapes
from bench.tests import test_cut_decisions as cut
from bench.tests.test_holder import count_lines
from bench.tests.test_shapes import MAX_GROWTH, MINIONS, TASKS
from kingcuppost.batch.systems.overload.running_work import remaining_work
from kingcuppost.batch.tables.job import StepSpec

SMALL = StepSpec(1, cpu_millis=1_000, memory_mb=1_000, estimate_ms=1_000)


def make_holder(shape: str, tasks: int) -> Holder:
    holder = Holder(MINIONS)
    holder.world.queue_order = "cost"
    for steps in shapes[shape](tasks):
        holder.submit(steps)
    return holder


def lines_of_end(shape: str, tasks: int) -> int:
    """Count the lines of a tick in which one run has ended."""
    holder = make_holder(shape, tasks)
    holder.tick()
    holder.settle()
    index = next(index for index in range(MINIONS) if holder.running[f"side-{index}"])
    holder.report(index, ended=(next(iter(holder.running[f"side-{index}"])),))
    return count_lines(holder.tick)


@pytest.mark.parametrize("shape", list(shapes))
def test_the_first_tick_after_a_submission_grows_with_the_work(shape: str) -> None:
    # guards against work per task, or per pair of jobs, in each round
    once = count_lines(make_holder(shape, TASKS).tick)
    assert count_lines(make_holder(shape, 2 * TASKS).tick) <= MAX_GROWTH * once


@pytest.mark.parametrize("shape", [shape for shape in shapes if shape != "unfit steps"])
def test_a_tick_with_the_end_of_a_run_grows_with_the_work(shape: str) -> None:
    assert lines_of_end(shape, 2 * TASKS) <= MAX_GROWTH * lines_of_end(shape, TASKS)


def test_jobs_that_are_all_demoted_grow_with_their_number() -> None:
    # guards against a pass that demotes a job more than twice
    counts = []
    for jobs in (200, 400):
        holder = make_holder("one step", 1)
        for index in range(jobs):
            step = StepSpec(4, cpu_millis=16_000, estimate_ms=5_000, gang=True)
            holder.submit((step,), waited_ms=100 * index % 9_000)
        counts.append(count_lines(holder.tick))
    assert counts[1] <= MAX_GROWTH * counts[0]


def test_a_cut_decision_is_planned_anew_when_a_plan_is_added() -> None:
    # guards against a job that waits for the end of a long decision, and against work
    # that the decision has left waiting and that the new plan does not count
    holder = cut.make_holder(cut.CountingClock())
    holder.world.queue_order = "cost"
    holder.submit(shapes["unequal steps"](cut.TASKS)[0][: cut.MINIONS * 60])
    cut.tick(holder)
    schedule = holder.world.schedule
    round_ = schedule.decision_round
    assert round_.next_index
    job_id = holder.submit((SMALL,))
    cut.tick(holder)
    assert schedule.decision_round is round_
    assert schedule.plans[job_id].order_state is not None
    assert job_id in {unit.plan.job.id for unit in round_.units}


def test_the_work_of_placed_runs_counts_until_their_estimate_is_over() -> None:
    # guards against an expected end that counts from the run before, or from 0
    holder = Holder(1)
    schedule = holder.world.schedule
    holder.submit((replace(SMALL, count=3),))
    holder.settle()
    [row] = schedule.running_work.values()
    elapsed_ms = 400
    [load] = schedule.loads.values()
    [started_ms] = {task.placed_ms for _, task in load.runs.values()}
    left = remaining_work(row, started_ms + elapsed_ms)
    left_ms = SMALL.estimate_ms - elapsed_ms
    assert left.cpu_millis == 3 * SMALL.cpu_millis * left_ms
