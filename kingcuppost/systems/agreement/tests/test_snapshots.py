from dataclasses import fields

import pytest

from kingcuppost.models.log import decode_log_record, encode_log_record
from kingcuppost.systems.agreement import snapshot_search
from kingcuppost.systems.agreement.tests.fake_log import FakeEntry, FakeLog
from kingcuppost.systems.fold.snapshot_slices import TABLE_NAMES
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.outbox import ReadLog
from kingcuppost.tables.record import (
    ANY_OFFSET,
    JobSubmit,
    Record,
    SettingPut,
    TeamPut,
)
from kingcuppost.tables.snapshot import AgreedSlice
from kingcuppost.tables.table import Table
from kingcuppost.tables.world import Agreed
from kingcuppost.utils.clock import ManualClock

HOUR_MS = 3_600_000
LATE_MS = 1_000


@pytest.fixture
def log() -> FakeLog:
    return FakeLog()


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(1_000_000)


def rows_of(agreed: Agreed) -> dict[str, object]:
    tables = {name: list(getattr(agreed, name)) for name in TABLE_NAMES}
    return {**tables, "lease": agreed.lease, "floors": agreed.floors}


def start_entry(log: FakeLog, clock: ManualClock, name: str = "entry-0", seed: int = 1):
    entry = FakeEntry(name, log, clock, seed)
    entry.settle()
    return entry


def change_settings(entry: FakeEntry, count: int) -> None:
    for number in range(count):
        entry.request_change(
            f"x{number}", SettingPut("", "log.fresh_ms", 500, ANY_OFFSET)
        )
        entry.settle()


def snapshot_offsets(log: FakeLog) -> list[int]:
    kinds = log.kinds()
    return [log.first + i for i, kind in enumerate(kinds) if kind == "snapshot_part"]


def test_slices_hold_every_agreed_table() -> None:
    assert {item.name for item in fields(AgreedSlice)} == {
        item.name for item in fields(Agreed)
    }
    tables = {
        name for name, value in vars(Agreed()).items() if isinstance(value, Table)
    }
    assert set(TABLE_NAMES) == tables


def test_holder_writes_a_snapshot_when_records_or_time_have_passed(
    log: FakeLog, clock: ManualClock
) -> None:
    entry = start_entry(log, clock)
    entry.request_change("a", SettingPut("", "snapshot.records", 10, ANY_OFFSET))
    entry.settle()
    assert not snapshot_offsets(log)
    change_settings(entry, 10)
    assert snapshot_offsets(log)
    written = len(snapshot_offsets(log))
    clock.advance(HOUR_MS)
    entry.settle()
    assert len(snapshot_offsets(log)) > written


def test_idle_holder_renews_the_snapshot_before_it_expires(
    log: FakeLog, clock: ManualClock
) -> None:
    entry = start_entry(log, clock)
    for _ in range(3):
        clock.advance(HOUR_MS)
        entry.settle()
    assert len(snapshot_offsets(log)) == 3


def test_restart_of_the_holder_does_not_delay_the_next_snapshot(
    log: FakeLog, clock: ManualClock
) -> None:
    entry = start_entry(log, clock)
    clock.advance(HOUR_MS)
    entry.settle()
    log.expire(snapshot_offsets(log)[0] - 1)
    clock.advance(HOUR_MS // 2)
    restarted = start_entry(log, clock, seed=9)
    written = len(snapshot_offsets(log))
    clock.advance(HOUR_MS // 2)
    restarted.settle()
    assert len(snapshot_offsets(log)) > written


def test_only_the_holder_writes_snapshots(log: FakeLog, clock: ManualClock) -> None:
    start_entry(log, clock)
    other = start_entry(log, clock, "entry-1", 2)
    clock.advance(HOUR_MS)
    other.tick()
    other.answer_reads()
    assert not other.world.snapshot_progress.draft
    assert not other.world.snapshot_progress.pending


def test_new_process_loads_the_newest_complete_snapshot_and_later_records(
    log: FakeLog, clock: ManualClock
) -> None:
    entry = start_entry(log, clock)
    entry.request_change("t", TeamPut("design", (), 0, ANY_OFFSET))
    entry.settle()
    clock.advance(HOUR_MS)
    entry.settle()
    change_settings(entry, 3)
    log.expire(snapshot_offsets(log)[0] - 1)
    newcomer = FakeEntry("entry-1", log, clock, 3)
    newcomer.tick()
    for _ in range(6):
        newcomer.answer_reads()
    assert newcomer.world.log_view.caught_up
    assert newcomer.world.log_view.folded_offset == log.head
    assert rows_of(newcomer.world.agreed) == rows_of(entry.world.agreed)


def test_reader_at_an_expired_offset_serves_nothing_until_it_has_a_snapshot(
    log: FakeLog, clock: ManualClock
) -> None:
    entry = start_entry(log, clock)
    lagging = start_entry(log, clock, "entry-1", 3)
    entry.settle()
    change_settings(entry, 5)
    log.expire(log.head - 2)
    lagging.answer_reads()
    assert not lagging.world.log_view.caught_up
    lagging.request_change("w", SettingPut("", "log.fresh_ms", 700, ANY_OFFSET))
    assert lagging.replies["w"].status == 503
    lagging.answer_reads()
    assert lagging.world.log_view.folded_offset < log.first - 1
    clock.advance(HOUR_MS)
    entry.settle()
    for _ in range(20):
        clock.advance(1_000)
        lagging.tick()
        lagging.answer_reads()
    assert lagging.world.log_view.caught_up
    assert rows_of(lagging.world.agreed) == rows_of(entry.world.agreed)


def test_incomplete_snapshot_is_skipped(log: FakeLog, clock: ManualClock) -> None:
    entry = start_entry(log, clock)
    clock.advance(HOUR_MS)
    entry.settle()
    change_settings(entry, 2)
    complete = decode_log_record(log.texts[snapshot_offsets(log)[-1] - log.first])
    part = complete.body
    incomplete = type(part)(
        "snap-incomplete", log.head, 0, 2, AgreedSlice(lease=part.rows.lease)
    )
    log.append((Record("rec-incomplete", "entry-9", 0, incomplete),))
    entry.settle()
    log.expire(snapshot_offsets(log)[0] - 1)
    newcomer = FakeEntry("entry-1", log, clock, 3)
    newcomer.tick()
    for _ in range(6):
        newcomer.answer_reads()
    assert newcomer.world.log_view.caught_up
    assert rows_of(newcomer.world.agreed) == rows_of(entry.world.agreed)


def test_snapshot_whose_later_records_have_expired_is_not_used(
    log: FakeLog, clock: ManualClock
) -> None:
    entry = start_entry(log, clock)
    clock.advance(HOUR_MS)
    entry.settle()
    part = log.texts[snapshot_offsets(log)[-1] - log.first]
    change_settings(entry, 3)
    log.expire(log.head)
    log.texts.append(part)
    newcomer = FakeEntry("entry-1", log, clock, 3)
    newcomer.tick()
    for _ in range(6):
        newcomer.answer_reads()
    assert not newcomer.world.log_view.caught_up
    assert newcomer.world.log_view.folded_offset == 0


def test_large_snapshot_is_written_in_bounded_parts_and_appends(
    log: FakeLog, clock: ManualClock
) -> None:
    entry = start_entry(log, clock)
    teams = tuple(TeamPut(f"team-{i}", (), 0, ANY_OFFSET) for i in range(900))
    for number, body in enumerate(teams):
        entry.request_change(f"t{number}", body)
    entry.settle()
    clock.advance(HOUR_MS)
    entry.tick()
    sizes = []
    for _ in range(60):
        sizes.extend(len(row.records) for row in entry.appends)
        entry.answer_appends()
        entry.answer_reads()
    kinds = log.kinds()
    assert kinds.count("snapshot_part") >= 5
    assert max(sizes) <= 4
    assert entry.world.snapshot_progress.covered_offset > 900
    texts = [text for text in log.texts if '"snapshot_part"' in text]
    assert max(len(text) for text in texts) < 64_000


def put_team_before_the_first_part(holder: FakeEntry, log: FakeLog) -> int:
    """Append a record after a snapshot is drafted; return the offset it covers."""
    covers = holder.world.log_view.folded_offset
    holder.tick()
    log.append((Record("rec-design", "test", 0, TeamPut("design", (), 0, 0)),))
    holder.settle()
    assert holder.world.snapshot_progress.covered_offset == covers
    assert "design" in holder.world.agreed.teams
    return covers


def hedge_search_read(entry: FakeEntry) -> tuple[ReadLog, ReadLog]:
    """Begin a search and leave its first read unanswered until it is hedged."""
    entry.tick()
    entry.answer_reads()
    entry.clock.advance(LATE_MS)
    entry.tick()
    first, second = entry.reads
    entry.reads.clear()
    assert second.hedge
    return first, second


# Guards against records that are skipped for ever after a search for a snapshot.
# Two search reads are pending; the answer to the first loads a snapshot, and the
# answer to the second, which begins after the covered offset, is folded as usual.
def test_no_record_between_a_snapshot_and_the_search_window_is_skipped(
    log: FakeLog, clock: ManualClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    holder = start_entry(log, clock)
    clock.advance(HOUR_MS)
    covers = put_team_before_the_first_part(holder, log)
    log.expire(covers)
    window = log.head - covers - 1
    monkeypatch.setattr(snapshot_search, "SEARCH_WINDOW_RECORDS", window)
    newcomer = FakeEntry("entry-1", log, clock, 3)
    first, second = hedge_search_read(newcomer)
    assert first.after == second.after == covers + 1
    newcomer.tick(log.read(first))
    assert newcomer.world.log_view.folded_offset == covers
    newcomer.tick(log.read(second))
    for _ in range(6):
        newcomer.answer_reads()
    assert newcomer.world.log_view.caught_up
    assert newcomer.world.log_view.folded_offset == log.head
    assert rows_of(newcomer.world.agreed) == rows_of(holder.world.agreed)


def test_no_record_is_skipped_when_a_search_without_a_snapshot_has_ended(
    log: FakeLog, clock: ManualClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    for number in range(20):
        team = TeamPut(f"team-{number}", (), 0, 0)
        log.append((Record(f"rec-{number}", "test", 0, team),))
    monkeypatch.setattr(snapshot_search, "MAX_LAG_RECORDS", 5)
    monkeypatch.setattr(snapshot_search, "SEARCH_WINDOW_RECORDS", 12)
    newcomer = FakeEntry("entry-0", log, clock, 3)
    first, second = hedge_search_read(newcomer)
    clock.advance(LATE_MS)
    newcomer.tick()
    third = newcomer.reads.pop()
    assert first.after == second.after == third.after == 8
    for read in (first, second, third):
        newcomer.tick(log.read(read))
    for _ in range(6):
        newcomer.answer_reads()
    assert newcomer.world.log_view.folded_offset == log.head
    assert len(newcomer.world.agreed.teams) == 20


def test_proposer_gets_its_result_from_a_snapshot(
    log: FakeLog, clock: ManualClock
) -> None:
    entry = start_entry(log, clock)
    lagging = start_entry(log, clock, "entry-1", 3)
    lagging.request_change("w", TeamPut("design", (), 0, ANY_OFFSET))
    lagging.answer_appends(lost=True)
    entry.settle()
    clock.advance(HOUR_MS)
    entry.settle()
    log.expire(snapshot_offsets(log)[0] - 1)
    lagging.world.proposals.update(
        next(iter(lagging.world.proposals)).record_id, give_up_ms=0
    )
    for _ in range(6):
        lagging.answer_reads()
    assert lagging.replies["w"].status == 200


def test_snapshot_record_survives_encoding_and_decoding(
    log: FakeLog, clock: ManualClock
) -> None:
    entry = start_entry(log, clock)
    entry.request_change("t", TeamPut("design", (), 0, ANY_OFFSET))
    entry.settle()
    job = JobSubmit("plan", "design", 2, 4, 1, 1, Urgency.OVERNIGHT, 0, "{}")
    entry.request_change("j", job)
    entry.settle()
    clock.advance(HOUR_MS)
    entry.settle()
    record = decode_log_record(log.texts[snapshot_offsets(log)[-1] - log.first])
    assert decode_log_record(encode_log_record(record)) == record
