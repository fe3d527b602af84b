"""Appends to the product's streams, which are topics of the store."""

from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError

from kingcuppost.batch.edges.context import BatchContext, batch_senders, deliver_later
from kingcuppost.batch.models.records import encode_record
from kingcuppost.batch.tables.messages import Append, AppendEnded, AppendOutcome
from kingcuppost.edges.http_limits import MAX_BODY_BYTES
from kingcuppost.exception import PeerError
from kingcuppost.platform.framing import encode_keyed_record, frame_records
from kingcuppost.platform.settings import StoreLimits
from kingcuppost.platform.store import StoreReply
from kingcuppost.platform.topics import STATUS_OK, TOPICS, make_path

__all__: list[str] = []

PRODUCER = "scheduler"
STATUS_CONFLICT = 409
STATUS_PRECONDITION_FAILED = 412
# bad request, forbidden topic, content too large: the same append fails again
INVALID_STATUSES = (400, 403, 413)


class _AppendReplyModel(BaseModel):
    """Answer to an append, with a reason if it was refused."""

    model_config = ConfigDict(extra="ignore")
    offset: int = -1
    end: int = -1
    reason: str = ""
    # number of the append that the store expects, if the append had another number
    sequence: int | None = None


@batch_senders.register(Append)
def send_append(context: BatchContext, message: Append) -> None:
    """Append records to a stream."""
    deliver_later(context, _append_records(context, message))


async def _append_records(context: BatchContext, message: Append) -> AppendEnded:
    fields: dict[str, Any] = {"topic": TOPICS[message.stream], "part": 0}
    if message.required_end is not None:
        fields["at"] = message.required_end
    if message.term is not None:
        fields.update(producer=PRODUCER, epoch=message.term, sequence=message.sequence)
    try:
        contents = _encode_records(message, context.adapter_state.limits)
    except ValueError as exc:
        return AppendEnded(message.id, AppendOutcome.INVALID, reason=str(exc))
    path = make_path("log-append", **fields)
    started_ms = context.world.clock.now_ms()
    try:
        reply = await context.adapter_state.store.call(
            "POST", path, frame_records(contents), message.timeout_ms
        )
    except PeerError as exc:
        never_sent = exc.step == "connect"
        outcome = AppendOutcome.REFUSED if never_sent else AppendOutcome.UNKNOWN
        return AppendEnded(message.id, outcome, reason=str(exc))
    duration_ms = context.world.clock.now_ms() - started_ms
    context.world.tally.observe("append", duration_ms, message.stream)
    return _parse_append_reply(message, reply)


def _encode_records(message: Append, limits: StoreLimits) -> list[bytes]:
    """Return the contents of the records.

    Raises
    ------
    ValueError
        If the store does not take a record or their total for their size.
    """
    contents = []
    for record in message.records:
        key, value = encode_record(record)
        content = encode_keyed_record(key, value)
        if len(content) > limits.record_bytes:
            raise ValueError(
                f"the record {key} has {len(content)} bytes, the limit is"
                f" {limits.record_bytes} bytes"
            )
        contents.append(content)
    total_bytes = len(frame_records(contents))
    # a relay takes no larger body, whatever the store takes
    limit_bytes = min(limits.request_bytes, MAX_BODY_BYTES)
    if total_bytes > limit_bytes:
        raise ValueError(
            f"the append has {total_bytes} bytes, the limit is {limit_bytes} bytes"
        )
    return contents


def _parse_append_reply(message: Append, reply: StoreReply) -> AppendEnded:
    try:
        body = _AppendReplyModel.model_validate_json(reply.body or b"{}")
    except ValidationError:
        body = _AppendReplyModel()
    if reply.status == STATUS_OK:
        return AppendEnded(message.id, AppendOutcome.DONE, body.offset, body.end)
    reason = f"status {reply.status} {body.reason}"
    if reply.status == STATUS_CONFLICT and body.reason == "fenced":
        outcome = AppendOutcome.FENCED
    elif reply.status in (STATUS_CONFLICT, STATUS_PRECONDITION_FAILED):
        outcome = AppendOutcome.CONFLICT
        reason += f" expected {body.sequence}"
    elif reply.status in INVALID_STATUSES:
        outcome = AppendOutcome.INVALID
    elif reply.may_have_run:
        outcome = AppendOutcome.UNKNOWN
    else:
        outcome = AppendOutcome.REFUSED
    return AppendEnded(message.id, outcome, body.offset, body.end, reason)
