"""Runs the systems of an entry without sockets and with a manual clock.

A list takes the place of the log: appended records are returned by later reads. Run
the example with ``python examples/no_socket.py``.
"""

from kingcuppost.programs import make_world
from kingcuppost.systems import run_tick, systems_of
from kingcuppost.tables.config import Address, EntryConfig, LogConfig, ProcessConfig
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import (
    AppendAnswered,
    ProposalRequest,
    ReadAnswered,
    StoredRecord,
)
from kingcuppost.tables.outbox import AppendRecords, ReadLog, Reply
from kingcuppost.tables.record import Record, TeamPut
from kingcuppost.tables.team import Shape
from kingcuppost.tables.world import World
from kingcuppost.utils import ManualClock

UNUSED_ADDRESS = Address("127.0.0.1", 0)
CFG = ProcessConfig(
    role=Role.ENTRY,
    name="entry-0",
    availability_zone="vid-a",
    region="vidzeme",
    peers=UNUSED_ADDRESS,
    log=LogConfig("none", UNUSED_ADDRESS),
    entry=EntryConfig(callers=UNUSED_ADDRESS, operators=UNUSED_ADDRESS),
    seed=1,
)
TICK_COUNT = 12
TICK_MS = 10


def answer_message(world: World, log: list[Record], message: object) -> None:
    """Answer an outbox message as the log would."""
    if isinstance(message, AppendRecords):
        log.extend(message.records)
        ids = tuple(record.record_id for record in message.records)
        world.inbox.put(AppendAnswered(ids, ok=True))
    elif isinstance(message, ReadLog):
        new_records = enumerate(log[message.after :], message.after + 1)
        rows = tuple(StoredRecord(offset, record) for offset, record in new_records)
        head = len(log)
        world.inbox.put(ReadAnswered(message.read_id, True, rows, head, 1, head))
    elif isinstance(message, Reply):
        print(message.status, message.body)


def main() -> None:
    """Create a team and print it from the folded state."""
    clock = ManualClock(start_ms=1)
    world = make_world(CFG, clock)
    systems = systems_of(Role.ENTRY)
    log: list[Record] = []
    for tick in range(TICK_COUNT):
        if tick == TICK_COUNT // 2:
            body = TeamPut("design", (Shape(2, 4),), 0, base_offset=0)
            world.inbox.put(ProposalRequest("exchange-1", "ilze", body))
        run_tick(world, systems, clock.now_ms())
        for message in world.outbox.take_all():
            answer_message(world, log, message)
        clock.advance(TICK_MS)
    print(world.agreed.teams.get("design"))


if __name__ == "__main__":
    main()
