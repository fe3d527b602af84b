"""Odd heartbeats and odd rows of a minion's lists name nothing; the others hold."""

import io
import json
from types import SimpleNamespace

import pytest
from twisted.internet.defer import ensureDeferred

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.job import MinionIncarnation, TaskName
from kingcuppost.batch.tables.messages import (
    HoldMinion,
    HoldMinionAnswered,
    OrderAnswered,
    OrderOutcome,
    StartOrder,
    StartRun,
)
from kingcuppost.edges.http_client import Response
from kingcuppost.platform.minion_heartbeats import _parse_heartbeat
from kingcuppost.platform.minion_lists import MAX_LISTED_ENDS, _request_hold
from kingcuppost.platform.minion_orders import send_start
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

WALL_MS = 1_700_000_000_000
TASK = "0123456789abcdef.0.1.2"
HEARTBEAT = {
    "service": "svc",
    "address": "10.0.0.2:8080",
    "zone": "z",
    "state": "ready",
    "sequence": 4,
    "born": WALL_MS,
    "capacity": {"cpu": 64_000, "memMb": 1_024, "gpu": 8},
}
NESTED = "[" * 200_000


@pytest.fixture
def context() -> SimpleNamespace:
    cfg = DaemonConfig(Role.SIDECAR, "side-0", "z", Address("10.0.0.1", 7000))
    world = make_batch_world(cfg, ManualClock(start_ms=WALL_MS), seed=1)
    return SimpleNamespace(world=world, client=None, wake=lambda: None)


def parse_heartbeat(context: SimpleNamespace, body: bytes) -> object:
    request = SimpleNamespace(method=b"PUT", content=io.BytesIO(body))
    return _parse_heartbeat(context, request, "m-0")


def test_a_heartbeat_is_read(context: SimpleNamespace) -> None:
    heartbeat = parse_heartbeat(context, json.dumps(HEARTBEAT).encode())
    assert heartbeat.address == Address("10.0.0.2", 8080)


@pytest.mark.parametrize(
    "odd",
    [
        {"address": "10.0.0.2:99999"},
        {"address": "10.0.0.2:-1"},
        {"address": "10.0.0.2:" + "9" * 5_000},
        {"address": "name.example:8080"},
        {"sequence": 10**30},
        {"born": 10**30},
        {"born": WALL_MS * 2},
        {"capacity": {"cpu": -1, "memMb": 1, "gpu": 1}},
        {"capacity": {"cpu": 10**30, "memMb": 1, "gpu": 1}},
    ],
    ids=lambda odd: str(odd)[:40],
)
def test_an_odd_heartbeat_names_no_minion(
    context: SimpleNamespace, odd: dict[str, object]
) -> None:
    assert parse_heartbeat(context, json.dumps(HEARTBEAT | odd).encode()) is None
    assert context.world.log_lines


@pytest.mark.parametrize(
    "body",
    [
        b"\xff\xfe",
        NESTED.encode(),
        b'{"service":"\\ud800"}',
        json.dumps(HEARTBEAT).replace("1024", "9" * 5_000).encode(),
    ],
    ids=["not UTF-8", "nested", "surrogate", "5,000 digits"],
)
def test_a_body_that_cannot_be_read_is_refused(
    context: SimpleNamespace, body: bytes
) -> None:
    assert parse_heartbeat(context, body) is None


def request_hold(context: SimpleNamespace, body: bytes) -> HoldMinionAnswered | None:
    async def exchange(*args: object) -> Response:
        return Response(200, body)

    context.client = SimpleNamespace(exchange=exchange)
    incarnation = MinionIncarnation("m-0", WALL_MS)
    message = HoldMinion(Address("10.0.0.2", 8080), incarnation, 1, 0, 0, None)
    answers: list[HoldMinionAnswered] = []
    pending = ensureDeferred(_request_hold(context, message))
    pending.addCallbacks(answers.append, lambda failure: None)
    return answers[0] if answers else None


@pytest.mark.parametrize(
    "row",
    [
        [7, 1, "", 5],
        [TASK],
        [TASK, 1, None, 5],
        [TASK, 10**30, "", 5],
        [TASK, "x", "", 5],
        ["no task", 1, "", 5],
        {"task": TASK},
        None,
        [],
    ],
    ids=str,
)
def test_an_odd_row_does_not_hide_the_other_runs(
    context: SimpleNamespace, row: object
) -> None:
    running = [row, [TASK, 3, "", 41]]
    ended = [row, [58, TASK, 1, "done", ""], [59, TASK, 2, "odd", ""]]
    body = {"clockMs": 5, "running": running, "finishedRuns": ended}
    answer = request_hold(context, json.dumps(body).encode())
    assert answer is not None
    assert [run.run for run in answer.running] == [3]
    assert [end.number for end in answer.ended] == [58]


@pytest.mark.parametrize(
    ("ends", "is_whole"), [(MAX_LISTED_ENDS - 1, True), (MAX_LISTED_ENDS, False)]
)
def test_a_full_list_of_ends_says_nothing_about_further_ends(
    context: SimpleNamespace, ends: int, is_whole: bool
) -> None:
    rows = [[number, TASK, number, "done", ""] for number in range(1, ends + 1)]
    body = {"clockMs": 5, "running": [], "finishedRuns": rows}
    answer = request_hold(context, json.dumps(body).encode())
    assert answer is not None
    assert answer.is_whole is is_whole


@pytest.mark.parametrize(
    "body",
    [b"\xff", NESTED.encode(), b'{"clockMs":"x"}', b"[]"],
    ids=["not UTF-8", "nested", "text", "list"],
)
def test_an_answer_that_cannot_be_read_ends_the_request(
    context: SimpleNamespace, body: bytes
) -> None:
    assert request_hold(context, body).reason


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (200, {"clockMs": 5}, OrderOutcome.DONE),
        (200, {"clockMs": 5, "born": WALL_MS}, OrderOutcome.DONE),
        (200, {"clockMs": 5, "born": WALL_MS + 1}, OrderOutcome.UNKNOWN),
        (409, {"clockMs": 5, "reason": "room"}, OrderOutcome.REFUSED),
        (409, {"reason": "room", "born": WALL_MS + 1}, OrderOutcome.UNKNOWN),
        (503, "overloaded", OrderOutcome.BUSY),
    ],
)
def test_an_answer_of_the_next_incarnation_says_nothing_about_a_start(
    context: SimpleNamespace, status: int, body: object, expected: OrderOutcome
) -> None:
    async def exchange(*args: object) -> Response:
        return Response(status, json.dumps(body).encode())

    context.client = SimpleNamespace(exchange=exchange)
    message = StartRun(
        Address("10.0.0.2", 8080),
        MinionIncarnation("m-0", WALL_MS),
        1,
        StartOrder(TaskName.parse(TASK), 1, "spec", ""),
        9_000,
    )
    answers: list[OrderAnswered] = []
    context.deliver = answers.append
    send_start(context, message)
    assert [answer.outcome for answer in answers] == [expected]
