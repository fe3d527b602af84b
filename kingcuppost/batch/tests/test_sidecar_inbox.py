"""What a sidecar takes from the replies of entries, however late they are."""

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.scheduler_replies import (
    handle_entry_records,
    handle_scheduler_replies,
)
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.messages import (
    EntryRecord,
    RecordsRead,
    Stream,
    SyncAnswered,
    SyncReply,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

OLD, NEW, OTHER = (Address(f"10.0.0.{number}", 7000) for number in (1, 2, 3))


@pytest.fixture
def world() -> BatchWorld:
    cfg = DaemonConfig(Role.SIDECAR, "side-0", "z", Address("10.0.1.1", 7000))
    return make_batch_world(cfg, ManualClock(start_ms=1_000), seed=1)


def receive(world: BatchWorld, sender: Address, reply: SyncReply) -> None:
    now_ms = world.clock.now_ms()
    world.inbox.put(SyncAnswered(1, sender, now_ms, reply))
    handle_scheduler_replies(world, now_ms)


def test_a_redirect_to_the_holder_of_an_earlier_term_is_not_followed(
    world: BatchWorld,
) -> None:
    receive(world, NEW, SyncReply("", 9))
    receive(world, OTHER, SyncReply("", -1, OLD, holder_term=5))
    assert world.sidecar_state.holder is None
    receive(world, OTHER, SyncReply("", -1, NEW, holder_term=9))
    assert world.sidecar_state.holder == NEW


def test_entries_that_were_read_earlier_do_not_replace_newer_ones(
    world: BatchWorld,
) -> None:
    receive(world, NEW, SyncReply("", 9, entries=(NEW, OTHER), members_end=40))
    receive(world, OTHER, SyncReply("", -1, entries=(OLD,), members_end=30))
    assert world.sidecar_state.entries == (NEW, OTHER)
    rows = [(41, EntryRecord("entry-0", OLD, "z", "inc"))]
    world.inbox.put(RecordsRead(Stream.MEMBERS, rows, 0, 42, is_complete=True))
    handle_entry_records(world, world.clock.now_ms())
    assert world.sidecar_state.entries == (OLD,)
