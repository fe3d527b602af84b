"""A fake log in place of the edge to the log, and entries that follow it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from kingcuppost import systems as all_systems
from kingcuppost.models.log import decode_log_record, encode_log_record
from kingcuppost.programs import make_world
from kingcuppost.systems.registry import run_tick
from kingcuppost.tables.config import Address, EntryConfig, LogConfig, ProcessConfig
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import (
    AppendAnswered,
    ProposalRequest,
    ReadAnswered,
    StoredRecord,
)
from kingcuppost.tables.outbox import AppendRecords, AskHolder, ReadLog, Reply
from kingcuppost.tables.record import Record, RecordBody
from kingcuppost.utils.clock import ManualClock

MAX_RECORDS_PER_READ = 500
LOCALHOST = Address("127.0.0.1", 1)


@dataclass
class FakeLog:
    """Encoded records by offset, starting at offset `first`."""

    texts: list[str] = field(default_factory=list)
    first: int = 1

    @property
    def head(self) -> int:
        return self.first + len(self.texts) - 1

    def append(self, records: tuple[Record, ...]) -> None:
        self.texts.extend(encode_log_record(record) for record in records)

    def expire(self, through: int) -> None:
        drop = max(0, min(through, self.head) - self.first + 1)
        del self.texts[:drop]
        self.first += drop

    def read(self, read: ReadLog, limit: int = MAX_RECORDS_PER_READ) -> ReadAnswered:
        start = max(read.after + 1, self.first)
        texts = self.texts[start - self.first :][:limit]
        records = []
        for index, text in enumerate(texts):
            records.append(StoredRecord(start + index, decode_log_record(text)))
        end_offset = records[-1].offset if records else 0
        return ReadAnswered(
            read.read_id, True, tuple(records), self.head, self.first, end_offset
        )

    def kinds(self) -> list[str]:
        return [decode_log_record(text).body.kind for text in self.texts]


@dataclass
class FakeEntry:
    """An entry without edges: the test handles its messages."""

    name: str
    log: FakeLog
    clock: ManualClock
    seed: int = 7

    def __post_init__(self) -> None:
        cfg = ProcessConfig(
            Role.ENTRY,
            self.name,
            "vid-a",
            "vidzeme",
            LOCALHOST,
            LogConfig("http", LOCALHOST),
            EntryConfig(LOCALHOST, LOCALHOST),
            seed=self.seed,
        )
        self.world = make_world(cfg, self.clock)
        self.systems = all_systems.systems_of(Role.ENTRY)
        self.reads: list[ReadLog] = []
        self.appends: list[AppendRecords] = []
        self.replies: dict[str, Reply] = {}
        self.pings: list[AskHolder] = []

    def tick(self, *messages: Any) -> None:
        for message in messages:
            self.world.inbox.put(message)
        run_tick(self.world, self.systems, self.clock.now_ms())
        for message in self.world.outbox.take_all():
            self._collect(message)

    def _collect(self, message: Any) -> None:
        if isinstance(message, ReadLog):
            self.reads.append(message)
        elif isinstance(message, AppendRecords):
            self.appends.append(message)
        elif isinstance(message, Reply):
            self.replies[message.exchange_id] = message
        elif isinstance(message, AskHolder):
            self.pings.append(message)

    def answer_reads(self) -> None:
        """Answer all reads that have records to return or do not wait."""
        reads, self.reads = self.reads, []
        for read in reads:
            if read.wait_ms and read.after >= self.log.head:
                self.reads.append(read)
            else:
                self.world.inbox.put(self.log.read(read))
        self.tick()

    def answer_appends(self, *, lost: bool = False) -> None:
        """Apply all appends; if `lost`, report them as timed out."""
        appends, self.appends = self.appends, []
        for append in appends:
            self.log.append(append.records)
            ids = tuple(record.record_id for record in append.records)
            reason = "timeout" if lost else ""
            self.world.inbox.put(AppendAnswered(ids, not lost, reason))
        self.tick()

    def answer_appends_with(
        self, append_records: Callable[[tuple[Record, ...]], None]
    ) -> None:
        """Apply all appends through a function of the test, and confirm them."""
        appends, self.appends = self.appends, []
        for append in appends:
            append_records(append.records)
            ids = tuple(record.record_id for record in append.records)
            self.world.inbox.put(AppendAnswered(ids, True))
        self.tick()

    def settle(self, rounds: int = 200) -> None:
        """Exchange messages with the log until there are none left."""
        for _ in range(rounds):
            self.tick()
            self.answer_appends()
            self.answer_reads()
            waiting = all(read.wait_ms for read in self.reads)
            at_head = self.world.log_view.folded_offset == self.log.head
            if waiting and at_head and not self.appends and not self.world.proposals:
                return
            if not self.reads and self.world.log_view.reads:
                self.clock.advance(50)
        raise AssertionError("the entry does not settle")

    def request_change(self, exchange_id: str, body: RecordBody) -> None:
        self.tick(ProposalRequest(exchange_id, "ilze", body))
