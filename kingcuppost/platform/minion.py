"""Heartbeats of the minion beside a sidecar, and requests to it."""

import json
from collections.abc import Callable, Iterator
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError
from twisted.web.server import Request

from kingcuppost.batch.edges.context import (
    BatchContext,
    batch_senders,
    deliver_later,
)
from kingcuppost.batch.edges.server import answer, surfaces
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
from kingcuppost.models.addresses import AddressText
from kingcuppost.models.base import Amount, format_validation_error
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils.addresses import parse_address

__all__: list[str] = []

HEARTBEAT_PATH_PREFIX = "/kingcuppost/instances/"
INSTANCE_HEADER = "Expect-Instance"
ORDER_TIMEOUT_MS = 600
HOLD_MARGIN_MS = 700  # added to the time for which the minion may wait
MAX_REASON_BYTES = 100
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
BUSY_STATUSES = (429, STATUS_UNAVAILABLE)
RUNNING_COLUMNS = 4
# of a minion's start, since clocks of machines differ
MAX_CLOCK_AHEAD_MS = 60_000


class _PlatformModel(BaseModel):
    """A message of the minion, or a part of it; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class _CapacityModel(_PlatformModel):
    # thousandths of a core
    cpu: Amount
    memory_mb: Amount = Field(alias="memMb")
    # accelerators
    gpu: Amount = 0


class _HeartbeatModel(_PlatformModel):
    service: str
    address: AddressText
    zone: str
    state: str = Field(pattern="^(ready|draining)$")
    sequence: Amount
    # Unix time in ms of the minion's start; 0 if it is not reported
    born: Amount = 0
    capacity: _CapacityModel
    labels: tuple[str, ...] = ()
    # minimum time left while it drains, in ms
    remaining_ms: Amount = Field(0, alias="remainingMs")


class _HoldReplyModel(_PlatformModel):
    # time of the answer on the minion's clock, in ms
    clock_ms: Amount = Field(alias="clockMs")
    born: Amount = 0
    running: tuple[Any, ...] = ()
    finished: tuple[Any, ...] = Field((), alias="finishedRuns")


class _OrderReplyModel(_PlatformModel):
    born: Amount = 0


# task, run, checkpoint, percentage of work done; more columns may follow
_RunningRow = TypeAdapter(tuple[str, Amount, str, int])
# number, task, run, kind of end, checkpoint
_EndedRow = TypeAdapter(tuple[Amount, str, Amount, RunEnd, str])


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
            MinionIncarnation(minion, 0), "", "", (), Resources(), True, 0, False, False
        )
        return MinionHeartbeat(Address("", 0), report, 0, has_left=True)
    try:
        model = _HeartbeatModel.model_validate_json(request.content.read())
    except ValidationError as exc:
        context.world.note(
            "minion", "A heartbeat is invalid.", reason=format_validation_error(exc)
        )
        return None
    if model.born > context.world.clock.wall_ms() + MAX_CLOCK_AHEAD_MS:
        # later heartbeats of the true minion would count as older
        context.world.note(
            "minion", "A heartbeat is invalid.", reason="born: is in the future"
        )
        return None
    address = parse_address(model.address)
    report = MinionReport(
        MinionIncarnation(minion, model.born),
        model.service,
        model.zone,
        model.labels,
        Resources(model.capacity.cpu, model.capacity.memory_mb, model.capacity.gpu),
        model.state == "draining",
        model.remaining_ms,
        listed=False,
        in_contact=False,
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
        return _parse_hold_reply(context, incarnation, sent_ms, now_ms, response.body)
    except ValueError as exc:
        return HoldMinionAnswered(
            incarnation, sent_ms, now_ms, reason=f"invalid lists of runs: {exc}"
        )


def _parse_hold_reply(
    context: BatchContext,
    incarnation: MinionIncarnation,
    sent_ms: int,
    now_ms: int,
    body: bytes,
) -> HoldMinionAnswered:
    model = _HoldReplyModel.model_validate_json(body)
    if model.born and model.born != incarnation.born_ms:
        return HoldMinionAnswered(
            incarnation,
            sent_ms,
            now_ms,
            reason="another incarnation of the minion answered",
        )
    running = tuple(_parse_rows(context, model.running, _parse_running_run))
    ended = tuple(_parse_rows(context, model.finished, _parse_ended_run))
    return HoldMinionAnswered(
        incarnation, sent_ms, now_ms, model.clock_ms, running, ended
    )


def _parse_rows(
    context: BatchContext, rows: tuple[Any, ...], parse_row: Callable[[Any], Any]
) -> Iterator[Any]:
    """Yield the rows that can be read; log and skip the others."""
    for row in rows:
        try:
            yield parse_row(row)
        except ValidationError as exc:
            _log_skipped_row(context, format_validation_error(exc))
        except ValueError as exc:
            _log_skipped_row(context, str(exc))


def _log_skipped_row(context: BatchContext, reason: str) -> None:
    context.world.tally.add("rows_skipped")
    context.world.note("minion", "A row of a list of runs was skipped.", reason=reason)


def _parse_running_run(row: Any) -> RunningRun:
    columns = row[:RUNNING_COLUMNS] if isinstance(row, list) else row
    task, run, checkpoint, percent = _RunningRow.validate_python(columns)
    return RunningRun(TaskName.parse(task), run, checkpoint, percent)


def _parse_ended_run(row: Any) -> EndedRun:
    number, task, run, run_end, checkpoint = _EndedRow.validate_python(row)
    return EndedRun(number, TaskName.parse(task), run, run_end, checkpoint)


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
    if _is_from_other(message.incarnation, response.body):
        return make_answer(
            OrderOutcome.UNKNOWN, "another incarnation of the minion answered"
        )
    if response.status == STATUS_OK:
        return make_answer(OrderOutcome.DONE)
    text = response.body[:MAX_REASON_BYTES].decode("utf-8", "replace")
    reason = f"status {response.status} {text}"
    if response.status in BUSY_STATUSES:
        return make_answer(OrderOutcome.BUSY, reason)
    return make_answer(OrderOutcome.REFUSED, reason)


def _is_from_other(incarnation: MinionIncarnation, body: bytes) -> bool:
    """Return whether an answer to an order names another start of the minion.

    Answers without a start, or without a body that can be read, are not taken for one.
    """
    try:
        born_ms = _OrderReplyModel.model_validate_json(body).born
    except ValidationError:
        return False
    return born_ms not in (0, incarnation.born_ms)
