"""Outcomes told to callers are true, whatever gets lost on the way."""

import pytest

from kingcuppost.systems.requests.tests.driver import Driver
from kingcuppost.tables.inbox import AttemptDone, ExchangeLost
from kingcuppost.tables.outbox import SendAttempt
from kingcuppost.tables.request import Outcome

SETTLE_MS = 500


def started(run_ms: dict[str, int], **options) -> Driver:
    driver = Driver(run_ms, **options)
    driver.advance(SETTLE_MS)
    return driver


def test_request_is_answered_with_its_own_answer() -> None:
    driver = started({"m-0": 20, "m-1": 20})
    calls = {f"body {n}": driver.ask("entry-0", f"body {n}") for n in range(20)}
    driver.advance(1_000)
    for body, call in calls.items():
        assert driver.answers[call].outcome is Outcome.ANSWERED
        assert driver.answers[call].answer.endswith(body)


def test_silent_connection_delays_and_does_not_run_twice() -> None:
    driver = started({"m-0": 20})
    call = driver.ask("entry-0", "quote")
    driver.lose_answers.add("m-0")
    driver.advance(500)
    assert driver.runs["quote"] == 1
    driver.lose_answers.clear()
    driver.advance(700)
    assert driver.outcome(call) is Outcome.ANSWERED
    assert driver.runs["quote"] == 1


def test_long_request_keeps_its_one_attempt() -> None:
    driver = started({"m-0": 6_000, "m-1": 6_000})
    call = driver.ask("entry-0", "study")
    driver.advance(9_900)
    assert driver.outcome(call) is Outcome.ANSWERED
    assert driver.answers[call].attempts == 1
    assert driver.runs["study"] == 1


def test_deadline_with_an_attempt_under_way_is_unknown() -> None:
    driver = started({"m-0": 5_000})
    call = driver.ask("entry-0", "slow", timeout_ms=1_000)
    driver.advance(1_100)
    assert driver.outcome(call) is Outcome.UNKNOWN


def test_deadline_with_none_sent_is_not_run() -> None:
    driver = started({"m-0": 20})
    driver.worlds.pop("m-0")
    driver.cut.add("m-0")
    call = driver.ask("entry-0", "quote", timeout_ms=1_000)
    driver.advance(1_100)
    assert driver.outcome(call) is Outcome.NOT_RUN
    assert driver.runs["quote"] == 0


def test_late_attempt_is_dropped_before_it_takes_a_slot() -> None:
    driver = started({"m-0": 2_000}, entries=2, slots=1)
    driver.ask("entry-0", "first")
    driver.advance(50)
    call = driver.ask("entry-1", "second", timeout_ms=500)
    driver.advance(600)
    assert driver.outcome(call) is Outcome.NOT_RUN
    driver.advance(5_000)
    assert driver.runs["second"] == 0


def test_not_run_after_an_unknown_attempt_is_unknown() -> None:
    driver = started({"m-0": 20})
    driver.lose_answers.add("m-0")
    call = driver.ask("entry-0", "quote", timeout_ms=5_000)
    driver.advance(300)
    driver.worlds.pop("m-0")
    driver.advance(5_000)
    assert driver.runs["quote"] == 1
    assert driver.outcome(call) is Outcome.UNKNOWN


def test_refused_repeat_does_not_prove_that_nothing_ran() -> None:
    driver = started({"m-0": 20, "m-1": 20})
    driver.lose_answers.update({"m-0", "m-1"})
    call = driver.ask("entry-0", "quote", timeout_ms=3_000)
    driver.advance(300)
    driver.cut.update({"m-0", "m-1"})
    driver.advance(3_000)
    assert driver.runs["quote"] >= 1
    assert driver.outcome(call) is Outcome.UNKNOWN


def test_late_and_crossed_answers_are_dropped() -> None:
    driver = started({"m-0": 20})
    call = driver.ask("entry-0", "quote")
    driver.advance(100)
    first = driver.answers[call]
    attempt = next(item for item in driver.sent if isinstance(item, SendAttempt))
    late = AttemptDone(attempt.attempt_id, "m-0", "x", Outcome.ANSWERED, "other", 8)
    driver.worlds["entry-0"].inbox.put(late)
    driver.advance(100)
    assert driver.answers[call] is first


def test_restarted_sidecar_does_not_speak_for_its_former_self() -> None:
    driver = started({"m-0": 1_000})
    call = driver.ask("entry-0", "charge", key="k", timeout_ms=5_000)
    driver.advance(200)
    assert driver.runs["charge"] == 1
    driver.start("m-0")
    driver.advance(5_000)
    assert driver.outcome(call) is Outcome.UNKNOWN
    assert driver.runs["charge"] == 1


@pytest.mark.parametrize("name", ["entry-0", "m-0"])
def test_lost_exchange_leaves_nothing_behind(name: str) -> None:
    driver = started({"m-0": 20})
    driver.worlds[name].inbox.put(ExchangeLost("exc-gone"))
    driver.advance(10)
    assert len(driver.worlds[name].inbox) == 0


def test_idempotent_request_moves_to_another_minion() -> None:
    driver = started({"m-0": 20, "m-1": 20})
    driver.cut.add("m-0")
    calls = [driver.ask("entry-0", f"q{n}") for n in range(10)]
    driver.advance(2_000)
    assert {driver.outcome(call) for call in calls} == {Outcome.ANSWERED}
