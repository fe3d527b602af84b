"""Orders to the minion beside a sidecar: starts and stops of runs."""

import json

from pydantic import ValidationError

from kingcuppost.batch.edges.context import (
    BatchContext,
    batch_senders,
    deliver_later,
)
from kingcuppost.batch.tables.job import MinionIncarnation
from kingcuppost.batch.tables.messages import (
    OrderAnswered,
    OrderOutcome,
    StartRun,
    StopRun,
)
from kingcuppost.exception import PeerError
from kingcuppost.models.base import Amount
from kingcuppost.platform.minion_models import (
    INSTANCE_HEADER,
    MAX_REASON_BYTES,
    STATUS_OK,
    PlatformModel,
)

__all__: list[str] = []

ORDER_TIMEOUT_MS = 600
BUSY_STATUSES = (429, 503)


class _OrderReplyModel(PlatformModel):
    born: Amount = 0


@batch_senders.register(StartRun)
def send_start(context: BatchContext, message: StartRun) -> None:
    """Send the minion an order to start a run."""
    order = message.order
    body = {
        "task": str(order.task),
        "run": order.run,
        "spec": order.spec,
        "deadlineMs": message.deadline_ms,
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
