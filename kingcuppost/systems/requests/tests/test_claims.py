"""A non-idempotent request runs at most once."""

from kingcuppost.systems.fold import keys
from kingcuppost.systems.requests.tests.simulation import Simulation
from kingcuppost.tables.inbox import AttemptArrived
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.outbox import SendAttempt
from kingcuppost.tables.record import SettingPut
from kingcuppost.tables.request import Outcome

SETTLE_MS = 500


def start_simulation(run_ms: dict[str, int] | None = None, **options) -> Simulation:
    simulation = Simulation(run_ms or {"m-0": 50, "m-1": 50, "m-2": 50}, **options)
    simulation.advance(SETTLE_MS)
    return simulation


def test_same_key_through_two_entries_at_once() -> None:
    simulation = start_simulation()
    calls = [
        simulation.send_request(name, "charge", "k") for name in ("entry-0", "entry-1")
    ]
    simulation.advance(2_000)
    assert [simulation.outcome(call) for call in calls] == [Outcome.ANSWERED] * 2
    assert simulation.answers[calls[0]].answer == simulation.answers[calls[1]].answer
    assert simulation.runs["charge"] == 1


def test_same_key_twice_through_one_entry() -> None:
    simulation = start_simulation()
    calls = [simulation.send_request("entry-0", "charge", "k") for _ in range(2)]
    simulation.advance(30)
    calls.append(simulation.send_request("entry-0", "charge", "k"))
    simulation.advance(2_000)
    assert [simulation.outcome(call) for call in calls] == [Outcome.ANSWERED] * 3
    assert simulation.runs["charge"] == 1


def test_entry_killed_after_the_claim() -> None:
    simulation = start_simulation()
    simulation.send_request("entry-0", "charge", "k")
    simulation.advance(5)
    simulation.worlds.pop("entry-0")
    call = simulation.send_request("entry-1", "charge", "k")
    simulation.advance(2_000)
    assert simulation.outcome(call) is Outcome.ANSWERED
    assert simulation.runs["charge"] == 1


def test_unreachable_sidecar_does_not_free_the_key() -> None:
    """Another entry may have sent the attempt that this entry could not send."""
    simulation = start_simulation({"m-0": 50})
    first = simulation.send_request("entry-0", "charge", "k")
    simulation.advance(500)
    assert simulation.outcome(first) is Outcome.ANSWERED
    simulation.unreachable.add("m-0")
    second = simulation.send_request("entry-1", "charge", "k", timeout_ms=1_000)
    simulation.advance(1_500)
    assert simulation.outcome(second) is Outcome.UNKNOWN
    simulation.unreachable.clear()
    third = simulation.send_request("entry-1", "charge", "k")
    simulation.advance(1_000)
    assert simulation.outcome(third) is Outcome.ANSWERED
    assert simulation.runs["charge"] == 1


def test_refusal_frees_the_key_and_a_late_duplicate_does_not_run() -> None:
    simulation = start_simulation({"m-0": 50, "m-1": 50})
    for name in ("m-0", "m-1"):
        simulation.worlds[name].stopping = True
    first = simulation.send_request("entry-0", "charge", "k")
    simulation.advance(1_000)
    assert simulation.outcome(first) is Outcome.NOT_RUN
    old = next(item for item in simulation.sent if isinstance(item, SendAttempt))
    for name in ("m-0", "m-1"):
        simulation.worlds[name].stopping = False
        simulation.worlds["entry-0"].health.delete(name)
        simulation.worlds["entry-1"].health.delete(name)
    # The recorded change makes entry-1 put the minion back into its pool.
    simulation.worlds["entry-1"].agreed.minions.update(old.minion, offset=0)
    second = simulation.send_request("entry-1", "charge", "k")
    duplicate = AttemptArrived(
        "exc-late",
        old.attempt_id,
        old.incarnation,
        old.team,
        old.body,
        True,
        Urgency.INTERACTIVE,
        5_000,
        old.claim_offset,
    )
    simulation.worlds[old.minion].inbox.put(duplicate)
    simulation.advance(2_000)
    assert simulation.outcome(second) is Outcome.ANSWERED
    assert simulation.runs["charge"] == 1


def test_unresponsive_log_leads_to_refusal_in_limited_time() -> None:
    simulation = start_simulation()
    simulation.log_up = False
    first = simulation.send_request("entry-0", "charge-1", "k1")
    simulation.advance(3_600)
    assert simulation.outcome(first) is Outcome.UNKNOWN
    second = simulation.send_request("entry-0", "charge-2", "k2")
    plain = simulation.send_request("entry-0", "quote")
    simulation.advance(100)
    assert simulation.outcome(second) is Outcome.NOT_RUN
    assert simulation.outcome(plain) is Outcome.ANSWERED
    assert len(simulation.worlds["entry-0"].proposals) == 0
    simulation.log_up = True
    simulation.advance(5_000)
    assert simulation.runs["charge-1"] + simulation.runs["charge-2"] == 0


def test_claimed_key_is_never_reported_not_run() -> None:
    simulation = start_simulation({"m-0": 50})
    first = simulation.send_request("entry-0", "charge", "k")
    simulation.advance(500)
    simulation.worlds.pop("m-0")
    second = simulation.send_request("entry-0", "charge", "k", timeout_ms=1_000)
    simulation.advance(1_500)
    assert simulation.outcome(first) is Outcome.ANSWERED
    assert simulation.outcome(second) is Outcome.UNKNOWN


def test_evicted_attempt_does_not_run_again() -> None:
    simulation = start_simulation({"m-0": 5})
    simulation.propose(SettingPut("", "serve.memory_attempts", 16, 0))
    simulation.advance(100)
    simulation.send_request("entry-0", "charge", "k")
    simulation.advance(200)
    for number in range(40):
        simulation.send_request("entry-0", f"other {number}")
        simulation.advance(20)
    assert len(simulation.worlds["m-0"].served_attempts) <= 17
    again = simulation.send_request("entry-1", "charge", "k")
    simulation.advance(500)
    assert simulation.outcome(again) is Outcome.UNKNOWN
    assert simulation.runs["charge"] == 1


def test_lost_answer_is_sent_again() -> None:
    simulation = start_simulation({"m-0": 50})
    simulation.lose_answers.add("m-0")
    call = simulation.send_request("entry-0", "charge", "k")
    simulation.advance(800)
    simulation.lose_answers.clear()
    simulation.advance(1_000)
    assert simulation.outcome(call) is Outcome.ANSWERED
    assert simulation.runs["charge"] == 1


def test_key_claimed_by_another_entry_while_queued_is_not_reported_not_run() -> None:
    simulation = start_simulation({"m-0": 4_000}, slots=1)
    simulation.send_request("entry-1", "busy", timeout_ms=5_000)
    simulation.advance(20)
    blocked = simulation.send_request("entry-1", "charge", "k", timeout_ms=1_000)
    simulation.send_request("entry-0", "charge", "k")
    simulation.advance(1_500)
    assert simulation.outcome(blocked) is Outcome.UNKNOWN


def test_entry_sends_one_attempt_for_all_waiting_requests() -> None:
    simulation = start_simulation({"m-0": 100})
    calls = [simulation.send_request("entry-0", "charge", "k") for _ in range(3)]
    simulation.advance(1_000)
    sent = [item for item in simulation.sent if isinstance(item, SendAttempt)]
    assert len(sent) == 1
    assert [simulation.outcome(call) for call in calls] == [Outcome.ANSWERED] * 3


def test_issue_time_reaches_the_claim_and_may_not_lie_in_the_future() -> None:
    simulation = start_simulation({"m-0": 50})
    call = simulation.send_request("entry-0", "charge", "k", issued_ms=7)
    ahead = simulation.send_request("entry-0", "later", "k2", issued_ms=10**9)
    simulation.advance(500)
    assert simulation.outcome(call) is Outcome.ANSWERED
    assert simulation.worlds["entry-1"].agreed.key_claims.get("design/k").issued_ms == 7
    assert simulation.outcome(ahead) is Outcome.NOT_RUN
    assert simulation.runs["later"] == 0


def test_removed_key_is_never_reported_not_run(monkeypatch) -> None:
    monkeypatch.setattr(keys, "MAX_KEY_CLAIMS", 1)
    simulation = start_simulation()
    outcomes = []
    for key in ("k1", "k2", "k1"):
        call = simulation.send_request("entry-0", f"charge-{key}", key)
        simulation.advance(1_000)
        outcomes.append(simulation.outcome(call))
    assert outcomes == [Outcome.ANSWERED, Outcome.ANSWERED, Outcome.UNKNOWN]
    assert simulation.runs["charge-k1"] == 1


def test_key_with_an_issue_time_is_accepted_after_others_were_removed(
    monkeypatch,
) -> None:
    monkeypatch.setattr(keys, "MAX_KEY_CLAIMS", 1)
    simulation = start_simulation()
    outcomes = []
    for key, issued_ms in (("k1", 100), ("k2", 200), ("k1", 100), ("k3", 300)):
        call = simulation.send_request(
            "entry-0", f"charge-{key}", key, issued_ms=issued_ms
        )
        simulation.advance(1_000)
        outcomes.append(simulation.outcome(call))
    answered = Outcome.ANSWERED
    assert outcomes == [answered, answered, Outcome.UNKNOWN, answered]
    assert simulation.runs["charge-k1"] == 1


def test_key_with_a_future_issue_time_is_refused_as_not_run() -> None:
    simulation = start_simulation()
    call = simulation.send_request("entry-0", "charge", "k", issued_ms=2**52)
    simulation.advance(1_000)
    assert simulation.outcome(call) is Outcome.NOT_RUN
    assert simulation.runs["charge"] == 0


def test_key_used_with_another_body_never_gets_the_first_answer() -> None:
    simulation = start_simulation({"m-0": 100})
    first = simulation.send_request("entry-0", "charge 5", "k")
    simulation.advance(50)
    during = [
        simulation.send_request(name, "charge 7", "k")
        for name in ("entry-0", "entry-1")
    ]
    simulation.advance(500)
    after = simulation.send_request("entry-0", "charge 7", "k")
    simulation.advance(500)
    assert simulation.outcome(first) is Outcome.ANSWERED
    others = [*during, after]
    assert [simulation.outcome(call) for call in others] == [Outcome.UNKNOWN] * 3
    assert simulation.runs["charge 5"] == 1
    assert simulation.runs["charge 7"] == 0
