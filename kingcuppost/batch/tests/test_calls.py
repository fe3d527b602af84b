"""Answers to calls, and the age of the views that they rest on."""

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.call_appends import end_pending_calls
from kingcuppost.batch.systems.calls import handle_calls
from kingcuppost.batch.tables.config import Bounds, DaemonConfig
from kingcuppost.batch.tables.fleet import Configuration, Queue
from kingcuppost.batch.tables.job import Job, StepSpec
from kingcuppost.batch.tables.messages import (
    Append,
    AppendEnded,
    AppendOutcome,
    CallerCall,
    CallKind,
    CallOutcome,
    CallReply,
    ReadStream,
    Stream,
    SubmittedJob,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

APPLY_MS = 3_000
JOB = "0123456789abcdef"
QUEUE = Queue("q", "h", "/q/", "svc")


@pytest.fixture
def world() -> BatchWorld:
    bounds = Bounds(config_apply_ms=APPLY_MS)
    address = Address("10.0.0.1", 7000)
    cfg = DaemonConfig(Role.ENTRY, "entry-0", "zone-a", address, bounds=bounds)
    world = make_batch_world(cfg, ManualClock(start_ms=100_000), seed=1)
    world.agreed.configuration = Configuration(3, (QUEUE,), {}, {"key": "t"})
    world.agreed.jobs.put(Job(JOB, "q", "t", "text", (StepSpec(1),), 0, 0))
    for view in world.agreed.views.values():
        view.fresh_ms = world.clock.now_ms()
    return world


def answer(
    world: BatchWorld, kind: CallKind, path: str, key: str = "key"
) -> CallReply | None:
    now_ms = world.clock.now_ms()
    job = SubmittedJob("text", (StepSpec(1),)) if kind is CallKind.SUBMIT else None
    world.inbox.put(CallerCall("exc", kind, "h", path, key, now_ms, 3_000, job))
    handle_calls(world, now_ms)
    replies = world.outbox.take(CallReply)
    return replies[0] if replies else None


@pytest.mark.parametrize(
    ("kind", "path", "key"),
    [
        pytest.param(CallKind.STATE, "/new/", "key", id="route that may be new"),
        pytest.param(CallKind.STATE, "/q/", "key", id="route that may be gone"),
        pytest.param(CallKind.STATE, f"/q/{JOB}", "key", id="key that may be gone"),
        pytest.param(CallKind.STATE, f"/q/{JOB}", "new", id="key that may be new"),
        pytest.param(CallKind.SUBMIT, "/q/fedcba9876543210", "key", id="submission"),
        pytest.param(CallKind.CANCEL, f"/q/{JOB}", "key", id="cancellation"),
    ],
)
def test_no_call_is_handled_by_a_configuration_that_may_be_outdated(
    world: BatchWorld, kind: CallKind, path: str, key: str
) -> None:
    operators = world.agreed.views[Stream.OPERATORS]
    operators.fresh_ms = world.clock.now_ms() - APPLY_MS - 1
    reply = answer(world, kind, path, key)
    assert reply is not None
    assert reply.outcome is CallOutcome.NOT_RUN
    assert reply.retry_after_ms > 0
    operators.fresh_ms += 1
    reply = answer(world, kind, path, key)
    assert reply is None or reply.outcome is not CallOutcome.NOT_RUN


def test_waiting_jobs_are_not_counted_in_a_stale_view(world: BatchWorld) -> None:
    assert answer(world, CallKind.STATE, "/q/").waiting == 1
    world.agreed.views[Stream.JOBS].fresh_ms -= 2_001
    assert answer(world, CallKind.STATE, "/q/").outcome is CallOutcome.NOT_RUN


@pytest.mark.parametrize("kind", [CallKind.STATE, CallKind.CANCEL])
def test_that_a_job_is_unknown_is_certain_only_after_a_later_read(
    world: BatchWorld, kind: CallKind
) -> None:
    path = "/q/fedcba9876543210"
    world.clock.advance(100)
    assert answer(world, kind, path) is None
    assert world.outbox.take(ReadStream) == [ReadStream(Stream.JOBS)]
    handle_calls(world, world.clock.now_ms())
    assert world.outbox.take(ReadStream) == []
    world.agreed.views[Stream.JOBS].fresh_ms = world.clock.now_ms()
    handle_calls(world, world.clock.now_ms())
    assert [reply.outcome for reply in world.outbox.take(CallReply)] == [
        CallOutcome.NO_JOB
    ]


def test_a_call_for_an_unknown_job_is_answered_before_its_time_is_over(
    world: BatchWorld,
) -> None:
    world.agreed.views[Stream.JOBS].fresh_ms += 1_000
    world.clock.advance(1_001)
    assert answer(world, CallKind.STATE, "/q/fedcba9876543210") is None
    due_ms = world.deadlines.next_ms()
    assert due_ms < world.clock.now_ms() + 3_000
    world.clock.advance(due_ms - world.clock.now_ms())
    handle_calls(world, due_ms)
    assert [reply.outcome for reply in world.outbox.take(CallReply)] == [
        CallOutcome.NOT_RUN
    ]


@pytest.mark.parametrize("kind", [CallKind.STATE, CallKind.CANCEL])
@pytest.mark.parametrize("path", ["/q/", "/other/"])
def test_a_job_of_another_team_is_answered_as_an_unknown_one(
    world: BatchWorld, kind: CallKind, path: str
) -> None:
    other = Queue("other", "h", "/other/", "svc")
    keys = {"key": "t", "foreign": "u"}
    world.agreed.configuration = Configuration(4, (QUEUE, other), {}, keys)
    assert answer(world, kind, path + JOB, "foreign").outcome is CallOutcome.NO_JOB
    reply = answer(world, kind, path + JOB, "key")
    assert reply is None or reply.outcome is not CallOutcome.NO_JOB


def test_the_identifier_of_another_teams_job_is_refused(world: BatchWorld) -> None:
    keys = {"key": "t", "foreign": "u"}
    world.agreed.configuration = Configuration(4, (QUEUE,), {}, keys)
    path = f"/q/{JOB}"
    assert answer(world, CallKind.SUBMIT, path, "foreign").outcome is CallOutcome.BAD
    assert answer(world, CallKind.SUBMIT, path, "key").outcome is CallOutcome.OK


def test_a_public_queue_shows_its_jobs_to_all_its_callers(world: BatchWorld) -> None:
    public = Queue("q", "h", "/q/", "svc", public=True)
    world.agreed.configuration = Configuration(4, (public,), {}, {"key": "t"})
    assert answer(world, CallKind.STATE, f"/q/{JOB}", "").outcome is CallOutcome.OK


def test_a_submission_to_a_queue_with_an_external_policy_is_refused(
    world: BatchWorld,
) -> None:
    """It was accepted, and never ran."""
    queue = Queue("q", "h", "/q/", "svc", has_external_policy=True)
    world.agreed.configuration = Configuration(4, (queue,), {}, {"key": "t"})
    reply = answer(world, CallKind.SUBMIT, "/q/fedcba9876543210")
    assert reply.outcome is CallOutcome.BAD
    assert "policy" in reply.reason


@pytest.mark.parametrize(
    ("outcomes", "expected"),
    [
        ([AppendOutcome.INVALID], CallOutcome.BAD),
        ([AppendOutcome.REFUSED], CallOutcome.NOT_RUN),
        ([AppendOutcome.UNKNOWN, AppendOutcome.INVALID], CallOutcome.UNKNOWN),
        ([AppendOutcome.UNKNOWN, AppendOutcome.REFUSED], CallOutcome.UNKNOWN),
        ([AppendOutcome.UNKNOWN, AppendOutcome.DONE], CallOutcome.OK),
    ],
    ids=str,
)
def test_a_submission_is_answered_by_what_is_certain_of_its_append(
    world: BatchWorld, outcomes: list[AppendOutcome], expected: CallOutcome
) -> None:
    assert answer(world, CallKind.SUBMIT, "/q/fedcba9876543210") is None
    replies: list[CallReply] = []
    sent = world.outbox.take(Append)
    for _ in range(400):
        for append in sent:
            outcome = outcomes.pop(0) if len(outcomes) > 1 else outcomes[0]
            world.inbox.put(AppendEnded(append.id, outcome, reason="a rule"))
        world.clock.advance(10)
        end_pending_calls(world, world.clock.now_ms())
        sent = world.outbox.take(Append)
        replies += world.outbox.take(CallReply)
    assert [reply.outcome for reply in replies] == [expected]


def test_a_call_is_answered_in_time_though_its_append_is_under_way(
    world: BatchWorld,
) -> None:
    """The append outlasted the caller's time, and the caller did not ask again."""
    assert answer(world, CallKind.SUBMIT, "/q/fedcba9876543210") is None
    (append,) = world.outbox.take(Append)
    world.clock.advance(2_900)
    end_pending_calls(world, world.clock.now_ms())
    (reply,) = world.outbox.take(CallReply)
    assert reply.outcome is CallOutcome.UNKNOWN
    world.inbox.put(AppendEnded(append.id, AppendOutcome.DONE))
    end_pending_calls(world, world.clock.now_ms())
    assert world.outbox.take(CallReply) == []
    assert not world.pending_calls
    assert not world.schedule.append_results
