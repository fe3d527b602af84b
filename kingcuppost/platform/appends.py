"""Appends to the product's streams, which are topics of the store."""

from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError

from kingcuppost.batch.edges.context import BatchContext, batch_senders, deliver_later
from kingcuppost.batch.models.records import encode_record
from kingcuppost.batch.tables.messages import Append, AppendEnded, AppendOutcome
from kingcuppost.exception import PeerError
from kingcuppost.platform.framing import encode_keyed_record, frame_records
from kingcuppost.platform.store import StoreReply
from kingcuppost.platform.topics import STATUS_OK, TOPICS, make_path

__all__: list[str] = []

PRODUCER = "scheduler"
STATUS_CONFLICT = 409
STATUS_PRECONDITION_FAILED = 412


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
    contents = [
        encode_keyed_record(*encode_record(record)) for record in message.records
    ]
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
    elif reply.may_have_run:
        outcome = AppendOutcome.UNKNOWN
    else:
        outcome = AppendOutcome.REFUSED
    return AppendEnded(message.id, outcome, body.offset, body.end, reason)
