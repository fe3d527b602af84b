import pytest

from kingcuppost.models.log import decode_log_record
from kingcuppost.systems.agreement import is_scheduler
from kingcuppost.systems.agreement.tests.fake_log import FakeEntry, FakeLog
from kingcuppost.tables.inbox import HolderAnswered, HolderPingArrived
from kingcuppost.tables.record import LeaseClaim
from kingcuppost.utils.clock import ManualClock

LOST_MS = 3_000
MAX_LOST_MS = 4_500
STEP_MS = 250


@pytest.fixture
def log() -> FakeLog:
    return FakeLog()


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(1_000_000)


@pytest.fixture
def pair(log: FakeLog, clock: ManualClock) -> tuple[FakeEntry, FakeEntry]:
    holder = FakeEntry("entry-0", log, clock, 1)
    holder.settle()
    other = FakeEntry("entry-1", log, clock, 2)
    other.settle()
    holder.settle()
    assert is_scheduler(holder.world)
    return holder, other


def answer_pings(asker: FakeEntry, holder: FakeEntry) -> None:
    """Deliver the asker's pings to the holder, and its answers to the asker."""
    pings, asker.pings = asker.pings, []
    for row in pings:
        holder.tick(HolderPingArrived("ask", asker.name))
        body = holder.replies.pop("ask").body
        asker.tick(
            HolderAnswered(
                True, body.incarnation, row.sent_ms, follows_log=body.follows_log
            )
        )


def advance(entry: FakeEntry, clock: ManualClock, step_ms: int = STEP_MS) -> None:
    """Advance the clock by one step while an entry follows the log."""
    clock.advance(step_ms)
    entry.tick()
    entry.answer_appends()
    for row in list(entry.reads):
        entry.reads.remove(row)
        entry.tick(entry.log.read(row))


def test_holder_that_answers_and_follows_keeps_the_lease(pair, clock) -> None:
    holder, other = pair
    for _ in range(40):
        advance(other, clock)
        advance(holder, clock, 0)
        answer_pings(other, holder)
    assert is_scheduler(holder.world)


def test_unresponsive_holder_loses_the_lease_in_bounded_time(pair, clock) -> None:
    holder, other = pair
    start_ms = clock.now_ms()
    while not is_scheduler(other.world):
        advance(other, clock)
        assert clock.now_ms() - start_ms <= MAX_LOST_MS + 2 * STEP_MS
    assert clock.now_ms() - start_ms >= LOST_MS


def test_a_paused_process_does_not_take_its_pause_for_the_holders_silence(
    pair, clock
) -> None:
    holder, other = pair
    term = holder.world.agreed.lease.term
    for _ in range(3):
        clock.advance(MAX_LOST_MS)
        advance(other, clock)
        answer_pings(other, holder)
    for _ in range(40):
        advance(other, clock)
        advance(holder, clock, 0)
        answer_pings(other, holder)
    assert other.world.agreed.lease.term == term
    assert is_scheduler(holder.world)


def test_unresponsive_holder_loses_the_lease_to_a_process_that_was_paused(
    pair, clock
) -> None:
    holder, other = pair
    clock.advance(MAX_LOST_MS)
    start_ms = clock.now_ms()
    while not is_scheduler(other.world):
        advance(other, clock)
        assert clock.now_ms() - start_ms <= MAX_LOST_MS + 2 * STEP_MS


def test_holder_cut_off_from_the_log_loses_the_lease_though_it_answers(
    pair, clock
) -> None:
    holder, other = pair
    start_ms = clock.now_ms()
    while not is_scheduler(other.world):
        advance(other, clock)
        holder.tick()
        answer_pings(other, holder)
        assert clock.now_ms() - start_ms <= 3 * MAX_LOST_MS


def test_lease_is_kept_while_no_process_follows_the_log(pair, clock, log) -> None:
    holder, other = pair
    head = log.head
    for _ in range(80):
        clock.advance(STEP_MS)
        other.tick()
        holder.tick()
        answer_pings(other, holder)
    kinds = [row.record.body.kind for row in other.world.proposals]
    assert "lease_claim" not in kinds
    assert log.head == head


def test_concurrent_claims_open_one_term(log, clock) -> None:
    holder = FakeEntry("entry-0", log, clock, 1)
    holder.settle()
    claimants = [FakeEntry(f"entry-{i}", log, clock, i + 1) for i in (1, 2)]
    for claimant in claimants:
        claimant.settle()
    base_term = holder.world.agreed.lease.term
    for _ in range(24):
        clock.advance(STEP_MS)
        for claimant in claimants:
            claimant.tick()
    for claimant in claimants:
        claimant.answer_appends()
    for claimant in claimants:
        claimant.settle()
    records = [decode_log_record(text) for text in log.texts]
    claims = {row.record_id for row in records if row.body.kind == "lease_claim"}
    assert len(claims) == 3
    leases = [claimant.world.agreed.lease for claimant in claimants]
    assert leases[0] == leases[1]
    assert leases[0].term > base_term
    assert sum(is_scheduler(claimant.world) for claimant in claimants) == 1


def test_paused_holder_resumes_without_effect_in_its_old_term(pair, clock, log) -> None:
    holder, other = pair
    while not is_scheduler(other.world):
        advance(other, clock)
    term = other.world.agreed.lease.term
    assert is_scheduler(holder.world)
    holder.tick()
    holder.answer_appends()
    holder.settle()
    assert not is_scheduler(holder.world)
    assert holder.world.agreed.lease.term == term
    proposals = [row for row in holder.world.proposals]
    assert not [row for row in proposals if isinstance(row.record.body, LeaseClaim)]


def test_restarted_holder_is_replaced_without_waiting(pair, clock, log) -> None:
    holder, other = pair
    restarted = FakeEntry("entry-0", log, clock, 99)
    restarted.settle()
    other.settle()
    lease = other.world.agreed.lease
    assert lease.incarnation != holder.world.identity.incarnation
