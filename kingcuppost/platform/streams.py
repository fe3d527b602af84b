"""Reads from and appends to the product's streams, which are topics of the store."""

import base64
import json
from typing import Any
from urllib.parse import urlencode

from expression import Result
from pydantic import BaseModel, ConfigDict, ValidationError
from twisted.internet.defer import Deferred, ensureDeferred

from kingcuppost.batch.edges.context import (
    BatchContext,
    batch_senders,
    deliver_later,
)
from kingcuppost.batch.models.records import decode_record, encode_record
from kingcuppost.batch.systems.freshness import view_age_ms
from kingcuppost.batch.tables.messages import (
    Append,
    AppendEnded,
    AppendOutcome,
    JobRecord,
    ListMembers,
    Record,
    RecordsRead,
    Stream,
)
from kingcuppost.edges.loop import EXIT_SOFTWARE_ERROR
from kingcuppost.exception import Failure, PeerError
from kingcuppost.platform.framing import (
    decode_keyed_record,
    decode_read_reply,
    encode_keyed_record,
    frame_records,
)
from kingcuppost.platform.operators import decode_operator_record
from kingcuppost.platform.store import StoreClient, StoreReply

__all__ = ["follow_stream"]

TOPICS = {
    Stream.JOBS: "keyed.jobs",
    Stream.MEMBERS: "keyed.members",
    Stream.OPERATORS: "keyed.op",
}
# A read without an answer times out after READ_WAIT_MS + READ_MARGIN_MS = 1.4 s. This
# leaves time to read through a peer before the stream counts as stale after 2 s
# (`FRESH_MS` of the fold) and submissions are refused.
READ_WAIT_MS = 1_000
READ_MARGIN_MS = 400
LIST_TIMEOUT_MS = 1_500
# minimum delays; `_sleep` adds a random time of up to the same length
RETRY_DELAY_S = 0.15
FAILURE_LOG_PERIOD_MS = 1_000
FIRST_RETRY_DELAY_S = 0.02
PRODUCER = "scheduler"
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_PRECONDITION_FAILED = 412


class _ItemModel(BaseModel):
    model_config = ConfigDict(extra="ignore")
    key: str
    value: str
    offset: int


class _ListingModel(BaseModel):
    model_config = ConfigDict(extra="ignore")
    items: list[_ItemModel] = []
    more: bool = False
    end: int


class _AppendReplyModel(BaseModel):
    """Answer to an append, with a reason if it was refused."""

    model_config = ConfigDict(extra="ignore")
    offset: int = -1
    end: int = -1
    reason: str = ""
    # number of the append that the store expects, if the append had another number
    sequence: int | None = None


def _make_path(endpoint: str, **fields: Any) -> str:
    return f"/kingcuppost/{endpoint}?{urlencode(fields)}"


def _decode_record(
    stream: Stream, key: str, value: bytes, peer: str
) -> Result[Record, Failure]:
    if stream is Stream.OPERATORS:
        return decode_operator_record(key, value, peer)
    return decode_record(key, value, peer)


def _decode_or_skip(
    context: BatchContext, stream: Stream, offset: int, key: str, value: bytes
) -> list[tuple[int, Record]]:
    """Return a list with the offset and the record of a key and a value.

    If the record cannot be decoded, log this and return an empty list.
    """
    parsed = _decode_record(stream, key, value, f"{stream} {offset}")
    if parsed.is_error():
        _log_skipped_record(context, stream, offset, parsed.error.reason)
        return []
    return [(offset, parsed.ok)]


def _log_skipped_record(
    context: BatchContext, stream: Stream, offset: int, reason: str
) -> None:
    context.world.tally.add("records_skipped", stream)
    context.world.note(
        "log", "A record was skipped.", stream=stream, offset=offset, reason=reason
    )


async def _list_newest(
    context: BatchContext, store: StoreClient, stream: Stream
) -> RecordsRead:
    """Return the newest record of each key.

    Later reads continue at the end offset that the first page reports, so that they
    include the records that were appended during the listing.
    """
    sent_ms = context.world.clock.now_ms()
    records: list[tuple[int, Record]] = []
    end = None
    last_key = None
    while True:
        fields = {"topic": TOPICS[stream], "part": 0}
        if last_key is not None:
            # `dependsOn` is the key after which the next page starts
            fields["dependsOn"] = last_key
        path = _make_path("log-newest", **fields)
        reply = await store.call("GET", path, b"", LIST_TIMEOUT_MS)
        page = _parse_page(reply, store)
        end = page.end if end is None else end
        for item in page.items:
            value = base64.b64decode(item.value)
            records += _decode_or_skip(context, stream, item.offset, item.key, value)
        if not page.more or not page.items:
            break
        last_key = page.items[-1].key
    # jobs come first: the fold ignores other records of a job that has no row yet
    records.sort(key=lambda row: (not isinstance(row[1], JobRecord), row[0]))
    return RecordsRead(stream, records, sent_ms, end, is_complete=True)


def _parse_page(reply: StoreReply, store: StoreClient) -> _ListingModel:
    if reply.status != STATUS_OK:
        raise PeerError(f"status {reply.status}", "list", str(store.address))
    try:
        return _ListingModel.model_validate_json(reply.body)
    except ValidationError as exc:
        raise PeerError("invalid listing", "list", str(store.address)) from exc


async def _read_records(
    context: BatchContext,
    store: StoreClient,
    stream: Stream,
    start_offset: int,
    wait_ms: int,
) -> RecordsRead | None:
    """Return the records from an offset on; None if the stream lacks that offset.

    A read uses only one route: after a timeout, the next read tries a peer first, and
    it must be answered before the stream counts as stale.
    """
    sent_ms = context.world.clock.now_ms()
    path = _make_path(
        "log-read",
        topic=TOPICS[stream],
        part=0,
        waitMs=wait_ms,
        **{"from": start_offset},
    )
    reply = await store.call("GET", path, b"", wait_ms + READ_MARGIN_MS, max_routes=1)
    if reply.status == STATUS_GONE:
        return None
    if reply.status != STATUS_OK:
        raise PeerError(f"status {reply.status}", "read", str(store.address))
    try:
        end, _, contents = decode_read_reply(reply.body)
    except ValueError as exc:
        raise PeerError(str(exc), "read", str(store.address)) from exc
    if end < start_offset:
        return None
    records: list[tuple[int, Record]] = []
    for offset, content in enumerate(contents, start_offset):
        try:
            key, value = decode_keyed_record(content)
        except ValueError as exc:
            _log_skipped_record(context, stream, offset, str(exc))
            continue
        records += _decode_or_skip(context, stream, offset, key, value)
    context.world.tally.observe("read", context.world.clock.now_ms() - sent_ms, stream)
    return RecordsRead(stream, records, sent_ms, start_offset + len(contents))


def follow_stream(context: BatchContext, store: StoreClient, stream: Stream) -> None:
    """Follow a stream forever: list it, then read on; list it again after a gap.

    An unexpected error ends the process.
    """
    ensureDeferred(_follow_stream(context, store, stream)).addErrback(
        _stop_process, context
    )


def _stop_process(failure: Any, context: BatchContext) -> None:
    """End the process, since it can serve nobody without following the log."""
    context.world.note(
        "log", "Following a stream failed unexpectedly.", reason=failure.getTraceback()
    )
    context.wake()
    context.exit_code = EXIT_SOFTWARE_ERROR
    # the delay lets the next tick write the log line
    context.reactor.callLater(RETRY_DELAY_S, context.reactor.stop)


async def _follow_stream(
    context: BatchContext, store: StoreClient, stream: Stream
) -> None:
    next_offset: int | None = None
    failures = _ReadFailures(context, stream)
    while True:
        try:
            if next_offset is None:
                batch = await _list_newest(context, store, stream)
            else:
                # after a failure, a read does not wait for new records, so that its
                # answer restores the freshness of the stream sooner
                wait_ms = 0 if failures.count else READ_WAIT_MS
                batch = await _read_records(
                    context, store, stream, next_offset, wait_ms
                )
        except PeerError as exc:
            is_first = not failures.count
            failures.add(next_offset, exc)
            await _sleep(context, FIRST_RETRY_DELAY_S if is_first else RETRY_DELAY_S)
            continue
        failures.count = 0
        next_offset = batch.end if batch is not None else None
        if batch is not None:
            context.deliver(batch)


class _ReadFailures:
    """Counts the failed reads of a stream since the last answered one and logs them.

    The first failure is logged, and then at most one per `FAILURE_LOG_PERIOD_MS`.
    """

    def __init__(self, context: BatchContext, stream: Stream) -> None:
        self._context = context
        self._stream = stream
        self._log_after_ms = 0
        self.count = 0

    def add(self, offset: int | None, exc: PeerError) -> None:
        """Count a failure of a read from an offset; None stands for a listing."""
        world = self._context.world
        self.count += 1
        world.tally.add("reads_failed", self._stream)
        now_ms = world.clock.now_ms()
        if self.count > 1 and now_ms < self._log_after_ms:
            return
        self._log_after_ms = now_ms + FAILURE_LOG_PERIOD_MS
        world.note(
            "log",
            "A stream is not followed.",
            stream=self._stream,
            offset=-1 if offset is None else offset,
            failures=self.count,
            age_ms=view_age_ms(world, self._stream, now_ms),
            reason=str(exc),
        )
        self._context.wake()


def _sleep(context: BatchContext, min_delay_s: float) -> Deferred:
    """Return a deferred that fires after a random delay, at most twice the minimum."""
    done: Deferred = Deferred()
    delay_s = min_delay_s * (1 + context.world.rng.random())
    context.reactor.callLater(delay_s, done.callback, None)
    return done


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
    path = _make_path("log-append", **fields)
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
        body = _AppendReplyModel.model_validate(json.loads(reply.body or b"{}"))
    except ValueError:
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


@batch_senders.register(ListMembers)
def send_list_members(context: BatchContext, message: ListMembers) -> None:
    """Read the list of members from the store once."""
    deliver_later(context, _fetch_members(context))


async def _fetch_members(context: BatchContext) -> RecordsRead | None:
    try:
        return await _list_newest(context, context.adapter_state.store, Stream.MEMBERS)
    except PeerError as exc:
        context.world.note("log", "The members could not be listed.", reason=str(exc))
        return None
