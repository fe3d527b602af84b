"""Stand-in of the platform's store: keyed logs over HTTP, as PROTOCOL.md describes."""

import asyncio
import base64
import contextlib
import json
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from http_io import Answer, Call

APPEND_S = 0.004
PAGE_ITEMS = 500
KEPT_RESULTS = 5
LOST = Answer(-1)


@dataclass
class Topic:
    """One keyed topic with its single partition."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, int] = field(default_factory=dict)
    epoch: int = -1
    sequence: int = -1
    results: dict[int, bytes] = field(default_factory=dict)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    changed: asyncio.Event = field(default_factory=asyncio.Event)


def decode_records(body: bytes) -> list[tuple[str, bytes]]:
    """Return key and value of each record in the body of an append."""
    rows, position = [], 0
    while position < len(body):
        size = struct.unpack_from(">I", body, position)[0]
        content = body[position + 4 : position + 4 + size]
        rows.append((content[1 : 1 + content[0]].decode(), content[1 + content[0] :]))
        position += 4 + size
    return rows


class Store:
    """The store; a case sets `is_down`, `slow_factor` or `fate` as its disruption.

    `fate` gets the topic and the keys of an append. It returns None for an ordinary
    append, or the seconds after which the append is done without an answer.
    """

    def __init__(self, record: Callable[[str], None]) -> None:
        self.topics: dict[str, Topic] = {}
        self.is_down = False
        self.slow_factor = 1.0
        self.fate: Callable[[str, list[str]], float | None] = lambda topic, keys: None
        self.appends = 0
        self.appends_lost = 0
        self._record = record

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def write(self, name: str, key: str, value: bytes) -> None:
        """Append a record of the operator."""
        self._apply(self.topic(name), [(key, value)])

    async def handle(self, call: Call) -> Answer:
        """Serve one call."""
        if self.is_down:
            return LOST
        if call.path == "/kingcuppost/log-append":
            return await self._append(call)
        if call.path == "/kingcuppost/log-read":
            return await self._read(call)
        if call.path == "/kingcuppost/log-newest":
            return await self._newest(call)
        return Answer(404)

    async def _append(self, call: Call) -> Answer:
        name = call.query["topic"]
        rows = decode_records(call.body)
        self.appends += 1
        late_s = self.fate(name, [key for key, _ in rows])
        if late_s is not None:
            self.appends_lost += 1
            self._record(f"store: append of {[k for k, _ in rows]} gets no answer")
            await asyncio.sleep(late_s)
            status, _ = await self._decide(call, self.topic(name), rows)
            self._record(f"store: late append of {[k for k, _ in rows]}: {status}")
            return LOST
        status, body = await self._decide(call, self.topic(name), rows)
        await asyncio.sleep(APPEND_S * (self.slow_factor - 1))
        return LOST if self.is_down else Answer(status, body)

    async def _decide(
        self, call: Call, topic: Topic, rows: list[tuple[str, bytes]]
    ) -> tuple[int, bytes]:
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            return self._decide_now(call.query, topic, rows)

    def _decide_now(
        self, query: dict[str, str], topic: Topic, rows: list[tuple[str, bytes]]
    ) -> tuple[int, bytes]:
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return 412, json.dumps({"end": end}).encode()
        if "epoch" not in query:
            return 200, self._apply(topic, rows)
        epoch, sequence = int(query["epoch"]), int(query.get("sequence", "0"))
        if epoch < topic.epoch:
            return 409, b'{"reason":"fenced"}'
        if epoch > topic.epoch:
            topic.epoch, topic.results = epoch, {}
        elif sequence in topic.results:
            return 200, topic.results[sequence]
        elif sequence != topic.sequence + 1:
            expected = {"reason": "seq", "sequence": topic.sequence + 1}
            return 409, json.dumps(expected).encode()
        topic.sequence = sequence
        topic.results[sequence] = self._apply(topic, rows)
        topic.results.pop(sequence - KEPT_RESULTS, None)
        return 200, topic.results[sequence]

    def _apply(self, topic: Topic, rows: list[tuple[str, bytes]]) -> bytes:
        offset = len(topic.records)
        for key, value in rows:
            topic.newest[key] = len(topic.records)
            topic.records.append((key, value))
            if not value:
                del topic.newest[key]
        topic.changed.set()
        topic.changed = asyncio.Event()
        return json.dumps({"offset": offset, "end": len(topic.records)}).encode()

    async def _read(self, call: Call) -> Answer:
        topic = self.topic(call.query["topic"])
        start = int(call.query["from"])
        wait_s = int(call.query.get("waitMs", "0")) / 1_000
        await asyncio.sleep(APPEND_S * (self.slow_factor - 1))
        if start >= len(topic.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.changed.wait(), wait_s)
        if self.is_down:
            return LOST
        body = struct.pack(">QQ", len(topic.records), 0)
        limit = int(call.query.get("maxKb", "1024")) * 1_024
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            if len(body) + len(content) > limit:
                break
            body += struct.pack(">I", len(content)) + content
        return Answer(200, body)

    async def _newest(self, call: Call) -> Answer:
        topic = self.topic(call.query["topic"])
        await asyncio.sleep(APPEND_S * self.slow_factor)
        if self.is_down:
            return LOST
        after = call.query.get("dependsOn", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.records[topic.newest[key]][1]).decode(),
                "offset": topic.newest[key],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        page = {
            "items": items,
            "more": len(keys) > PAGE_ITEMS,
            "end": len(topic.records),
        }
        return Answer(200, json.dumps(page).encode())
