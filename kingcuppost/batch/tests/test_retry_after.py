"""Callers that are refused during an outage of the log come back after it."""

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.freshness import FRESH_MS
from kingcuppost.batch.systems.retry_after import outage_pause_ms
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.messages import Stream
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

REPETITIONS = 4  # calls of one caller after the first
LAST_READ_MS = 1_000


@pytest.fixture
def world() -> BatchWorld:
    cfg = DaemonConfig(Role.ENTRY, "entry-0", "z", Address("10.0.0.1", 7000))
    world = make_batch_world(cfg, ManualClock(start_ms=1_000), seed=1)
    world.agreed.views[Stream.JOBS].fresh_ms = LAST_READ_MS
    return world


def is_served(
    world: BatchWorld, first_ms: int, outage_end_ms: int, priority: int
) -> bool:
    """Return whether a call or one of its repetitions comes after an outage."""
    at_ms = first_ms
    for _ in range(1 + REPETITIONS):
        if at_ms >= outage_end_ms:
            return True
        at_ms += outage_pause_ms(world, Stream.JOBS, priority, at_ms)
    return False


@pytest.mark.parametrize("outage_ms", [3_000, 5_000, 9_000])
@pytest.mark.parametrize("priority", [0, 1, 2])
def test_the_repetitions_of_a_refused_call_outlast_the_outage(
    world: BatchWorld, outage_ms: int, priority: int
) -> None:
    """Pauses of 1 s used up all repetitions within an outage of 5 s."""
    for refused_after_ms in range(FRESH_MS + 1, outage_ms, 100):
        first_ms = LAST_READ_MS + refused_after_ms
        assert is_served(world, first_ms, LAST_READ_MS + outage_ms, priority)


def test_urgent_callers_come_back_first(world: BatchWorld) -> None:
    now_ms = LAST_READ_MS + 3_500
    pauses = [outage_pause_ms(world, Stream.JOBS, rank, now_ms) for rank in range(3)]
    assert pauses == sorted(set(pauses))


def test_a_view_that_was_never_read_gives_the_shortest_pause(world: BatchWorld) -> None:
    """An entry that has just started is fresh soon."""
    assert outage_pause_ms(world, Stream.OPERATORS, 2, 5_000) == 1_000
