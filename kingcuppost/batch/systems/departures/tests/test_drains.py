"""Work at draining minions: stopped at once, or left to end."""

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.departures import DrainDecisions, is_stop_better
from kingcuppost.batch.systems.plans import load_plan
from kingcuppost.batch.systems.task_phases import add_plan, change_phase
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.departures import DrainCosts
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import Job, MinionIncarnation, StepSpec, TaskPhase
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

NOW_MS = 10_000
GANG = StepSpec(2, accelerators=8, estimate_ms=6_000, gang=True)
SAVING = StepSpec(1, accelerators=8, estimate_ms=6_000, saves=True)


def place_gang(step: StepSpec, speeds: list[float]) -> tuple[BatchWorld, Plan]:
    """Return a world and a plan whose tasks were placed 2 s ago, one on each minion.

    The first minion drains and may leave 4 s from now.
    """
    cfg = DaemonConfig(Role.ENTRY, "entry-0", "z", Address("10.0.0.1", 7000))
    world = make_batch_world(cfg, ManualClock(start_ms=NOW_MS), seed=1)
    plan = load_plan(Job("5c0e7a21d94b36f8", "q", "t", "", (step,), 0, 0))
    add_plan(world.schedule, plan)
    for task, speed in zip(plan.tasks[0], speeds, strict=True):
        incarnation = MinionIncarnation(f"m-{task.name.index}", 1)
        row = MinionRow(
            f"side-{task.name.index}",
            incarnation,
            "svc",
            "z",
            "r1",
            frozenset(),
            Resources(64_000, 131_072, 8),
            drain_since_ms=NOW_MS,
            drain_end_ms=NOW_MS + 4_000,
            draining=task.name.index == 0,
        )
        row.speed.value = speed
        world.schedule.minions.put(row)
        change_phase(world.schedule, plan, task, TaskPhase.PLACED, incarnation)
        task.run = 1
        task.placed_ms = world.clock.wall_ms() - 2_000
        task.percent = 50
    return world, plan


def decide(world: BatchWorld, plan: Plan) -> bool:
    minion = world.schedule.minions.get("side-0")
    return DrainDecisions(world, NOW_MS).should_stop(minion, plan, plan.tasks[0][0])


@pytest.mark.parametrize(
    ("lost_ms", "expected_ms", "left_ms", "expected"),
    [
        (8_000, 4_000, 4_000, False),
        (1_000, 5_000, 4_000, True),
        (30_000, 5_000, 4_000, False),
        (30_000, 9_000, 4_000, True),
        (30_000, 500, 0, False),
    ],
    ids=["in time", "little lost", "much lost", "no chance", "announced time over"],
)
def test_a_stop_is_weighed_against_the_chance_to_end(
    lost_ms: int, expected_ms: int, left_ms: int, expected: bool
) -> None:
    costs = DrainCosts(lost_ms, expected_ms, left_ms)
    assert is_stop_better(costs) is expected


def test_a_gang_that_ends_in_time_is_not_stopped() -> None:
    assert not decide(*place_gang(GANG, [1.0, 1.0]))


def test_the_slowest_member_tells_when_a_gang_ends() -> None:
    """By the fast member alone, the gang went on and was lost when its minion left."""
    assert decide(*place_gang(GANG, [1.0, 0.4]))


def test_saving_work_that_ends_in_time_is_not_moved() -> None:
    """A move costs a restart, though the work needs no other minion."""
    assert not decide(*place_gang(SAVING, [1.0]))
    assert decide(*place_gang(SAVING, [0.5]))


def test_work_that_went_on_is_not_stopped_shortly_before_its_minion_leaves() -> None:
    """Such a stop loses all of the work, and what is left to wait for is short."""
    world, plan = place_gang(GANG, [1.0, 0.4])
    minion = world.schedule.minions.get("side-0")
    later = DrainDecisions(world, NOW_MS + 2_000)
    assert not later.should_stop(minion, plan, plan.tasks[0][0])
