"""Orders of heartbeats, leave notices, lists and replies at a sidecar."""

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.scheduler_replies import (
    LEASE_MARGIN_MS,
    handle_scheduler_replies,
)
from kingcuppost.batch.systems.sidecar_heartbeats import (
    ask_successor,
    handle_heartbeats,
)
from kingcuppost.batch.systems.sidecar_inbox import handle_run_lists
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.job import MinionIncarnation
from kingcuppost.batch.tables.messages import (
    HoldMinion,
    HoldMinionAnswered,
    MinionHeartbeat,
    SyncAnswered,
    SyncReply,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.batch.tests.test_run_end_rule import make_heartbeat
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

FIRST, NEXT = MinionIncarnation("m-0", 5), MinionIncarnation("m-0", 9)


@pytest.fixture
def world() -> BatchWorld:
    """Return a sidecar that is in contact with the first incarnation."""
    cfg = DaemonConfig(Role.SIDECAR, "side-0", "z", Address("10.0.1.1", 7000))
    world = make_batch_world(cfg, ManualClock(start_ms=1_000), seed=1)
    receive(world, make_heartbeat())
    receive(world, HoldMinionAnswered(FIRST, 990, 1_000))
    return world


def receive(world: BatchWorld, message: MinionHeartbeat | HoldMinionAnswered) -> None:
    now_ms = world.clock.now_ms()
    world.inbox.put(message)
    handle_run_lists(world, now_ms)
    handle_heartbeats(world, now_ms)
    ask_successor(world, now_ms)


def test_a_successor_is_asked_for_its_lists_without_a_lease(world: BatchWorld) -> None:
    receive(world, make_heartbeat(born_ms=9))
    (request,) = world.outbox.take(HoldMinion)
    assert request.incarnation == NEXT
    assert (request.lease_until_ms, request.acknowledged_end) == (None, 0)
    assert world.sidecar_state.minion.incarnation == FIRST
    receive(world, HoldMinionAnswered(NEXT, 995, 1_000))
    assert world.sidecar_state.minion.incarnation == NEXT
    assert world.sidecar_state.contact_ms == 1_000


def test_a_successor_that_does_not_answer_is_dropped(world: BatchWorld) -> None:
    receive(world, make_heartbeat(born_ms=9))
    receive(world, HoldMinionAnswered(NEXT, 995, 1_000, reason="other incarnation"))
    assert world.sidecar_state.minion.incarnation == FIRST
    assert world.sidecar_state.successor is None


def test_a_successor_that_answers_after_the_minion_has_left_begins(
    world: BatchWorld,
) -> None:
    """There is no known minion then whose orders could reach the successor."""
    receive(world, make_heartbeat(born_ms=9))
    notice = make_heartbeat()
    receive(world, MinionHeartbeat(notice.address, notice.report, 0, has_left=True))
    receive(world, HoldMinionAnswered(FIRST, 995, 1_000, reason="refused"))
    assert world.sidecar_state.minion is None
    receive(world, HoldMinionAnswered(NEXT, 995, 1_000))
    assert world.sidecar_state.minion.incarnation == NEXT


@pytest.mark.parametrize("read_after_ms", [-500, 0, 300, 900])
def test_a_lease_counts_from_the_sending_of_the_report_that_was_answered(
    world: BatchWorld, read_after_ms: int
) -> None:
    """A clock reading newer than the report let the lease outlast the holder's view."""
    clock_ahead_ms = 70_000
    sent_ms = 2_000
    read_ms = sent_ms + read_after_ms
    lists = HoldMinionAnswered(FIRST, read_ms, read_ms, read_ms + clock_ahead_ms)
    receive(world, lists)
    world.sidecar_state.unanswered_syncs[1] = True
    world.clock.advance(2_000)
    reply = SyncReply("", 3, incarnation=FIRST)
    world.inbox.put(SyncAnswered(1, Address("10.0.0.1", 7000), sent_ms, reply))
    handle_scheduler_replies(world, world.clock.now_ms())
    latest_ms = sent_ms + clock_ahead_ms + world.cfg.bounds.lease_ms
    assert (
        latest_ms - LEASE_MARGIN_MS <= world.sidecar_state.lease_until_ms <= latest_ms
    )
