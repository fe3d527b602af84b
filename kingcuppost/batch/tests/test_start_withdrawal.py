"""When a sidecar gives a start back, and when it must be stopped first."""

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.run_end_rule import certain_expiry_ms
from kingcuppost.batch.systems.scheduler_replies import handle_scheduler_replies
from kingcuppost.batch.systems.sidecar_heartbeats import handle_heartbeats
from kingcuppost.batch.systems.sidecar_inbox import (
    handle_order_answers,
    handle_run_lists,
)
from kingcuppost.batch.systems.start_limits import start_limit_ms, start_validity_ms
from kingcuppost.batch.systems.start_withdrawal import withdraw_late_starts
from kingcuppost.batch.tables.config import Bounds, DaemonConfig
from kingcuppost.batch.tables.job import MinionIncarnation, TaskName
from kingcuppost.batch.tables.messages import (
    HoldMinionAnswered,
    MinionHeartbeat,
    MinionReport,
    OrderAnswered,
    OrderOutcome,
    RunningRun,
    StartOrder,
    StopOrder,
    SyncAnswered,
    SyncReply,
)
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

BOUNDS = Bounds()
HOLDER = Address("10.0.0.1", 7000)
INCARNATION = MinionIncarnation("m-0", 5)
TASK = TaskName("0000000000000001", 0, 0, 0)
KEY = (str(TASK), 1)
LIMIT_MS = start_limit_ms(BOUNDS)
VALIDITY_MS = start_validity_ms(BOUNDS)
SETTLED_MS = certain_expiry_ms(VALIDITY_MS)


@pytest.fixture
def world() -> BatchWorld:
    """Return a sidecar that was started long ago, in contact with its minion."""
    cfg = DaemonConfig(Role.SIDECAR, "side-0", "z", Address("10.0.1.1", 7000))
    world = make_batch_world(cfg, ManualClock(start_ms=1_000), seed=1)
    world.sidecar_state.minion = MinionReport(
        INCARNATION, "svc", "z", (), Resources(), False, 0, True, True
    )
    world.sidecar_state.address = Address("10.0.1.1", 8080)
    world.clock.advance(SETTLED_MS)
    list_runs(world)
    return world


def list_runs(
    world: BatchWorld, running: tuple[RunningRun, ...] = (), is_whole: bool = True
) -> None:
    """Let the minion answer a request that is sent now."""
    sent_ms = world.clock.now_ms()
    world.clock.advance(1)
    now_ms = world.clock.now_ms()
    lists = HoldMinionAnswered(
        INCARNATION, sent_ms, now_ms, now_ms, running, is_whole=is_whole
    )
    world.inbox.put(lists)
    handle_run_lists(world, now_ms)


def order_start(world: BatchWorld, number: int) -> None:
    """Let the holder answer report `number` with an order to start the run."""
    world.sidecar_state.unanswered_syncs[number] = True
    order = StartOrder(TASK, 1, "spec", "")
    reply = SyncReply("", 1, incarnation=INCARNATION, starts=(order,))
    now_ms = world.clock.now_ms()
    world.inbox.put(SyncAnswered(number, HOLDER, now_ms, reply))
    handle_scheduler_replies(world, now_ms)


def order_stop(world: BatchWorld, number: int) -> None:
    world.sidecar_state.unanswered_syncs[number] = False
    reply = SyncReply("", 1, incarnation=INCARNATION, stops=(StopOrder(TASK, 1),))
    now_ms = world.clock.now_ms()
    world.inbox.put(SyncAnswered(number, HOLDER, now_ms, reply))
    handle_scheduler_replies(world, now_ms)


def answer(world: BatchWorld, is_start: bool, outcome: OrderOutcome) -> None:
    now_ms = world.clock.now_ms()
    world.inbox.put(OrderAnswered(INCARNATION, TASK, 1, is_start, outcome))
    handle_order_answers(world, now_ms)


def withdraw(world: BatchWorld) -> None:
    withdraw_late_starts(world, world.clock.now_ms())


def test_a_start_that_was_only_answered_as_busy_is_given_back(
    world: BatchWorld,
) -> None:
    order_start(world, 1)
    answer(world, True, OrderOutcome.BUSY)
    withdraw(world)
    assert KEY in world.sidecar_state.ordered_runs
    world.clock.advance(LIMIT_MS)
    withdraw(world)
    assert KEY in world.sidecar_state.refused


def test_a_start_that_was_only_answered_as_busy_is_given_back_at_its_stop(
    world: BatchWorld,
) -> None:
    order_start(world, 1)
    answer(world, True, OrderOutcome.BUSY)
    order_stop(world, 2)
    withdraw(world)
    assert KEY in world.sidecar_state.refused


@pytest.mark.parametrize("first", [OrderOutcome.UNKNOWN, OrderOutcome.BUSY])
def test_a_start_that_went_unanswered_is_stopped_before_it_is_given_back(
    world: BatchWorld, first: OrderOutcome
) -> None:
    order_start(world, 1)
    answer(world, True, first)
    answer(world, True, OrderOutcome.UNKNOWN)
    world.clock.advance(LIMIT_MS)
    withdraw(world)
    assert not world.sidecar_state.refused
    assert world.sidecar_state.ordered_runs[KEY].should_stop
    answer(world, False, OrderOutcome.DONE)
    world.clock.advance(1)
    list_runs(world)
    assert KEY in world.sidecar_state.refused


def test_a_restarted_sidecar_stops_what_an_earlier_process_may_have_started() -> None:
    cfg = DaemonConfig(Role.SIDECAR, "side-0", "z", Address("10.0.1.1", 7000))
    world = make_batch_world(cfg, ManualClock(start_ms=1_000), seed=1)
    world.sidecar_state.minion = MinionReport(
        INCARNATION, "svc", "z", (), Resources(), False, 0, True, True
    )
    list_runs(world)
    order_start(world, 1)
    answer(world, True, OrderOutcome.BUSY)
    world.clock.advance(LIMIT_MS)
    withdraw(world)
    assert not world.sidecar_state.refused
    assert world.sidecar_state.ordered_runs[KEY].should_stop


def test_a_minion_that_was_removed_and_came_back_may_carry_out_an_earlier_copy(
    world: BatchWorld,
) -> None:
    """The run was given back while the copy that had no answer was valid."""
    order_start(world, 1)
    answer(world, True, OrderOutcome.UNKNOWN)
    now_ms = world.clock.now_ms()
    report = world.sidecar_state.minion
    address = world.sidecar_state.address
    world.inbox.put(MinionHeartbeat(Address("", 0), report, 0, has_left=True))
    handle_heartbeats(world, now_ms)
    world.inbox.put(HoldMinionAnswered(INCARNATION, now_ms, now_ms, reason="timeout"))
    handle_run_lists(world, now_ms)
    assert world.sidecar_state.minion is None
    world.inbox.put(MinionHeartbeat(address, report, 9))
    handle_heartbeats(world, now_ms)
    list_runs(world)
    order_start(world, 2)
    answer(world, True, OrderOutcome.BUSY)
    world.clock.advance(LIMIT_MS)
    withdraw(world)
    assert not world.sidecar_state.refused
    assert world.sidecar_state.ordered_runs[KEY].should_stop


def test_a_stop_of_an_unknown_run_is_not_taken_for_carried_out(
    world: BatchWorld,
) -> None:
    order_stop(world, 1)
    withdraw(world)
    assert not world.sidecar_state.refused


@pytest.mark.parametrize(
    ("is_stop_sent", "age_ms", "is_given_back"),
    [
        (True, VALIDITY_MS + 10, True),
        (True, VALIDITY_MS - 10, False),
        (False, VALIDITY_MS + 10, False),
    ],
)
def test_a_start_is_given_back_without_a_stop_once_its_copies_are_void(
    world: BatchWorld,
    is_stop_sent: bool,
    age_ms: int,
    is_given_back: bool,
) -> None:
    order_start(world, 1)
    answer(world, True, OrderOutcome.UNKNOWN)
    run = world.sidecar_state.ordered_runs[KEY]
    run.start_deadline_ms = world.clock.now_ms() + VALIDITY_MS
    run.should_stop = True
    run.is_stop_sent = is_stop_sent
    world.clock.advance(age_ms)
    list_runs(world)
    assert not world.sidecar_state.refused, "the clock was read after the request"
    list_runs(world)
    assert (KEY in world.sidecar_state.refused) is is_given_back


def test_a_run_that_is_listed_is_not_stopped_though_its_start_got_no_answer(
    world: BatchWorld,
) -> None:
    order_start(world, 1)
    answer(world, True, OrderOutcome.UNKNOWN)
    list_runs(world, (RunningRun(TASK, 1, "", 0),))
    answer(world, True, OrderOutcome.UNKNOWN)
    world.clock.advance(LIMIT_MS)
    withdraw(world)
    assert not world.sidecar_state.ordered_runs[KEY].should_stop


def test_a_run_that_lists_lack_after_its_start_was_accepted_is_stopped(
    world: BatchWorld,
) -> None:
    order_start(world, 1)
    answer(world, True, OrderOutcome.DONE)
    world.clock.advance(1)
    list_runs(world)
    assert world.sidecar_state.ordered_runs[KEY].should_stop


def test_a_run_is_kept_that_only_lists_from_before_its_start_lack(
    world: BatchWorld,
) -> None:
    order_start(world, 1)
    sent_ms = world.clock.now_ms()
    world.clock.advance(1)
    answer(world, True, OrderOutcome.DONE)
    lists = HoldMinionAnswered(INCARNATION, sent_ms, sent_ms + 1, sent_ms + 1)
    world.inbox.put(lists)
    handle_run_lists(world, world.clock.now_ms())
    assert not world.sidecar_state.ordered_runs[KEY].should_stop
    assert KEY in world.sidecar_state.running


def test_an_answer_to_an_earlier_report_does_not_start_a_run_that_was_given_back(
    world: BatchWorld,
) -> None:
    """The refusal was settled, and the order that was sent before it came later."""
    sidecar_state = world.sidecar_state
    sidecar_state.sync_number = 2
    order_start(world, 1)
    sidecar_state.unanswered_syncs[2] = True
    answer(world, True, OrderOutcome.BUSY)
    world.clock.advance(LIMIT_MS)
    withdraw(world)
    sidecar_state.sync_number = 3
    sidecar_state.unanswered_syncs[3] = True
    settled = SyncReply("", 1, incarnation=INCARNATION, settled=(StopOrder(TASK, 1),))
    now_ms = world.clock.now_ms()
    world.inbox.put(SyncAnswered(3, HOLDER, now_ms, settled))
    handle_scheduler_replies(world, now_ms)
    assert not sidecar_state.refused
    order_start(world, 2)
    assert not sidecar_state.ordered_runs


def test_a_run_whose_stop_alone_was_ordered_is_given_back_in_the_end(
    world: BatchWorld,
) -> None:
    """At a minion that answers its lists and no stop, it stayed placed for ever."""
    world.clock.advance(SETTLED_MS)
    list_runs(world)
    order_stop(world, 1)
    for _ in range(60):
        answer(world, False, OrderOutcome.BUSY)
        world.clock.advance(1_000)
        list_runs(world)
        withdraw(world)
    assert list(world.sidecar_state.refused) == [KEY]


def test_a_run_whose_stop_alone_was_ordered_is_kept_while_a_start_may_arrive(
    world: BatchWorld,
) -> None:
    """An earlier process may have sent the start just before it ended."""
    order_stop(world, 1)
    for _ in range(9):
        answer(world, False, OrderOutcome.BUSY)
        world.clock.advance(1_000)
        list_runs(world)
        withdraw(world)
    assert not world.sidecar_state.refused


def test_a_run_that_lists_lack_has_not_vanished_unless_they_are_whole(
    world: BatchWorld,
) -> None:
    order_start(world, 1)
    answer(world, True, OrderOutcome.DONE)
    list_runs(world, (RunningRun(TASK, 1, "", 5),))
    world.clock.advance(1_000)
    list_runs(world, is_whole=False)
    assert not world.sidecar_state.ordered_runs[KEY].should_stop
    list_runs(world)
    assert world.sidecar_state.ordered_runs[KEY].should_stop
