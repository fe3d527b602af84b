"""Queues are fair, bounded, and cost the same at any length."""

from kingcuppost.systems.requests.tests.driver import Driver
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.outbox import SendAttempt
from kingcuppost.tables.record import MemberLeave, SettingPut, ZonePut
from kingcuppost.tables.request import Outcome

SETTLE_MS = 500
SLOTS = 8


def started(run_ms: dict[str, int], **options) -> Driver:
    driver = Driver(run_ms, **options)
    driver.advance(SETTLE_MS)
    return driver


def test_burst_of_one_team_does_not_block_another() -> None:
    driver = started({"m-0": 100}, entries=1)
    for number in range(150):
        driver.ask("entry-0", f"burst {number}")
    driver.advance(5)
    call = driver.ask("entry-0", "counter", team="shop")
    asked_ms = driver.clock.now_ms()
    driver.advance(3_000)
    assert driver.outcome(call) is Outcome.ANSWERED
    assert driver.answered_ms[call] - asked_ms < 400


def test_interactive_passes_overnight() -> None:
    driver = started({"m-0": 100}, entries=1)
    for number in range(100):
        driver.ask("entry-0", f"batch {number}", urgency=Urgency.OVERNIGHT)
    driver.advance(5)
    call = driver.ask("entry-0", "counter")
    asked_ms = driver.clock.now_ms()
    driver.advance(3_000)
    assert driver.answered_ms[call] - asked_ms < 400


def test_requests_beyond_the_limit_are_refused_with_the_time_to_retry() -> None:
    driver = started({"m-0": 1_000}, entries=1)
    calls = [driver.ask("entry-0", f"q{number}") for number in range(201)]
    driver.advance(5)
    refused = [driver.answers[call] for call in calls if call in driver.answers]
    assert [reply.outcome for reply in refused] == [Outcome.NOT_RUN]
    assert "retry after" in refused[0].reason


def test_retries_stay_within_the_budget_of_the_team() -> None:
    driver = started({"m-0": 20, "m-1": 20}, entries=1)
    driver.propose(SettingPut("", "request.retry_burst", 2.0, 0))
    driver.propose(SettingPut("", "request.retry_share", 0.0, 0))
    driver.advance(SETTLE_MS)
    for name in ("m-0", "m-1"):
        driver.worlds[name].stopping = True
    calls = [driver.ask("entry-0", f"q{number}") for number in range(10)]
    driver.advance(2_000)
    driver.advance(9_000)
    sent = sum(isinstance(item, SendAttempt) for item in driver.sent)
    assert sent <= len(calls) + 2
    assert {driver.outcome(call) for call in calls} == {Outcome.NOT_RUN}


def test_slots_hold_with_several_entries() -> None:
    driver = started({"m-0": 50, "m-1": 50}, entries=3)
    for number in range(300):
        driver.ask(f"entry-{number % 3}", f"q{number}")
    driver.advance(9_000)
    assert max(driver.most_running.values()) <= SLOTS
    assert sum(driver.runs.values()) == 300


def test_zone_taken_out_and_minion_that_left_get_nothing() -> None:
    driver = started({"m-0": 20})
    leave = MemberLeave("m-0", driver.worlds["m-0"].identity.incarnation)
    driver.propose(ZonePut("vid-a", "vidzeme", False, 1))
    driver.advance(100)
    call = driver.ask("entry-0", "quote", timeout_ms=300)
    driver.advance(400)
    assert driver.outcome(call) is Outcome.NOT_RUN
    out = driver.worlds["entry-0"].agreed.availability_zones.get("vid-a").offset
    driver.propose(ZonePut("vid-a", "vidzeme", True, out))
    driver.advance(100)
    call = driver.ask("entry-0", "quote")
    driver.advance(200)
    assert driver.outcome(call) is Outcome.ANSWERED
    driver.propose(leave)
    driver.advance(100)
    call = driver.ask("entry-0", "late", timeout_ms=300)
    driver.advance(400)
    assert driver.outcome(call) is Outcome.NOT_RUN
    assert driver.runs["late"] == 0


def test_minion_that_fails_is_paused_and_tried_again() -> None:
    driver = started({"m-0": 20})
    driver.cut.add("m-0")
    for number in range(6):
        driver.ask("entry-0", f"q{number}", timeout_ms=200)
        driver.advance(100)
    assert len(driver.worlds["entry-0"].pools.pool("planner")) == 0
    driver.cut.clear()
    call = driver.ask("entry-0", "quote")
    driver.advance(6_000)
    assert driver.outcome(call) is Outcome.ANSWERED
