"""The minion beside a sidecar: its heartbeats, and calls to it."""

import json

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from twisted.web.server import Request

from kingcuppost.batch.edges.context import (
    BatchContext,
    batch_senders,
    deliver_later,
)
from kingcuppost.batch.edges.server import answer, surfaces
from kingcuppost.batch.models.addresses import parse_address
from kingcuppost.batch.tables.fleet import Resources
from kingcuppost.batch.tables.job import MinionIncarnation, RunEnd, TaskName
from kingcuppost.batch.tables.messages import (
    EndedRun,
    HoldMinion,
    HoldMinionAnswered,
    MinionHeartbeat,
    MinionReport,
    OrderAnswered,
    OrderOutcome,
    RunningRun,
    StartRun,
    StopRun,
)
from kingcuppost.exception import PeerError
from kingcuppost.models.base import format_validation_error
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role

__all__: list[str] = []

BEATS = "/kingcuppost/instances/"
INSTANCE_HEADER = "Expect-Instance"
ORDER_TIMEOUT_MS = 600
HOLD_MARGIN_MS = 700
STATUS_OK = 200
STATUS_BAD = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_OTHER_LIFE = 421
STATUS_UNAVAILABLE = 503
BUSY = (429, STATUS_UNAVAILABLE)


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _CapacityModel(_Model):
    # thousandths of a core
    cpu: int
    memory_mb: int = Field(alias="memMb")
    # accelerators
    gpu: int = 0


class _BeatModel(_Model):
    service: str
    address: str
    zone: str
    state: str = Field(pattern="^(ready|draining)$")
    sequence: int
    # Unix ms of the minion's start; 0 where it is not told
    born: int = 0
    capacity: _CapacityModel
    labels: tuple[str, ...] = ()
    # least time left while it drains, in ms
    remaining_ms: int = Field(0, alias="remainingMs")


class _ListsModel(_Model):
    clock_ms: int = Field(alias="clockMs")
    born: int = 0
    # rows of task, run, checkpoint and share of work done or paced; more may follow
    running: tuple[tuple, ...] = ()
    # rows of number, task, run, how it ended, checkpoint
    finished: tuple[tuple, ...] = Field((), alias="finishedRuns")


@surfaces.register("heartbeats")
def serve_heartbeat(context: BatchContext, request: Request) -> None:
    """Take a heartbeat or a farewell of the minion, and acknowledge it at once."""
    path = request.path.decode("utf-8", "replace")
    if not path.startswith(BEATS):
        answer(request, STATUS_NOT_FOUND)
        return
    if context.world.cfg.role is not Role.SIDECAR:
        answer(request, STATUS_UNAVAILABLE)
        return
    minion = path.removeprefix(BEATS)
    heard = _heard(context, request, minion)
    if heard is None:
        answer(request, STATUS_BAD)
        return
    context.deliver(heard)
    answer(request, STATUS_OK, b"{}")


def _heard(
    context: BatchContext, request: Request, minion: str
) -> MinionHeartbeat | None:
    if request.method == b"DELETE":
        report = MinionReport(
            MinionIncarnation(minion, 0), "", "", (), Resources(), True, 0, False
        )
        return MinionHeartbeat(Address("", 0), report, 0, gone=True)
    try:
        model = _BeatModel.model_validate_json(request.content.read())
        address = parse_address(model.address)
    except ValidationError as exc:
        context.world.note(
            "minion", "A heartbeat is unreadable.", reason=format_validation_error(exc)
        )
        return None
    except ValueError as exc:
        context.world.note("minion", "A heartbeat is unreadable.", reason=str(exc))
        return None
    report = MinionReport(
        MinionIncarnation(minion, model.born),
        model.service,
        model.zone,
        model.labels,
        Resources(model.capacity.cpu, model.capacity.memory_mb, model.capacity.gpu),
        model.state == "draining",
        model.remaining_ms,
        False,
    )
    return MinionHeartbeat(address, report, model.sequence)


@batch_senders.register(HoldMinion)
def send_hold(context: BatchContext, message: HoldMinion) -> None:
    """Ask the minion for its lists."""
    deliver_later(context, _hold(context, message))


async def _hold(context: BatchContext, message: HoldMinion) -> HoldMinionAnswered:
    body = {"fencingToken": message.term, "lastSeen": message.acknowledged_end}
    if message.wait_ms:
        body["waitMs"] = message.wait_ms
    if message.until_ms is not None:
        body["deadlineMs"] = message.until_ms
    clock = context.world.clock
    sent_ms = clock.now_ms()
    incarnation = message.incarnation
    try:
        response = await context.client.exchange(
            "POST",
            message.address,
            "/kingcuppost/hold",
            json.dumps(body).encode(),
            message.wait_ms + HOLD_MARGIN_MS,
            {INSTANCE_HEADER: incarnation.minion},
        )
    except PeerError as exc:
        return HoldMinionAnswered(incarnation, sent_ms, clock.now_ms(), reason=str(exc))
    now_ms = clock.now_ms()
    if response.status != STATUS_OK:
        text = response.body[:100].decode("utf-8", "replace")
        reason = f"status {response.status} {text}"
        return HoldMinionAnswered(incarnation, sent_ms, now_ms, reason=reason)
    try:
        return _lists(incarnation, sent_ms, now_ms, response.body)
    except ValueError as exc:
        return HoldMinionAnswered(
            incarnation, sent_ms, now_ms, reason=f"unreadable lists: {exc}"
        )


def _lists(
    incarnation: MinionIncarnation, sent_ms: int, now_ms: int, body: bytes
) -> HoldMinionAnswered:
    model = _ListsModel.model_validate_json(body)
    if model.born and model.born != incarnation.born_ms:
        return HoldMinionAnswered(
            incarnation, sent_ms, now_ms, reason="another life answered"
        )
    running = tuple(
        RunningRun(TaskName.parse(row[0]), int(row[1]), str(row[2]), int(row[3]))
        for row in model.running
    )
    ended = tuple(
        EndedRun(
            int(row[0]), TaskName.parse(row[1]), int(row[2]), RunEnd(row[3]), row[4]
        )
        for row in model.finished
    )
    return HoldMinionAnswered(
        incarnation, sent_ms, now_ms, model.clock_ms, running, ended
    )


@batch_senders.register(StartRun)
def send_start(context: BatchContext, message: StartRun) -> None:
    """Order a start."""
    order = message.order
    body = {
        "task": str(order.task),
        "run": order.run,
        "spec": order.spec,
        "deadlineMs": message.until_ms,
        "fencingToken": message.term,
    }
    if order.checkpoint:
        body["checkpoint"] = order.checkpoint
    deliver_later(context, _order(context, message, "run-start", body))


@batch_senders.register(StopRun)
def send_stop(context: BatchContext, message: StopRun) -> None:
    """Order a stop."""
    order = message.order
    body = {
        "task": str(order.task),
        "run": order.run,
        "fencingToken": message.term,
    }
    deliver_later(context, _order(context, message, "run-stop", body))


async def _order(
    context: BatchContext, message: StartRun | StopRun, name: str, body: dict
) -> OrderAnswered:
    order = message.order
    is_start = isinstance(message, StartRun)

    def answered(outcome: OrderOutcome, reason: str = "") -> OrderAnswered:
        return OrderAnswered(
            message.incarnation, order.task, order.run, is_start, outcome, reason
        )

    try:
        response = await context.client.exchange(
            "POST",
            message.address,
            f"/kingcuppost/{name}",
            json.dumps(body).encode(),
            ORDER_TIMEOUT_MS,
            {INSTANCE_HEADER: message.incarnation.minion},
        )
    except PeerError as exc:
        never = exc.step == "connect"
        return answered(OrderOutcome.BUSY if never else OrderOutcome.UNKNOWN, str(exc))
    if response.status == STATUS_OK:
        return answered(OrderOutcome.DONE)
    text = response.body[:100].decode("utf-8", "replace")
    reason = f"status {response.status} {text}"
    if response.status in BUSY:
        return answered(OrderOutcome.BUSY, reason)
    return answered(OrderOutcome.REFUSED, reason)
