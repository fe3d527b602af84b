"""Outcomes reported to callers are true, whichever messages are lost."""

import pytest

from kingcuppost.systems.requests.tests.simulation import Simulation
from kingcuppost.tables.inbox import AttemptAnswered, ExchangeLost
from kingcuppost.tables.outbox import SendAttempt
from kingcuppost.tables.request import Outcome

SETTLE_MS = 500


def start_simulation(run_ms: dict[str, int], **options) -> Simulation:
    simulation = Simulation(run_ms, **options)
    simulation.advance(SETTLE_MS)
    return simulation


def test_request_is_answered_with_its_own_answer() -> None:
    simulation = start_simulation({"m-0": 20, "m-1": 20})
    calls = {
        f"body {n}": simulation.send_request("entry-0", f"body {n}") for n in range(20)
    }
    simulation.advance(1_000)
    for body, call in calls.items():
        assert simulation.answers[call].outcome is Outcome.ANSWERED
        assert simulation.answers[call].answer.endswith(body)


def test_unresponsive_connection_delays_but_does_not_run_twice() -> None:
    simulation = start_simulation({"m-0": 20})
    call = simulation.send_request("entry-0", "quote")
    simulation.lose_answers.add("m-0")
    simulation.advance(500)
    assert simulation.runs["quote"] == 1
    simulation.lose_answers.clear()
    simulation.advance(700)
    assert simulation.outcome(call) is Outcome.ANSWERED
    assert simulation.runs["quote"] == 1


def test_long_request_has_a_single_attempt() -> None:
    simulation = start_simulation({"m-0": 6_000, "m-1": 6_000})
    call = simulation.send_request("entry-0", "study")
    simulation.advance(9_900)
    assert simulation.outcome(call) is Outcome.ANSWERED
    assert simulation.answers[call].attempts == 1
    assert simulation.runs["study"] == 1


def test_expiry_with_an_open_attempt_is_unknown() -> None:
    simulation = start_simulation({"m-0": 5_000})
    call = simulation.send_request("entry-0", "slow", timeout_ms=1_000)
    simulation.advance(1_100)
    assert simulation.outcome(call) is Outcome.UNKNOWN


def test_expiry_with_no_attempt_sent_is_not_run() -> None:
    simulation = start_simulation({"m-0": 20})
    simulation.worlds.pop("m-0")
    simulation.unreachable.add("m-0")
    call = simulation.send_request("entry-0", "quote", timeout_ms=1_000)
    simulation.advance(1_100)
    assert simulation.outcome(call) is Outcome.NOT_RUN
    assert simulation.runs["quote"] == 0


def test_expired_attempt_is_dropped_before_it_gets_a_slot() -> None:
    simulation = start_simulation({"m-0": 2_000}, entries=2, slots=1)
    simulation.send_request("entry-0", "first")
    simulation.advance(50)
    call = simulation.send_request("entry-1", "second", timeout_ms=500)
    simulation.advance(600)
    assert simulation.outcome(call) is Outcome.NOT_RUN
    simulation.advance(5_000)
    assert simulation.runs["second"] == 0


def test_not_run_after_an_unknown_attempt_is_unknown() -> None:
    simulation = start_simulation({"m-0": 20})
    simulation.lose_answers.add("m-0")
    call = simulation.send_request("entry-0", "quote", timeout_ms=5_000)
    simulation.advance(300)
    simulation.worlds.pop("m-0")
    simulation.advance(5_000)
    assert simulation.runs["quote"] == 1
    assert simulation.outcome(call) is Outcome.UNKNOWN


def test_failed_resend_does_not_prove_that_nothing_ran() -> None:
    simulation = start_simulation({"m-0": 20, "m-1": 20})
    simulation.lose_answers.update({"m-0", "m-1"})
    call = simulation.send_request("entry-0", "quote", timeout_ms=3_000)
    simulation.advance(300)
    simulation.unreachable.update({"m-0", "m-1"})
    simulation.advance(3_000)
    assert simulation.runs["quote"] >= 1
    assert simulation.outcome(call) is Outcome.UNKNOWN


def test_late_and_mismatched_answers_are_dropped() -> None:
    simulation = start_simulation({"m-0": 20})
    call = simulation.send_request("entry-0", "quote")
    simulation.advance(100)
    first = simulation.answers[call]
    attempt = next(item for item in simulation.sent if isinstance(item, SendAttempt))
    late = AttemptAnswered(attempt.attempt_id, "m-0", "x", Outcome.ANSWERED, "other", 8)
    simulation.worlds["entry-0"].inbox.put(late)
    simulation.advance(100)
    assert simulation.answers[call] is first


def test_restarted_sidecar_does_not_answer_for_its_former_process() -> None:
    simulation = start_simulation({"m-0": 1_000})
    call = simulation.send_request("entry-0", "charge", key="k", timeout_ms=5_000)
    simulation.advance(200)
    assert simulation.runs["charge"] == 1
    simulation.start("m-0")
    simulation.advance(5_000)
    assert simulation.outcome(call) is Outcome.UNKNOWN
    assert simulation.runs["charge"] == 1


@pytest.mark.parametrize("name", ["entry-0", "m-0"])
def test_lost_exchange_leaves_an_empty_inbox(name: str) -> None:
    simulation = start_simulation({"m-0": 20})
    simulation.worlds[name].inbox.put(ExchangeLost("exc-gone"))
    simulation.advance(10)
    assert len(simulation.worlds[name].inbox) == 0


def test_idempotent_request_moves_to_another_minion() -> None:
    simulation = start_simulation({"m-0": 20, "m-1": 20})
    simulation.unreachable.add("m-0")
    calls = [simulation.send_request("entry-0", f"q{n}") for n in range(10)]
    simulation.advance(2_000)
    assert {simulation.outcome(call) for call in calls} == {Outcome.ANSWERED}
