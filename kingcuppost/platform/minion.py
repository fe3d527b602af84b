"""Heartbeats of the minion beside a sidecar, and requests to it."""

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

HEARTBEAT_PATH_PREFIX = "/kingcuppost/instances/"
INSTANCE_HEADER = "Expect-Instance"
ORDER_TIMEOUT_MS = 600
HOLD_MARGIN_MS = 700  # added to the time for which the minion may wait
MAX_REASON_BYTES = 100
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
BUSY_STATUSES = (429, STATUS_UNAVAILABLE)


class _PlatformModel(BaseModel):
    """A message of the minion, or a part of it; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class _CapacityModel(_PlatformModel):
    # thousandths of a core
    cpu: int
    memory_mb: int = Field(alias="memMb")
    # accelerators
    gpu: int = 0


class _HeartbeatModel(_PlatformModel):
    service: str
    address: str
    zone: str
    state: str = Field(pattern="^(ready|draining)$")
    sequence: int
    # Unix time in ms of the minion's start; 0 if it is not reported
    born: int = 0
    capacity: _CapacityModel
    labels: tuple[str, ...] = ()
    # minimum time left while it drains, in ms
    remaining_ms: int = Field(0, alias="remainingMs")


class _HoldReplyModel(_PlatformModel):
    # time of the answer on the minion's clock, in ms
    clock_ms: int = Field(alias="clockMs")
    born: int = 0
    # rows: task, run, checkpoint, percentage of work done; more columns may follow
    running: tuple[tuple, ...] = ()
    # rows: number, task, run, kind of end as in `RunEnd`, checkpoint
    finished: tuple[tuple, ...] = Field((), alias="finishedRuns")


@surfaces.register("heartbeats")
def serve_heartbeat(context: BatchContext, request: Request) -> None:
    """Deliver a heartbeat or a leave notice of the minion; acknowledge it at once."""
    path = request.path.decode("utf-8", "replace")
    if not path.startswith(HEARTBEAT_PATH_PREFIX):
        answer(request, STATUS_NOT_FOUND)
        return
    if context.world.cfg.role is not Role.SIDECAR:
        answer(request, STATUS_UNAVAILABLE)
        return
    minion = path.removeprefix(HEARTBEAT_PATH_PREFIX)
    heartbeat = _parse_heartbeat(context, request, minion)
    if heartbeat is None:
        answer(request, STATUS_BAD_REQUEST)
        return
    context.deliver(heartbeat)
    answer(request, STATUS_OK, b"{}")


def _parse_heartbeat(
    context: BatchContext, request: Request, minion: str
) -> MinionHeartbeat | None:
    if request.method == b"DELETE":
        report = MinionReport(
            MinionIncarnation(minion, 0), "", "", (), Resources(), True, 0, False
        )
        return MinionHeartbeat(Address("", 0), report, 0, has_left=True)
    try:
        model = _HeartbeatModel.model_validate_json(request.content.read())
        address = parse_address(model.address)
    except ValidationError as exc:
        context.world.note(
            "minion", "A heartbeat is invalid.", reason=format_validation_error(exc)
        )
        return None
    except ValueError as exc:
        context.world.note("minion", "A heartbeat is invalid.", reason=str(exc))
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
    """Request the minion's lists of runs; with `lease_until_ms`, extend its lease."""
    deliver_later(context, _request_hold(context, message))


async def _request_hold(
    context: BatchContext, message: HoldMinion
) -> HoldMinionAnswered:
    body = {"fencingToken": message.term, "lastSeen": message.acknowledged_end}
    if message.wait_ms:
        body["waitMs"] = message.wait_ms
    if message.lease_until_ms is not None:
        body["deadlineMs"] = message.lease_until_ms
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
        text = response.body[:MAX_REASON_BYTES].decode("utf-8", "replace")
        reason = f"status {response.status} {text}"
        return HoldMinionAnswered(incarnation, sent_ms, now_ms, reason=reason)
    try:
        return _parse_hold_reply(incarnation, sent_ms, now_ms, response.body)
    except ValueError as exc:
        return HoldMinionAnswered(
            incarnation, sent_ms, now_ms, reason=f"invalid lists of runs: {exc}"
        )


def _parse_hold_reply(
    incarnation: MinionIncarnation, sent_ms: int, now_ms: int, body: bytes
) -> HoldMinionAnswered:
    model = _HoldReplyModel.model_validate_json(body)
    if model.born and model.born != incarnation.born_ms:
        return HoldMinionAnswered(
            incarnation,
            sent_ms,
            now_ms,
            reason="another incarnation of the minion answered",
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
    """Send the minion an order to start a run."""
    order = message.order
    body = {
        "task": str(order.task),
        "run": order.run,
        "spec": order.spec,
        "deadlineMs": message.lease_until_ms,
        "fencingToken": message.term,
    }
    if order.checkpoint:
        body["checkpoint"] = order.checkpoint
    deliver_later(context, _send_order(context, message, "run-start", body))


@batch_senders.register(StopRun)
def send_stop(context: BatchContext, message: StopRun) -> None:
    """Send the minion an order to stop a run."""
    order = message.order
    body = {
        "task": str(order.task),
        "run": order.run,
        "fencingToken": message.term,
    }
    deliver_later(context, _send_order(context, message, "run-stop", body))


async def _send_order(
    context: BatchContext, message: StartRun | StopRun, endpoint: str, body: dict
) -> OrderAnswered:
    order = message.order
    is_start = isinstance(message, StartRun)

    def make_answer(outcome: OrderOutcome, reason: str = "") -> OrderAnswered:
        return OrderAnswered(
            message.incarnation, order.task, order.run, is_start, outcome, reason
        )

    try:
        response = await context.client.exchange(
            "POST",
            message.address,
            f"/kingcuppost/{endpoint}",
            json.dumps(body).encode(),
            ORDER_TIMEOUT_MS,
            {INSTANCE_HEADER: message.incarnation.minion},
        )
    except PeerError as exc:
        never_sent = exc.step == "connect"
        return make_answer(
            OrderOutcome.BUSY if never_sent else OrderOutcome.UNKNOWN, str(exc)
        )
    if response.status == STATUS_OK:
        return make_answer(OrderOutcome.DONE)
    text = response.body[:MAX_REASON_BYTES].decode("utf-8", "replace")
    reason = f"status {response.status} {text}"
    if response.status in BUSY_STATUSES:
        return make_answer(OrderOutcome.BUSY, reason)
    return make_answer(OrderOutcome.REFUSED, reason)
