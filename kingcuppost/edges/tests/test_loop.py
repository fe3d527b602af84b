"""The loop runs ticks on arrivals and deadlines, and ends when a tick fails."""

import logging
from collections.abc import Iterator

import pytest
from twisted.internet.task import Clock as TwistedClock

from kingcuppost.edges.context import EdgeContext
from kingcuppost.edges.loop import (
    EXIT_SOFTWARE_ERROR,
    LOGGER_NAME,
    LONG_TICK_MS,
    TickLoop,
)
from kingcuppost.programs import make_world
from kingcuppost.systems.registry import Phase, System
from kingcuppost.tables.config import Address, EntryConfig, LogConfig, ProcessConfig
from kingcuppost.tables.identity import Role
from kingcuppost.tables.world import World
from kingcuppost.utils import ManualClock

UNUSED_ADDRESS = Address("127.0.0.1", 0)
CFG = ProcessConfig(
    Role.ENTRY,
    "entry-0",
    "vid-a",
    "vidzeme",
    UNUSED_ADDRESS,
    LogConfig("none", UNUSED_ADDRESS),
    EntryConfig(UNUSED_ADDRESS, UNUSED_ADDRESS),
    seed=1,
)


class FakeReactor(TwistedClock):
    stopped = False

    def stop(self) -> None:
        self.stopped = True


class Harness:
    def __init__(self, run: object) -> None:
        self.clock = ManualClock(start_ms=1)
        self.reactor = FakeReactor()
        self.duration_ms = 0.0
        systems = [System("test.run", Phase.ACT, 10, (Role.ENTRY,), run)]
        self.loop = TickLoop(self.reactor, systems, lambda: self.duration_ms)
        self.context = EdgeContext(
            make_world(CFG, self.clock), self.reactor, None, self.loop.wake
        )
        self.loop.attach(self.context, lambda: None)

    def advance(self, by_ms: int) -> None:
        self.clock.advance(by_ms)
        self.reactor.advance(by_ms / 1_000)


def test_messages_that_arrive_before_a_tick_share_it() -> None:
    harness = Harness(lambda world, now_ms: world.inbox.take(str))
    for text in ("a", "b", "c"):
        harness.context.deliver(text)
    harness.advance(0)
    assert harness.loop.tick_count == 1
    assert len(harness.context.world.inbox) == 0


def test_no_tick_runs_before_a_deadline() -> None:
    def run(world: World, now_ms: int) -> None:
        if now_ms < 100:
            world.deadlines.add(100)

    harness = Harness(run)
    harness.loop.wake()
    harness.advance(0)
    harness.advance(50)
    assert harness.loop.tick_count == 1
    harness.advance(60)
    harness.advance(0)
    assert harness.loop.tick_count == 2
    harness.advance(10_000)
    assert harness.loop.tick_count == 2


def test_a_failed_tick_ends_the_process() -> None:
    def run(world: World, now_ms: int) -> None:
        raise RuntimeError("a fault in a system")

    harness = Harness(run)
    harness.loop.wake()
    harness.advance(0)
    assert harness.reactor.stopped
    assert harness.context.exit_code == EXIT_SOFTWARE_ERROR


@pytest.fixture
def lines() -> Iterator[list[logging.LogRecord]]:
    """Yield the lines that the process's logger gets during a test."""
    records: list[logging.LogRecord] = []
    handler = logging.Handler()
    handler.emit = records.append
    logger = logging.getLogger(LOGGER_NAME)
    logger.addHandler(handler)
    yield records
    logger.removeHandler(handler)


def test_a_long_tick_names_its_system(lines: list[logging.LogRecord]) -> None:
    def run(world: World, now_ms: int) -> None:
        harness.duration_ms += LONG_TICK_MS

    harness = Harness(run)
    for _ in range(5):
        harness.loop.wake()
        harness.advance(10)
    world = harness.context.world
    assert world.tally.counts["long_ticks"] == {("test.run",): 5}
    [line] = [line for line in lines if line.msg == "loop: A tick was long."]
    assert (line.system, line.took_ms) == ("test.run", LONG_TICK_MS)
    harness.advance(1_000)
    harness.loop.wake()
    harness.advance(0)
    assert [line.msg for line in lines].count("loop: A tick was long.") == 2


def test_a_short_tick_is_not_logged(lines: list[logging.LogRecord]) -> None:
    def run(world: World, now_ms: int) -> None:
        harness.duration_ms += LONG_TICK_MS - 1

    harness = Harness(run)
    harness.loop.wake()
    harness.advance(0)
    assert "long_ticks" not in harness.context.world.tally.counts
    assert not lines
