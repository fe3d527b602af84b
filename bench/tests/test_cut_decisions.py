"""A decision or a load that takes long goes on in the next tick, with the same result.

The clock advances with each reading, so that the budget of a tick is spent after a
number of readings and not after a time.
"""

import pytest

from bench.holder import Holder
from bench.shapes import shapes
from kingcuppost.batch.systems.tick_budget import TICK_BUDGET_MS
from kingcuppost.batch.tables.job import (
    MinionIncarnation,
    StepSpec,
    TaskName,
    TaskPhase,
)
from kingcuppost.batch.tables.plan import PlanPhase
from kingcuppost.utils import ManualClock

MINIONS = 3
TASKS = 480
MAX_TICKS = 200
SHAPES_OF_FEW_UNITS = ("one step", "one gang", "chain", "layers", "each on all before")
MAX_READINGS = 3 * TICK_BUDGET_MS  # of a tick: two budgets, and what is not budgeted
SMALL = StepSpec(1, cpu_millis=1_000, memory_mb=1_000, estimate_ms=1_000)


class CountingClock(ManualClock):
    """Clock that advances by 1 ms with each reading."""

    def __init__(self) -> None:
        super().__init__(start_ms=100_000)
        self.readings = 0

    def now_ms(self) -> int:
        self.readings += 1
        self.advance(1)
        return super().now_ms()


def make_holder(clock: ManualClock | None = None) -> Holder:
    return Holder(MINIONS, clock)


def tick(holder: Holder) -> None:
    """Run a tick before which each sidecar has reported, so that no minion is lost."""
    for index in range(MINIONS):
        holder.report(index)
    holder.tick()


def run_ticks(holder: Holder) -> int:
    """Run ticks until all jobs are known and decided on; return their number."""
    schedule = holder.world.schedule
    for count in range(1, MAX_TICKS):
        tick(holder)
        if not schedule.changed_jobs and schedule.decision_round is None:
            return count
    raise AssertionError("the decision does not end")


def find_placements(holder: Holder) -> dict[TaskName, MinionIncarnation]:
    return {
        task.name: task.incarnation
        for plan in holder.world.schedule.plans.values()
        for step in plan.tasks
        for task in step
        if task.phase is TaskPhase.PLACED
    }


@pytest.mark.parametrize("shape", list(shapes))
def test_a_cut_decision_places_what_an_uncut_one_places(shape: str) -> None:
    uncut, cut = make_holder(), make_holder(CountingClock())
    for holder in (uncut, cut):
        for steps in shapes[shape](TASKS):
            holder.submit(steps)
        ticks = run_ticks(holder)
    assert ticks > 1 or shape in SHAPES_OF_FEW_UNITS
    assert find_placements(cut).keys() == find_placements(uncut).keys()
    if len(cut.world.schedule.plans) == 1:
        assert find_placements(cut) == find_placements(uncut)


@pytest.mark.parametrize("shape", list(shapes))
def test_no_tick_takes_more_than_its_budget(shape: str) -> None:
    clock = CountingClock()
    holder = make_holder(clock)
    for steps in shapes[shape](TASKS):
        holder.submit(steps)
    for _ in range(MAX_TICKS):
        clock.readings = 0
        tick(holder)
        assert clock.readings <= MAX_READINGS
        if holder.world.schedule.decision_round is None:
            return


def begin_cut_decision() -> Holder:
    """Return a holder in the middle of a decision that leaves capacity free."""
    holder = make_holder(CountingClock())
    holder.submit(shapes["unequal steps"](TASKS)[0][: MINIONS * 60])
    tick(holder)
    assert holder.world.schedule.decision_round is not None
    return holder


def test_an_urgent_job_does_not_wait_for_the_end_of_a_long_decision() -> None:
    holder = begin_cut_decision()
    job_id = holder.submit((SMALL,), priority=0)
    tick(holder)
    assert holder.world.schedule.decision_round is not None
    assert holder.placed(job_id) == 1


def test_a_job_that_is_cancelled_during_a_decision_is_placed_no_more() -> None:
    holder = begin_cut_decision()
    [job_id] = holder.world.schedule.plans
    holder.cancel(job_id)
    tick(holder)
    placed = holder.placed(job_id)
    run_ticks(holder)
    assert holder.placed(job_id) == placed


def test_a_minion_that_is_lost_during_a_decision_gets_no_more_runs() -> None:
    holder = begin_cut_decision()
    world = holder.world
    lost = world.schedule.minions.get("side-0")
    lost.is_unreachable = True
    before = list(find_placements(holder).values()).count(lost.incarnation)
    run_ticks(holder)
    after = list(find_placements(holder).values()).count(lost.incarnation)
    assert after == before


def test_work_that_came_during_a_decision_is_placed_after_it() -> None:
    holder = begin_cut_decision()
    job_id = holder.submit((SMALL,))
    run_ticks(holder)
    run_ticks(holder)
    assert holder.placed(job_id) == 1


def test_a_load_by_a_new_holder_is_cut_and_complete() -> None:
    clock = CountingClock()
    holder = make_holder(clock)
    for steps in shapes["small jobs"](TASKS):
        holder.submit(steps)
    tick(holder)
    holder.hand_over()
    tick(holder)
    schedule = holder.world.schedule
    assert not schedule.is_loaded
    late_id = holder.submit((SMALL,))
    cancelled_id = next(iter(holder.world.agreed.jobs)).id
    holder.cancel(cancelled_id)
    ticks = 1
    while not schedule.is_loaded:
        clock.readings = 0
        tick(holder)
        ticks += 1
        assert clock.readings <= MAX_READINGS
        assert ticks < MAX_TICKS
    tick(holder)
    assert len(schedule.plans) == TASKS + 1
    assert late_id in schedule.plans
    assert schedule.plans[cancelled_id].phase is PlanPhase.OVER
