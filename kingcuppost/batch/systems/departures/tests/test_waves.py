"""Which minions are likely to leave next while others depart."""

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.departures.waves import (
    departure_rate,
    may_depart,
    note_departure,
)
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import MinionIncarnation
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock


def make_minion(name: str, born_ms: int, service: str = "svc") -> MinionRow:
    incarnation = MinionIncarnation(name, born_ms)
    return MinionRow(name, incarnation, service, "z", "r1", frozenset(), Resources())


def make_world() -> BatchWorld:
    cfg = DaemonConfig(Role.ENTRY, "entry-0", "z", Address("10.0.0.1", 7000))
    return make_batch_world(cfg, ManualClock(start_ms=60_000), seed=1)


def test_in_a_wave_older_minions_may_leave_and_replacements_stay() -> None:
    """Gangs that started again on older minions were hit by the next step."""
    world = make_world()
    wall_ms = world.clock.wall_ms()
    old = make_minion("old", wall_ms - 50_000)
    replacement = make_minion("new", wall_ms - 1_500)
    assert not may_depart(world, old, 60_000)
    note_departure(world, make_minion("leaving", wall_ms - 50_000), 60_000)
    assert may_depart(world, old, 61_000)
    assert not may_depart(world, replacement, 61_000)
    assert not may_depart(world, make_minion("other", 0, "other"), 61_000)


def test_a_wave_goes_on_with_each_departure_and_ends_after_the_last() -> None:
    world = make_world()
    old = make_minion("old", 1)
    for step in range(4):
        note_departure(world, old, 60_000 + 4_000 * step)
    assert may_depart(world, old, 76_000)
    assert not may_depart(world, old, 78_000)


def note_rollout(world: BatchWorld, steps: int, per_step: int) -> int:
    """Note the departures of a rollout, one step a second; return its last time."""
    at_ms = 60_000
    for step in range(steps):
        at_ms = 60_000 + 1_000 * step
        for index in range(per_step):
            name = f"m-{step}-{index}"
            note_departure(world, make_minion(name, 1), at_ms + index)
    return at_ms


def test_the_pace_of_a_rollout_tells_how_many_leave_next() -> None:
    world = make_world()
    last_ms = note_rollout(world, steps=4, per_step=6)
    assert departure_rate(world, "svc", last_ms + 500) == pytest.approx(0.006, rel=0.01)
    assert departure_rate(world, "other", last_ms + 500) == 0


def test_a_rollout_is_over_once_its_next_step_is_overdue() -> None:
    """Work that waits for its end must not wait for departures that do not come."""
    world = make_world()
    last_ms = note_rollout(world, steps=4, per_step=6)
    assert departure_rate(world, "svc", last_ms + 2_500) == 0


def test_machines_reclaimed_at_one_moment_say_nothing_about_others() -> None:
    """They leave once, so that nothing is won by waiting."""
    world = make_world()
    last_ms = note_rollout(world, steps=1, per_step=11)
    assert departure_rate(world, "svc", last_ms + 100) == 0
