"""A non-idempotent request runs at most once."""

from kingcuppost.systems.fold import keys
from kingcuppost.systems.requests.tests.driver import Driver
from kingcuppost.tables.inbox import AttemptArrived
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.outbox import SendAttempt
from kingcuppost.tables.record import SettingPut
from kingcuppost.tables.request import Outcome

SETTLE_MS = 500


def started(run_ms: dict[str, int] | None = None, **options) -> Driver:
    driver = Driver(run_ms or {"m-0": 50, "m-1": 50, "m-2": 50}, **options)
    driver.advance(SETTLE_MS)
    return driver


def test_same_key_through_two_entries_at_once() -> None:
    driver = started()
    calls = [driver.ask(name, "charge", "k") for name in ("entry-0", "entry-1")]
    driver.advance(2_000)
    assert [driver.outcome(call) for call in calls] == [Outcome.ANSWERED] * 2
    assert driver.answers[calls[0]].answer == driver.answers[calls[1]].answer
    assert driver.runs["charge"] == 1


def test_same_key_twice_through_one_entry() -> None:
    driver = started()
    calls = [driver.ask("entry-0", "charge", "k") for _ in range(2)]
    driver.advance(30)
    calls.append(driver.ask("entry-0", "charge", "k"))
    driver.advance(2_000)
    assert [driver.outcome(call) for call in calls] == [Outcome.ANSWERED] * 3
    assert driver.runs["charge"] == 1


def test_entry_killed_after_the_claim() -> None:
    driver = started()
    driver.ask("entry-0", "charge", "k")
    driver.advance(5)
    driver.worlds.pop("entry-0")
    call = driver.ask("entry-1", "charge", "k")
    driver.advance(2_000)
    assert driver.outcome(call) is Outcome.ANSWERED
    assert driver.runs["charge"] == 1


def test_unreachable_sidecar_does_not_free_the_key() -> None:
    """Another entry may have sent the attempt that this one could not send."""
    driver = started({"m-0": 50})
    first = driver.ask("entry-0", "charge", "k")
    driver.advance(500)
    assert driver.outcome(first) is Outcome.ANSWERED
    driver.cut.add("m-0")
    second = driver.ask("entry-1", "charge", "k", timeout_ms=1_000)
    driver.advance(1_500)
    assert driver.outcome(second) is Outcome.UNKNOWN
    driver.cut.clear()
    third = driver.ask("entry-1", "charge", "k")
    driver.advance(1_000)
    assert driver.outcome(third) is Outcome.ANSWERED
    assert driver.runs["charge"] == 1


def test_refused_key_is_free_and_its_late_duplicate_does_not_run() -> None:
    driver = started({"m-0": 50, "m-1": 50})
    for name in ("m-0", "m-1"):
        driver.worlds[name].stopping = True
    first = driver.ask("entry-0", "charge", "k")
    driver.advance(1_000)
    assert driver.outcome(first) is Outcome.NOT_RUN
    old = next(item for item in driver.sent if isinstance(item, SendAttempt))
    for name in ("m-0", "m-1"):
        driver.worlds[name].stopping = False
        driver.worlds["entry-0"].health.delete(name)
        driver.worlds["entry-1"].health.delete(name)
    driver.worlds["entry-1"].agreed.minions.update(old.minion, offset=0)
    second = driver.ask("entry-1", "charge", "k")
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
    driver.worlds[old.minion].inbox.put(duplicate)
    driver.advance(2_000)
    assert driver.outcome(second) is Outcome.ANSWERED
    assert driver.runs["charge"] == 1


def test_silent_log_refuses_in_bounded_time() -> None:
    driver = started()
    driver.log_up = False
    first = driver.ask("entry-0", "charge-1", "k1")
    driver.advance(3_600)
    assert driver.outcome(first) is Outcome.UNKNOWN
    second = driver.ask("entry-0", "charge-2", "k2")
    plain = driver.ask("entry-0", "quote")
    driver.advance(100)
    assert driver.outcome(second) is Outcome.NOT_RUN
    assert driver.outcome(plain) is Outcome.ANSWERED
    assert len(driver.worlds["entry-0"].proposals) == 0
    driver.log_up = True
    driver.advance(5_000)
    assert driver.runs["charge-1"] + driver.runs["charge-2"] == 0


def test_key_claimed_before_is_never_told_not_run() -> None:
    driver = started({"m-0": 50})
    first = driver.ask("entry-0", "charge", "k")
    driver.advance(500)
    driver.worlds.pop("m-0")
    second = driver.ask("entry-0", "charge", "k", timeout_ms=1_000)
    driver.advance(1_500)
    assert driver.outcome(first) is Outcome.ANSWERED
    assert driver.outcome(second) is Outcome.UNKNOWN


def test_forgotten_attempt_does_not_run_again() -> None:
    driver = started({"m-0": 5})
    driver.propose(SettingPut("", "serve.memory_attempts", 16, 0))
    driver.advance(100)
    driver.ask("entry-0", "charge", "k")
    driver.advance(200)
    for number in range(40):
        driver.ask("entry-0", f"other {number}")
        driver.advance(20)
    assert len(driver.worlds["m-0"].served) <= 17
    again = driver.ask("entry-1", "charge", "k")
    driver.advance(500)
    assert driver.outcome(again) is Outcome.UNKNOWN
    assert driver.runs["charge"] == 1


def test_lost_answer_is_given_again() -> None:
    driver = started({"m-0": 50})
    driver.lose_answers.add("m-0")
    call = driver.ask("entry-0", "charge", "k")
    driver.advance(800)
    driver.lose_answers.clear()
    driver.advance(1_000)
    assert driver.outcome(call) is Outcome.ANSWERED
    assert driver.runs["charge"] == 1


def test_claim_by_another_entry_while_queued_is_not_told_not_run() -> None:
    driver = started({"m-0": 4_000}, slots=1)
    driver.ask("entry-1", "busy", timeout_ms=5_000)
    driver.advance(20)
    blocked = driver.ask("entry-1", "charge", "k", timeout_ms=1_000)
    driver.ask("entry-0", "charge", "k")
    driver.advance(1_500)
    assert driver.outcome(blocked) is Outcome.UNKNOWN


def test_one_entry_sends_an_attempt_once_for_all_who_wait() -> None:
    driver = started({"m-0": 100})
    calls = [driver.ask("entry-0", "charge", "k") for _ in range(3)]
    driver.advance(1_000)
    sent = [item for item in driver.sent if isinstance(item, SendAttempt)]
    assert len(sent) == 1
    assert [driver.outcome(call) for call in calls] == [Outcome.ANSWERED] * 3


def test_time_of_issue_reaches_the_claim_and_may_not_lie_ahead() -> None:
    driver = started({"m-0": 50})
    call = driver.ask("entry-0", "charge", "k", issued_ms=7)
    ahead = driver.ask("entry-0", "later", "k2", issued_ms=10**9)
    driver.advance(500)
    assert driver.outcome(call) is Outcome.ANSWERED
    assert driver.worlds["entry-1"].agreed.key_claims.get("design/k").issued_ms == 7
    assert driver.outcome(ahead) is Outcome.NOT_RUN
    assert driver.runs["later"] == 0


def test_forgotten_key_is_never_told_not_run(monkeypatch) -> None:
    monkeypatch.setattr(keys, "MAX_KEY_CLAIMS", 1)
    driver = started()
    outcomes = []
    for key in ("k1", "k2", "k1"):
        asked = driver.ask("entry-0", f"charge-{key}", key)
        driver.advance(1_000)
        outcomes.append(driver.outcome(asked))
    assert outcomes == [Outcome.ANSWERED, Outcome.ANSWERED, Outcome.UNKNOWN]
    assert driver.runs["charge-k1"] == 1


def test_key_with_an_issue_time_is_taken_after_others_were_forgotten(
    monkeypatch,
) -> None:
    monkeypatch.setattr(keys, "MAX_KEY_CLAIMS", 1)
    driver = started()
    outcomes = []
    for key, issued_ms in (("k1", 100), ("k2", 200), ("k1", 100), ("k3", 300)):
        asked = driver.ask("entry-0", f"charge-{key}", key, issued_ms=issued_ms)
        driver.advance(1_000)
        outcomes.append(driver.outcome(asked))
    answered = Outcome.ANSWERED
    assert outcomes == [answered, answered, Outcome.UNKNOWN, answered]
    assert driver.runs["charge-k1"] == 1


def test_key_from_the_future_is_refused_as_not_run() -> None:
    driver = started()
    asked = driver.ask("entry-0", "charge", "k", issued_ms=2**52)
    driver.advance(1_000)
    assert driver.outcome(asked) is Outcome.NOT_RUN
    assert driver.runs["charge"] == 0


def test_key_used_with_another_body_never_gets_the_first_answer() -> None:
    driver = started({"m-0": 100})
    first = driver.ask("entry-0", "charge 5", "k")
    driver.advance(50)
    during = [driver.ask(name, "charge 7", "k") for name in ("entry-0", "entry-1")]
    driver.advance(500)
    after = driver.ask("entry-0", "charge 7", "k")
    driver.advance(500)
    assert driver.outcome(first) is Outcome.ANSWERED
    others = [*during, after]
    assert [driver.outcome(call) for call in others] == [Outcome.UNKNOWN] * 3
    assert driver.runs["charge 5"] == 1
    assert driver.runs["charge 7"] == 0
