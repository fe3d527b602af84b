import pytest

from kingcuppost.systems.agreement import is_following, is_fresh, request_barrier
from kingcuppost.systems.agreement.tests.fake_log import FakeEntry, FakeLog
from kingcuppost.tables.inbox import ProposalRequest, ReadAnswered
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.record import ANY_OFFSET, JobSubmit, SettingPut, TeamPut
from kingcuppost.utils.clock import ManualClock

POLL_MS = 2_000
LATE_MS = 1_000
MAX_APPLY_DELAY_MS = 5_000


@pytest.fixture
def log() -> FakeLog:
    return FakeLog()


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(1_000_000)


@pytest.fixture
def entry(log: FakeLog, clock: ManualClock) -> FakeEntry:
    entry = FakeEntry("entry-0", log, clock)
    entry.settle()
    return entry


def test_long_poll_is_not_waited_for_when_a_barrier_is_requested(
    entry: FakeEntry, clock: ManualClock
) -> None:
    clock.advance(1_500)
    entry.tick()
    assert [row.wait_ms for row in entry.reads] == [POLL_MS]
    assert not is_fresh(entry.world, clock.now_ms())
    request_barrier(entry.world, clock.now_ms())
    entry.tick()
    assert [row.wait_ms for row in entry.reads] == [POLL_MS, 0]
    entry.answer_reads()
    assert is_fresh(entry.world, clock.now_ms())
    assert entry.world.log_view.barrier_ms < 0
    assert [row.wait_ms for row in entry.reads] == [POLL_MS]


def test_read_sent_before_the_barrier_does_not_satisfy_it(
    entry: FakeEntry, clock: ManualClock
) -> None:
    waiting = entry.reads.pop()
    clock.advance(1_500)
    request_barrier(entry.world, clock.now_ms())
    entry.tick(entry.log.read(waiting))
    assert entry.world.log_view.barrier_ms >= 0
    entry.answer_reads()
    assert entry.world.log_view.barrier_ms < 0


def test_unresponsive_read_is_hedged_on_a_new_connection_in_time(
    entry: FakeEntry, log: FakeLog, clock: ManualClock
) -> None:
    other = FakeEntry("entry-1", log, clock, 9)
    other.settle()
    entry.settle()
    entry.reads.clear()
    other.request_change("w", SettingPut("", "log.fresh_ms", 700, ANY_OFFSET))
    other.settle()
    accepted_ms = clock.now_ms()
    while entry.world.log_view.folded_offset < log.head:
        clock.advance(100)
        entry.tick()
        hedges = [row for row in entry.reads if row.hedge]
        if hedges:
            assert hedges[0].wait_ms == 0
            entry.tick(log.read(hedges[0]))
    assert clock.now_ms() - accepted_ms <= POLL_MS + LATE_MS < MAX_APPLY_DELAY_MS


def test_third_read_after_two_unresponsive_ones_is_sent_in_time(
    entry: FakeEntry, log: FakeLog, clock: ManualClock
) -> None:
    start_ms = clock.now_ms()
    sent: list[object] = list(entry.reads)
    while len(sent) < 3:
        clock.advance(100)
        entry.reads.clear()
        entry.tick()
        sent.extend(entry.reads)
    assert clock.now_ms() - start_ms <= POLL_MS + 2 * LATE_MS < MAX_APPLY_DELAY_MS


def test_unresponsive_read_does_not_cause_continuous_reads(
    entry: FakeEntry, log: FakeLog, clock: ManualClock
) -> None:
    entry.reads.clear()
    clock.advance(POLL_MS + LATE_MS)
    entry.tick()
    entry.answer_reads()
    assert [row.wait_ms for row in entry.reads] == [POLL_MS]
    for _ in range(5):
        entry.answer_reads()
    assert len(entry.reads) == 1


def test_pending_reads_are_bounded_in_an_outage(
    entry: FakeEntry, clock: ManualClock
) -> None:
    for _ in range(100):
        clock.advance(100)
        entry.tick()
    assert len(entry.world.log_view.reads) <= 4


def test_answers_out_of_order_fold_each_record_once(
    entry: FakeEntry, log: FakeLog, clock: ManualClock
) -> None:
    first = entry.reads.pop()
    clock.advance(POLL_MS + LATE_MS)
    entry.tick()
    second = entry.reads.pop()
    entry.request_change("w", TeamPut("design", (), 0, ANY_OFFSET))
    log.append(entry.appends.pop().records)
    older = log.read(first)
    entry.tick(log.read(second))
    folded = entry.world.log_view.folded_offset
    entry.tick(older)
    assert entry.world.log_view.folded_offset == folded == log.head
    assert entry.replies["w"].status == 200


def test_failed_reads_are_retried_after_a_delay(
    entry: FakeEntry, clock: ManualClock
) -> None:
    row = entry.reads.pop()
    entry.tick(ReadAnswered(row.read_id, False, reason="refused"))
    assert entry.reads == []
    clock.advance(200)
    entry.tick()
    assert len(entry.reads) == 1


def test_processes_reconnect_to_the_log_at_different_times(
    log: FakeLog, clock: ManualClock
) -> None:
    pauses = []
    for seed in range(20):
        entry = FakeEntry(f"entry-{seed}", log, clock, seed)
        for _ in range(6):
            entry.tick(*[ReadAnswered(row.read_id, False) for row in entry.reads])
            entry.reads.clear()
            pauses.append(entry.world.log_view.next_read_ms - clock.now_ms())
            clock.advance(2_000)
            entry.tick()
    assert max(pauses) <= 1_600
    assert len({pause for pause in pauses if pause > 800}) > 10


def test_process_without_a_fresh_view_places_nothing(
    entry: FakeEntry, log: FakeLog, clock: ManualClock
) -> None:
    entry.request_change("t", TeamPut("design", (), 0, ANY_OFFSET))
    entry.settle()
    job = JobSubmit("plan", "design", 1, 0, 1, 1, Urgency.INTERACTIVE, 0, "{}")
    entry.tick(ProposalRequest("j", "ilze", job))
    entry.answer_appends()
    waiting = [row for row in entry.reads if row.wait_ms][0]
    entry.reads.clear()
    clock.advance(1_500)
    entry.tick(log.read(waiting))
    kinds = {row.record.body.kind for row in entry.world.proposals}
    assert "gang_place" not in kinds
    assert entry.world.log_view.barrier_ms >= 0


def test_idle_process_always_counts_as_following(
    entry: FakeEntry, log: FakeLog, clock: ManualClock
) -> None:
    for _ in range(100):
        clock.advance(100)
        for row, read in zip(
            list(entry.reads), list(entry.world.log_view.reads.values()), strict=True
        ):
            if clock.now_ms() >= read.sent_ms + row.wait_ms:
                entry.reads.remove(row)
                entry.tick(log.read(row))
        assert is_following(entry.world, clock.now_ms())


def test_process_without_answers_does_not_count_as_following(
    entry: FakeEntry, clock: ManualClock
) -> None:
    clock.advance(POLL_MS + 1_600)
    entry.tick()
    assert not is_following(entry.world, clock.now_ms())
