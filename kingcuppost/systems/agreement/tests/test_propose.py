import pytest

from kingcuppost.systems.agreement.tests.fake_log import FakeEntry, FakeLog
from kingcuppost.systems.fold import load_slices, record_rules, slices_of
from kingcuppost.tables.agreement import ProposalState
from kingcuppost.tables.inbox import AppendAnswered, ProposalRequest
from kingcuppost.tables.record import ANY_OFFSET, SettingPut, TeamPut
from kingcuppost.utils.clock import ManualClock

FRESH = "log.fresh_ms"


def team(name: str) -> TeamPut:
    return TeamPut(name, (), 0, ANY_OFFSET)


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


def fail_appends(entry: FakeEntry, *, never_sent: bool) -> None:
    appends, entry.appends = entry.appends, []
    for row in appends:
        ids = tuple(record.record_id for record in row.records)
        entry.tick(AppendAnswered(ids, False, "refused", never_sent))


def outcome(entry: FakeEntry, exchange_id: str) -> tuple[int, str]:
    reply = entry.replies[exchange_id]
    return reply.status, str(reply.body.outcome)


def test_repeat_in_one_read_does_not_turn_accepted_into_rejected(
    entry: FakeEntry, log: FakeLog
) -> None:
    entry.request_change("w", team("design"))
    row = entry.appends[0]
    log.append(row.records)
    log.append(row.records)
    entry.answer_reads()
    assert entry.replies["w"].status == 200


def test_result_of_an_append_whose_answer_was_lost_is_read_from_the_log(
    entry: FakeEntry, log: FakeLog
) -> None:
    entry.request_change("w", team("design"))
    entry.answer_appends(lost=True)
    entry.answer_reads()
    assert entry.replies["w"].status == 200
    entry.settle()
    assert log.kinds().count("team_put") == 1


def test_not_run_is_answered_only_if_nothing_was_sent(
    entry: FakeEntry, log: FakeLog, clock: ManualClock
) -> None:
    entry.request_change("w", team("design"))
    for _ in range(60):
        fail_appends(entry, never_sent=True)
        clock.advance(200)
        entry.tick()
    assert outcome(entry, "w") == (503, "not_run")
    entry.settle()
    assert "team_put" not in log.kinds()


def test_unknown_is_answered_if_the_record_may_be_in_the_log(
    entry: FakeEntry, log: FakeLog, clock: ManualClock
) -> None:
    entry.request_change("w", team("design"))
    fail_appends(entry, never_sent=False)
    clock.advance(5_000)
    entry.tick()
    assert outcome(entry, "w") == (504, "unknown")
    assert "design" in entry.replies["w"].body.reason


def test_abandoned_record_is_not_sent_again_and_a_late_copy_takes_effect(
    entry: FakeEntry, log: FakeLog, clock: ManualClock
) -> None:
    entry.request_change("w", team("design"))
    delayed = entry.appends.pop(0)
    clock.advance(5_000)
    entry.tick()
    assert outcome(entry, "w") == (504, "unknown")
    sent = len(entry.appends)
    clock.advance(60_000)
    entry.tick()
    assert len(entry.appends) == sent
    log.append(delayed.records)
    entry.answer_reads()
    entry.settle()
    assert "design" in entry.world.agreed.teams


def test_retry_after_unknown_cannot_take_effect_twice(
    entry: FakeEntry, log: FakeLog, clock: ManualClock
) -> None:
    entry.request_change("w", SettingPut("", FRESH, 700, ANY_OFFSET))
    delayed = entry.appends.pop(0)
    clock.advance(5_000)
    entry.tick()
    entry.appends.clear()
    entry.request_change("again", SettingPut("", FRESH, 800, ANY_OFFSET))
    entry.answer_appends()
    log.append(delayed.records)
    entry.answer_reads()
    entry.settle()
    assert entry.replies["again"].status == 200
    row = entry.world.agreed.settings.get(f":{FRESH}")
    assert row.value == 800


def test_change_beyond_the_queue_limit_is_refused_as_not_run(
    entry: FakeEntry, log: FakeLog
) -> None:
    entry.request_change("limit", SettingPut("", "log.queue_limit", 5, ANY_OFFSET))
    entry.settle()
    for number in range(8):
        entry.request_change(f"w{number}", team(f"team-{number}"))
    refused = [key for key, reply in entry.replies.items() if reply.status == 503]
    assert refused == ["w5", "w6", "w7"]
    entry.settle()
    assert [entry.replies[f"w{i}"].status for i in range(5)] == [200] * 5


def test_records_are_grouped_and_a_slow_log_gets_several_appends(
    entry: FakeEntry, clock: ManualClock
) -> None:
    for number in range(10):
        entry.request_change(f"w{number}", team(f"team-{number}"))
    assert [len(row.records) for row in entry.appends] == [1]
    clock.advance(200)
    entry.tick()
    assert [len(row.records) for row in entry.appends] == [1, 9]
    entry.request_change("later", team("later"))
    clock.advance(200)
    entry.tick()
    assert [len(row.records) for row in entry.appends] == [1, 9, 1]


def test_log_slow_by_seconds_still_accepts_every_change(
    entry: FakeEntry, log: FakeLog, clock: ManualClock
) -> None:
    delay_ms, step_ms = 3_000, 100
    sent: list[tuple[int, object]] = []
    seen: set[int] = set()
    for number in range(150):
        if number < 20:
            entry.request_change(f"w{number}", team(f"team-{number}"))
        now_ms = clock.now_ms()
        for row in entry.appends:
            log.append(row.records)
            ids = tuple(record.record_id for record in row.records)
            sent.append((now_ms + delay_ms, AppendAnswered(ids, True)))
        entry.appends.clear()
        for row in list(entry.reads):
            if not row.wait_ms or row.after < log.head:
                entry.reads.remove(row)
                sent.append((now_ms + delay_ms, log.read(row)))
        due = [message for at_ms, message in sent if at_ms <= now_ms]
        sent = [item for item in sent if item[0] > now_ms]
        seen.add(entry.world.log_view.folded_offset)
        clock.advance(step_ms)
        entry.tick(*due)
    statuses = [entry.replies[f"w{i}"].status for i in range(20)]
    assert statuses == [200] * 20
    assert log.kinds().count("team_put") <= 3 * 20
    assert sorted(seen) == list(sorted(seen))


def test_unanswered_append_is_sent_again_on_a_new_connection(
    entry: FakeEntry, log: FakeLog, clock: ManualClock
) -> None:
    entry.request_change("w", team("design"))
    assert [row.hedge for row in entry.appends] == [False]
    first = entry.appends.pop(0)
    clock.advance(1_000)
    entry.tick()
    assert [row.hedge for row in entry.appends] == [True]
    assert entry.appends[0].records == first.records
    entry.settle()
    assert entry.replies["w"].status == 200


def test_confirmed_record_is_not_sent_again_before_a_later_read(
    entry: FakeEntry, log: FakeLog, clock: ManualClock
) -> None:
    entry.request_change("w", team("design"))
    entry.answer_appends()
    for _ in range(10):
        clock.advance(500)
        entry.world.proposals.update(
            next(iter(entry.world.proposals)).record_id, give_up_ms=0
        )
        entry.tick()
    assert entry.appends == []
    states = [row.state for row in entry.world.proposals]
    assert states == [ProposalState.APPENDED]


def test_before_the_first_read_a_change_is_refused_as_not_run(
    log: FakeLog, clock: ManualClock
) -> None:
    entry = FakeEntry("entry-0", log, clock)
    entry.tick(ProposalRequest("w", "ilze", team("design")))
    assert outcome(entry, "w") == (503, "not_run")


def test_change_that_may_be_a_repeat_is_answered_unknown(
    entry: FakeEntry, log: FakeLog, clock: ManualClock, monkeypatch
) -> None:
    monkeypatch.setattr(record_rules, "MAX_RECENT_RECORDS", 4)
    other = FakeEntry("entry-1", log, clock, 9)
    other.settle()
    entry.settle()
    entry.request_change("w", team("design"))
    entry.answer_appends(lost=True)
    entry.reads.clear()
    for number in range(6):
        other.request_change(f"x{number}", team(f"team-{number}"))
        other.settle()
    load_slices(entry.world.agreed, slices_of(other.world.agreed))
    entry.world.log_view.folded_offset = log.head
    entry.tick()
    clock.advance(1_000)
    entry.tick()
    entry.settle()
    assert outcome(entry, "w") == (504, "unknown")
    assert "design" in entry.world.agreed.teams
