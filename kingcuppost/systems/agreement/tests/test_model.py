"""Model-based test: entries on one log against a fold of its whole history."""

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from kingcuppost.models.log import decode_log_record, encode_log_record
from kingcuppost.systems.agreement import snapshot_search
from kingcuppost.systems.agreement.tests.fake_log import FakeEntry, FakeLog
from kingcuppost.systems.fold import (
    FoldInput,
    apply_record,
    jobs,
    keys,
    record_rules,
    snapshot_slices,
)
from kingcuppost.tables.inbox import AppendAnswered
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.record import (
    ANY_OFFSET,
    JobCancel,
    JobPark,
    JobSubmit,
    KeyClaimPut,
    Record,
    SettingPut,
    SnapshotPart,
    TeamPut,
    ZonePut,
)
from kingcuppost.tables.request import Outcome
from kingcuppost.tables.world import Agreed
from kingcuppost.utils.clock import ManualClock

ENTRIES = 3
SNAPSHOT_RECORDS = 10
HISTORY_START = 1


def digest(agreed: Agreed) -> str:
    tables = {name: list(getattr(agreed, name)) for name in snapshot_slices.TABLE_NAMES}
    return repr((tables, agreed.lease, agreed.floors))


@dataclass
class Reference:
    """Reference model: a fold of all records that were ever in the log."""

    agreed: Agreed = field(default_factory=Agreed)
    offset: int = 0
    digests: dict[int, str] = field(default_factory=dict)
    accepted: dict[str, int] = field(default_factory=dict)
    holders: dict[int, str] = field(default_factory=dict)
    parts: dict[str, set[int]] = field(default_factory=dict)
    covers: int = 0

    def __post_init__(self) -> None:
        self.digests[0] = digest(self.agreed)

    def fold(self, record: Record) -> None:
        self.offset += 1
        if isinstance(record.body, SnapshotPart):
            self._record_part(record.body)
        else:
            self._apply(record)
        self.digests[self.offset] = digest(self.agreed)

    def _record_part(self, part: SnapshotPart) -> None:
        seen = self.parts.setdefault(part.snapshot_id, set())
        seen.add(part.index)
        if len(seen) == part.count:
            self.covers = max(self.covers, part.covers)

    def _apply(self, record: Record) -> None:
        before = scheduling_digest(self.agreed)
        term = getattr(record.body, "term", self.agreed.lease.term)
        old_term = term != self.agreed.lease.term
        rejection = apply_record(self.agreed, FoldInput(self.offset, record))
        if old_term:
            assert rejection is not None
            assert scheduling_digest(self.agreed) == before
        if rejection is None:
            assert record.record_id not in self.accepted
            self.accepted[record.record_id] = self.offset
        lease = self.agreed.lease
        holder = self.holders.setdefault(lease.term, lease.incarnation)
        assert holder == lease.incarnation


def scheduling_digest(agreed: Agreed) -> str:
    return repr((list(agreed.jobs), list(agreed.gangs), agreed.lease))


class LogMachine(RuleBasedStateMachine):
    """Interleave changes, lost and repeated appends, terms, snapshots and restarts.

    Records that a snapshot covers may expire at any time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(snapshot_slices, "SLICE_WEIGHT", 4)
        self.patch.setattr(record_rules, "MAX_RECENT_RECORDS", 12)
        self.patch.setattr(snapshot_search, "MAX_LAG_RECORDS", 15)
        self.patch.setattr(snapshot_search, "SEARCH_WINDOW_RECORDS", 6)
        self.patch.setattr(jobs, "MAX_ENDED_JOBS", 2)
        self.patch.setattr(keys, "MAX_KEY_CLAIMS", 2)
        self.log = FakeLog()
        self.clock = ManualClock(1_000_000)
        self.reference = Reference()
        self.rng = random.Random(5)
        self.seed = 0
        self.request_count = 0
        self.delayed: list[tuple[Record, ...]] = []
        self.settings: dict[str, int] = {}
        self.records: dict[str, str] = {}
        self.entries = [self._new_entry(number) for number in range(ENTRIES)]
        self.folded = [0] * ENTRIES
        body = SettingPut("", "snapshot.records", SNAPSHOT_RECORDS, 0)
        self._append((Record("rec-first", "test", 0, body),))
        for entry in self.entries:
            entry.tick()
            entry.answer_reads()

    def _new_entry(self, number: int) -> FakeEntry:
        self.seed += 1
        entry = FakeEntry(f"entry-{number}", self.log, self.clock, self.seed)
        entry.tick()
        return entry

    def _append(self, records: tuple[Record, ...]) -> None:
        self.log.append(records)
        for record in records:
            self.reference.fold(decode_log_record(encode_log_record(record)))

    def _request_change(self, number: int, body: object) -> None:
        self.request_count += 1
        exchange_id = f"request-{self.request_count}"
        entry = self.entries[number]
        entry.request_change(exchange_id, body)
        for row in entry.world.proposals:
            if row.exchange_id == exchange_id:
                self.records[exchange_id] = row.record_id

    numbers = st.integers(0, ENTRIES - 1)

    @rule(number=numbers, value=st.integers(100, 1_900))
    def set_setting(self, number: int, value: int) -> None:
        self._request_change(number, SettingPut("", "log.fresh_ms", value, ANY_OFFSET))

    @rule(number=numbers, name=st.sampled_from("ab"))
    def put_team(self, number: int, name: str) -> None:
        self._request_change(number, TeamPut(name, (), 0, ANY_OFFSET))

    @rule(number=numbers, in_service=st.booleans())
    def put_zone(self, number: int, in_service: bool) -> None:
        self._request_change(
            number, ZonePut("vid-a", "vidzeme", in_service, ANY_OFFSET)
        )

    @rule(number=numbers, name=st.sampled_from("pqrs"))
    def submit(self, number: int, name: str) -> None:
        body = JobSubmit(name, "a", 1, 0, 1, 1, Urgency.OVERNIGHT, 0, "{}")
        self._request_change(number, body)

    @rule(number=numbers, name=st.sampled_from("pqrs"))
    def cancel(self, number: int, name: str) -> None:
        self._request_change(number, JobCancel(name, "test"))

    @rule(number=numbers, key=st.sampled_from("klm"), issued=st.integers(0, 9))
    def claim_key(self, number: int, key: str, issued: int) -> None:
        self._request_change(
            number, KeyClaimPut(key, f"att-{self.request_count}", "m", "i", issued)
        )

    @rule(back=st.integers(0, 2), name=st.sampled_from("pqrs"))
    def write_record_of_a_recent_term(self, back: int, name: str) -> None:
        terms = sorted(self.reference.holders)[-3:]
        term = terms[max(0, len(terms) - 1 - back)]
        self.request_count += 1
        body = JobPark(term, name, True, "test")
        seen = self.reference.offset
        self._append((Record(f"park-{self.request_count}", "test", 0, body, seen),))

    @rule(
        number=numbers,
        delivery=st.sampled_from(["ok", "ok", "lost", "dropped", "later"]),
    )
    def answer_append(self, number: int, delivery: str) -> None:
        entry = self.entries[number]
        if not entry.appends:
            return
        row = entry.appends.pop(0)
        ids = tuple(record.record_id for record in row.records)
        if delivery in ("ok", "lost"):
            self._append(row.records)
        if delivery == "later":
            self.delayed.append(row.records)
        else:
            entry.tick(AppendAnswered(ids, delivery == "ok", delivery))

    @rule(again=st.booleans())
    def deliver_delayed(self, again: bool) -> None:
        if self.delayed:
            records = self.delayed[0] if again else self.delayed.pop(0)
            self._append(records)

    @rule(number=numbers, newest=st.booleans())
    def answer_read(self, number: int, newest: bool) -> None:
        entry = self.entries[number]
        if entry.reads:
            row = entry.reads.pop(-1 if newest else 0)
            entry.tick(self.log.read(row, limit=7))

    @rule(number=numbers)
    def follow(self, number: int) -> None:
        for _ in range(4):
            self.entries[number].answer_appends_with(self._append)
            self.entries[number].answer_reads()

    @rule(by_ms=st.sampled_from([50, 250, 1_200, 4_000]))
    def advance(self, by_ms: int) -> None:
        self.clock.advance(by_ms)
        for entry in self.entries:
            entry.tick()

    @rule(number=numbers)
    def restart(self, number: int) -> None:
        self.delayed.extend(row.records for row in self.entries[number].appends)
        self.entries[number] = self._new_entry(number)
        self.folded[number] = 0

    @rule()
    def expire_covered_records(self) -> None:
        self.log.expire(self.reference.covers)

    @invariant()
    def folds_at_one_offset_are_equal(self) -> None:
        for entry in self.entries:
            offset = entry.world.log_view.folded_offset
            assert digest(entry.world.agreed) == self.reference.digests[offset]

    @invariant()
    def offsets_are_monotone(self) -> None:
        for number, entry in enumerate(self.entries):
            offset = entry.world.log_view.folded_offset
            assert offset >= self.folded[number]
            self.folded[number] = offset

    @invariant()
    def settings_never_regress(self) -> None:
        for row in self.reference.agreed.settings:
            assert row.offset >= self.settings.get(row.setting_id, 0)
            self.settings[row.setting_id] = row.offset
        assert set(self.settings) == {
            row.setting_id for row in self.reference.agreed.settings
        }

    @invariant()
    def answers_match_the_log(self) -> None:
        for entry in self.entries:
            for exchange_id, reply in entry.replies.items():
                record_id = self.records.get(exchange_id)
                offset = self.reference.accepted.get(record_id)
                if reply.status == 200:
                    assert offset == reply.body.offset
                elif reply.body.outcome is Outcome.NOT_RUN:
                    assert offset is None

    def teardown(self) -> None:
        self.patch.undo()


TestLog = LogMachine.TestCase
TestLog.settings = settings(
    max_examples=60,
    stateful_step_count=80,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
