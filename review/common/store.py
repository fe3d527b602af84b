"""Stand-in of the platform's store: keyed topics of one partition, as PROTOCOL.md says.

The operator writes through ``PUT /operator/KEY``, which only the test calls.
"""

import argparse
import asyncio
import base64
import contextlib
import json
import struct
import time
from dataclasses import dataclass, field

from http_json import Call, Reply, serve

RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
APPEND_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
REPEATS = 5
RECORD_EVERY = 500
OPERATOR_TOPICS = ("keyed.op", "keyed.servers")


@dataclass
class Topic:
    """Records of a partition, and what the store knows of its producers."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, int] = field(default_factory=dict)
    epochs: dict[str, int] = field(default_factory=dict)
    sequences: dict[str, int] = field(default_factory=dict)
    replies: dict[str, list[tuple[int, int, Reply]]] = field(default_factory=dict)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    grown: asyncio.Condition = field(default_factory=asyncio.Condition)


def split_records(body: bytes) -> list[bytes]:
    """Return the records in the body of an append."""
    records, position = [], 0
    while position < len(body):
        (size,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + size])
        position += 4 + size
    return records


def split_key(record: bytes) -> tuple[str, bytes]:
    """Return the key and the value of a keyed record."""
    size = record[0]
    return record[1 : 1 + size].decode(), record[1 + size :]


def as_json(status: int, **fields: object) -> Reply:
    """Return a reply with a JSON body."""
    return Reply(status, json.dumps(fields).encode())


class Store:
    """The store's calls."""

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = {}
        self._refusals = 0

    async def handle(self, call: Call) -> Reply:
        """Answer one call."""
        if call.path.startswith("/operator/"):
            return await self._put_operator(call)
        topic = self._topics.setdefault(call.query.get("topic", ""), Topic())
        if call.path == "/kingcuppost/log-append":
            if call.query["topic"] in OPERATOR_TOPICS:
                return as_json(403)
            async with topic.lock:
                await asyncio.sleep(APPEND_S)
                return await self._append(topic, call)
        if call.path == "/kingcuppost/log-read":
            return await self._read(topic, call)
        if call.path == "/kingcuppost/log-newest":
            return self._list(topic, call)
        return as_json(404)

    async def _put_operator(self, call: Call) -> Reply:
        key = call.path.removeprefix("/operator/").encode()
        topic = self._topics.setdefault("keyed.op", Topic())
        return await self._add(topic, [bytes([len(key)]) + key + call.body])

    async def _append(self, topic: Topic, call: Call) -> Reply:
        records = split_records(call.body)
        total = sum(len(record) for record in records)
        if total > REQUEST_BYTES or any(len(row) > RECORD_BYTES for row in records):
            self._record_refusal(records)
            return as_json(400, reason="size")
        if "at" in call.query and int(call.query["at"]) != len(topic.records):
            return as_json(412, end=len(topic.records))
        if "producer" not in call.query:
            return await self._add(topic, records)
        producer = call.query["producer"]
        epoch, sequence = int(call.query["epoch"]), int(call.query["sequence"])
        newest_epoch = topic.epochs.get(producer, -1)
        if epoch < newest_epoch:
            return as_json(409, reason="fenced")
        if epoch == newest_epoch and records:
            for old_epoch, old_sequence, reply in topic.replies[producer]:
                if (old_epoch, old_sequence) == (epoch, sequence):
                    return reply
            expected = topic.sequences[producer] + 1
            if sequence != expected:
                return as_json(409, reason="seq", sequence=expected)
        topic.epochs[producer] = epoch
        topic.sequences[producer] = sequence
        reply = await self._add(topic, records)
        replies = topic.replies.setdefault(producer, [])
        replies.append((epoch, sequence, reply))
        del replies[:-REPEATS]
        return reply

    def _record_refusal(self, records: list[bytes]) -> None:
        """Write a line for the first refused append and for each `RECORD_EVERY`th."""
        self._refusals += 1
        if self._refusals % RECORD_EVERY == 1:
            row = {
                "at": time.time(),
                "who": "store",
                "event": "refused an append",
                "count": self._refusals,
                "largest": max(len(record) for record in records),
            }
            print(json.dumps(row), flush=True)

    async def _add(self, topic: Topic, records: list[bytes]) -> Reply:
        offset = len(topic.records)
        for record in records:
            key, value = split_key(record)
            topic.newest[key] = len(topic.records)
            if not value:
                del topic.newest[key]
            topic.records.append(record)
        async with topic.grown:
            topic.grown.notify_all()
        return as_json(200, offset=offset, end=len(topic.records))

    async def _read(self, topic: Topic, call: Call) -> Reply:
        start = int(call.query["from"])
        wait_s = int(call.query.get("waitMs", 0)) / 1_000
        max_bytes = int(call.query.get("maxKb", 1_024)) * 1_024
        async with topic.grown:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    topic.grown.wait_for(lambda: len(topic.records) > start), wait_s
                )
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        for record in topic.records[start:]:
            size += 4 + len(record)
            if size > max_bytes:
                break
            parts.append(struct.pack(">I", len(record)) + record)
        return Reply(200, b"".join(parts))

    def _list(self, topic: Topic, call: Call) -> Reply:
        after = call.query.get("dependsOn")
        keys = sorted(key for key in topic.newest if after is None or key > after)
        items, size = [], 0
        for key in keys:
            offset = topic.newest[key]
            value = split_key(topic.records[offset])[1]
            size += len(value)
            if len(items) >= PAGE_ITEMS or (items and size > PAGE_BYTES):
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        more = len(items) < len(keys)
        return as_json(200, items=items, more=more, end=len(topic.records))


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("host")
    parser.add_argument("port", type=int)
    options = parser.parse_args()
    server = await serve(options.host, options.port, Store().handle)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
