"""Tests of the work of the runs, which is kept up to date rather than summed up."""

from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppost.batch.systems.overload.running_work import (
    MAX_STALE_ENDS,
    remaining_work,
)
from kingcuppost.batch.systems.overload.tests.overload_play import (
    INCARNATION,
    add_job,
    make_world,
)
from kingcuppost.batch.systems.task_phases import change_phase, remove_plan
from kingcuppost.batch.tables.job import StepSpec, TaskPhase
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.world import BatchWorld

KEY = ("svc", 1)


def set_placed(world: BatchWorld, plan: Plan, index: int, placed: bool) -> None:
    task = plan.tasks[0][index]
    task.placed_ms = world.clock.wall_ms()
    phase = TaskPhase.PLACED if placed else TaskPhase.WAITING
    change_phase(world.schedule, plan, task, phase, INCARNATION if placed else None)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 7), st.booleans(), st.integers(0, 3_000))))
def test_kept_sums_equal_those_of_all_runs(
    changes: list[tuple[int, bool, int]],
) -> None:
    world = make_world()
    step = StepSpec(8, cpu_millis=1_500, accelerators=1, estimate_ms=5_000)
    plan = add_job(world, step)
    for index, placed, wait_ms in changes:
        set_placed(world, plan, index, placed)
        world.clock.advance(wait_ms)
        wall_ms = world.clock.wall_ms()
        left_ms = [
            max(task.placed_ms + step.estimate_ms - wall_ms, 0)
            for task in plan.tasks[0]
            if task.phase is TaskPhase.PLACED
        ]
        row = world.schedule.running_work.get(KEY)
        found = remaining_work(row, wall_ms).cpu_millis if row else 0
        assert found == sum(left_ms) * step.cpu_millis


def test_a_run_without_estimate_is_no_work() -> None:
    world = make_world()
    plan = add_job(world, StepSpec(1, cpu_millis=1_000))
    set_placed(world, plan, 0, True)
    assert not world.schedule.running_work


def test_runs_of_a_removed_plan_are_counted_no_more() -> None:
    world = make_world()
    plan = add_job(world, StepSpec(1, cpu_millis=1_000, estimate_ms=1_000))
    set_placed(world, plan, 0, True)
    remove_plan(world.schedule, plan.job.id)
    assert not world.schedule.running_work


def test_ends_of_ended_runs_do_not_pile_up_while_nobody_asks() -> None:
    # guards against growth without limit under an order that needs no forecast
    world = make_world("deadline")
    plan = add_job(world, StepSpec(2, cpu_millis=1_000, estimate_ms=10**9))
    set_placed(world, plan, 1, True)
    for _ in range(10 * MAX_STALE_ENDS):
        set_placed(world, plan, 0, True)
        set_placed(world, plan, 0, False)
    assert len(world.schedule.running_work[KEY].ends) <= MAX_STALE_ENDS + 4
