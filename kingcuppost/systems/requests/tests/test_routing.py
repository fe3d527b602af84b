"""Routing: fair and limited queues, limits of retries and slots, zones and pauses."""

from kingcuppost.systems.requests.tests.simulation import Simulation
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.outbox import SendAttempt
from kingcuppost.tables.record import MemberLeave, SettingPut, ZonePut
from kingcuppost.tables.request import Outcome

SETTLE_MS = 500
SLOTS = 8


def start_simulation(run_ms: dict[str, int], **options) -> Simulation:
    simulation = Simulation(run_ms, **options)
    simulation.advance(SETTLE_MS)
    return simulation


def test_burst_of_one_team_does_not_block_another() -> None:
    simulation = start_simulation({"m-0": 100}, entries=1)
    for number in range(150):
        simulation.send_request("entry-0", f"burst {number}")
    simulation.advance(5)
    call = simulation.send_request("entry-0", "counter", team="shop")
    sent_ms = simulation.clock.now_ms()
    simulation.advance(3_000)
    assert simulation.outcome(call) is Outcome.ANSWERED
    assert simulation.answered_ms[call] - sent_ms < 400


def test_interactive_requests_overtake_overnight_ones() -> None:
    simulation = start_simulation({"m-0": 100}, entries=1)
    for number in range(100):
        simulation.send_request("entry-0", f"batch {number}", urgency=Urgency.OVERNIGHT)
    simulation.advance(5)
    call = simulation.send_request("entry-0", "counter")
    sent_ms = simulation.clock.now_ms()
    simulation.advance(3_000)
    assert simulation.answered_ms[call] - sent_ms < 400


def test_requests_beyond_the_limit_are_refused_with_the_time_to_retry() -> None:
    simulation = start_simulation({"m-0": 1_000}, entries=1)
    calls = [simulation.send_request("entry-0", f"q{number}") for number in range(201)]
    simulation.advance(5)
    refused = [simulation.answers[call] for call in calls if call in simulation.answers]
    assert [reply.outcome for reply in refused] == [Outcome.NOT_RUN]
    assert "retry after" in refused[0].reason


def test_retries_stay_within_the_budget_of_the_team() -> None:
    simulation = start_simulation({"m-0": 20, "m-1": 20}, entries=1)
    simulation.propose(SettingPut("", "request.retry_burst", 2.0, 0))
    simulation.propose(SettingPut("", "request.retry_share", 0.0, 0))
    simulation.advance(SETTLE_MS)
    for name in ("m-0", "m-1"):
        simulation.worlds[name].stopping = True
    calls = [simulation.send_request("entry-0", f"q{number}") for number in range(10)]
    simulation.advance(2_000)
    simulation.advance(9_000)
    sent = sum(isinstance(item, SendAttempt) for item in simulation.sent)
    assert sent <= len(calls) + 2
    assert {simulation.outcome(call) for call in calls} == {Outcome.NOT_RUN}


def test_slots_limit_running_attempts_with_several_entries() -> None:
    simulation = start_simulation({"m-0": 50, "m-1": 50}, entries=3)
    for number in range(300):
        simulation.send_request(f"entry-{number % 3}", f"q{number}")
    simulation.advance(9_000)
    assert max(simulation.max_running.values()) <= SLOTS
    assert sum(simulation.runs.values()) == 300


def test_zone_out_of_service_and_minion_that_left_get_no_requests() -> None:
    simulation = start_simulation({"m-0": 20})
    leave = MemberLeave("m-0", simulation.worlds["m-0"].identity.incarnation)
    simulation.propose(ZonePut("vid-a", "vidzeme", False, 1))
    simulation.advance(100)
    call = simulation.send_request("entry-0", "quote", timeout_ms=300)
    simulation.advance(400)
    assert simulation.outcome(call) is Outcome.NOT_RUN
    zone_offset = (
        simulation.worlds["entry-0"].agreed.availability_zones.get("vid-a").offset
    )
    simulation.propose(ZonePut("vid-a", "vidzeme", True, zone_offset))
    simulation.advance(100)
    call = simulation.send_request("entry-0", "quote")
    simulation.advance(200)
    assert simulation.outcome(call) is Outcome.ANSWERED
    simulation.propose(leave)
    simulation.advance(100)
    call = simulation.send_request("entry-0", "late", timeout_ms=300)
    simulation.advance(400)
    assert simulation.outcome(call) is Outcome.NOT_RUN
    assert simulation.runs["late"] == 0


def test_failing_minion_is_paused_and_tried_again() -> None:
    simulation = start_simulation({"m-0": 20})
    simulation.unreachable.add("m-0")
    for number in range(6):
        simulation.send_request("entry-0", f"q{number}", timeout_ms=200)
        simulation.advance(100)
    assert len(simulation.worlds["entry-0"].pools.pool("planner")) == 0
    simulation.unreachable.clear()
    call = simulation.send_request("entry-0", "quote")
    simulation.advance(6_000)
    assert simulation.outcome(call) is Outcome.ANSWERED
