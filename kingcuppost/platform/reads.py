"""Reads of the product's streams: listings of the newest records, and their sequel."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from expression import Result
from pydantic import Base64Bytes, BaseModel, ConfigDict, ValidationError

from kingcuppost.batch.edges.context import BatchContext
from kingcuppost.batch.models.records import decode_record
from kingcuppost.batch.tables.messages import JobRecord, Record, RecordsRead, Stream
from kingcuppost.exception import Failure, PeerError
from kingcuppost.models.base import format_validation_error
from kingcuppost.platform.framing import decode_keyed_record, decode_read_reply
from kingcuppost.platform.operators import decode_operator_record
from kingcuppost.platform.store import StoreClient, StoreReply
from kingcuppost.platform.topics import STATUS_OK, TOPICS, make_path

__all__ = ["Listing", "list_newest", "read_records"]

# `FRESH_MS` of the fold leaves time for a read that times out and one through a peer.
READ_MARGIN_MS = 400
LIST_TIMEOUT_MS = 800
# a relay passes an answer on once it is complete, so answers through it must be short;
# a record has at most 256 KB
MAX_READ_KB = 320
STATUS_GONE = 410


class _ItemModel(BaseModel):
    model_config = ConfigDict(extra="ignore")
    key: str
    value: Base64Bytes
    offset: int


class _ListingModel(BaseModel):
    model_config = ConfigDict(extra="ignore")
    items: list[Any] = []
    more: bool = False
    end: int


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


@dataclass(frozen=True, slots=True)
class Listing:
    """The newest record of each key of a stream.

    Attributes
    ----------
    read : RecordsRead
        The records; the next read starts at the end offset of the first page.
    ahead : dict of str to int
        Offsets of the records that were appended during the listing, by key. The next
        reads return the earlier records of these keys, too, which are outdated.
    """

    read: RecordsRead
    ahead: dict[str, int]


async def list_newest(
    context: BatchContext, store: StoreClient, stream: Stream, max_routes: int = 2
) -> Listing:
    """List the newest record of each key, page by page.

    Raises
    ------
    PeerError
        If a page was not answered.
    """
    sent_ms = context.world.clock.now_ms()
    items: list[_ItemModel] = []
    end = None
    last_key = None
    while True:
        fields = {"topic": TOPICS[stream], "part": 0}
        if last_key is not None:
            # `dependsOn` is the key after which the next page starts
            fields["dependsOn"] = last_key
        path = make_path("log-newest", **fields)
        reply = await store.call("GET", path, b"", LIST_TIMEOUT_MS, max_routes)
        page = _parse_page(reply, store)
        end = page.end if end is None else end
        page_items = list(_parse_items(context, stream, page.items))
        items += page_items
        if not page.more or not page_items:
            break
        last_key = page_items[-1].key
    records: list[tuple[int, Record]] = []
    for item in items:
        records += _decode_or_skip(context, stream, item.offset, item.key, item.value)
    # jobs come first: the fold ignores other records of a job that has no row yet
    records.sort(key=lambda row: (not isinstance(row[1], JobRecord), row[0]))
    read = RecordsRead(stream, records, sent_ms, end, is_complete=True)
    ahead = {item.key: item.offset for item in items if item.offset >= end}
    return Listing(read, ahead)


def _parse_page(reply: StoreReply, store: StoreClient) -> _ListingModel:
    if reply.status != STATUS_OK:
        raise PeerError(f"status {reply.status}", "list", str(store.address))
    try:
        return _ListingModel.model_validate_json(reply.body)
    except ValidationError as exc:
        raise PeerError("invalid listing", "list", str(store.address)) from exc


def _parse_items(
    context: BatchContext, stream: Stream, rows: list[Any]
) -> Iterator[_ItemModel]:
    """Yield the items of a page; log and skip those that are invalid."""
    for row in rows:
        try:
            yield _ItemModel.model_validate(row)
        except ValidationError as exc:
            _log_skipped_record(context, stream, -1, format_validation_error(exc))


async def read_records(
    context: BatchContext,
    store: StoreClient,
    stream: Stream,
    start_offset: int,
    wait_ms: int,
    ahead: Mapping[str, int],
) -> RecordsRead | None:
    """Return the records from an offset on; None if the stream lacks that offset.

    Records that are older than those in `ahead` are left out. At most `MAX_READ_KB`
    are read at once. A read uses only one route: after a timeout, the next read tries
    another one, and it must be answered before the stream counts as stale.

    Raises
    ------
    PeerError
        If the read was not answered.
    """
    sent_ms = context.world.clock.now_ms()
    path = make_path(
        "log-read",
        topic=TOPICS[stream],
        part=0,
        maxKb=MAX_READ_KB,
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
    duration_ms = context.world.clock.now_ms() - sent_ms
    context.world.tally.observe("read", duration_ms, stream)
    records = list(_decode_records(context, stream, start_offset, contents, ahead))
    next_offset = start_offset + len(contents)
    return RecordsRead(
        stream, records, sent_ms, next_offset, reaches_end=next_offset >= end
    )


def _decode_records(
    context: BatchContext,
    stream: Stream,
    start_offset: int,
    contents: list[bytes],
    ahead: Mapping[str, int],
) -> Iterator[tuple[int, Record]]:
    """Yield the records that can be decoded and are not outdated, with offsets."""
    for offset, content in enumerate(contents, start_offset):
        try:
            key, value = decode_keyed_record(content)
        except ValueError as exc:
            _log_skipped_record(context, stream, offset, str(exc))
            continue
        if offset < ahead.get(key, offset):
            continue
        yield from _decode_or_skip(context, stream, offset, key, value)
