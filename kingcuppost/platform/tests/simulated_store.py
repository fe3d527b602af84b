"""The store behind a link of limited bandwidth, in simulated time."""

import base64
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from twisted.internet.error import ConnectionDone, TCPTimedOutError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from kingcuppost.batch.edges.context import BatchContext
from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.fold import fold_streams
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.messages import Stream
from kingcuppost.edges.http_client import JsonClient
from kingcuppost.platform.adapter_state import AdapterState
from kingcuppost.platform.framing import encode_keyed_record, frame_records
from kingcuppost.platform.settings import StoreLimits
from kingcuppost.platform.store import StoreClient
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock
from standins.batch.store import Store

__all__ = ["STORE", "SimulatedEntry"]

STORE = Address("10.9.0.1", 9000)
OWN_ADDRESS = Address("10.0.0.1", 7000)
STEP_MS = 5
BYTES_PER_KB = 1_024
RECORD_BYTES = 65_536
REQUEST_BYTES = 1_048_576
DEFAULT_MAX_KB = 1_024
OFFSET_BYTES = 8
STREAMS = {
    "keyed.jobs": Stream.JOBS,
    "keyed.members": Stream.MEMBERS,
    "keyed.op": Stream.OPERATORS,
}


class _Transport(StringTransport):
    """A connection of the entry that its side can close or abort."""

    def loseConnection(self) -> None:  # noqa: N802
        self.disconnecting = True

    abortConnection = loseConnection  # noqa: N815


@dataclass
class _Connection:
    """A connection from the entry to the store.

    Attributes
    ----------
    protocol, transport : object
        The entry's side.
    request : tuple or None
        Path, fields and time of a read that waits for records.
    unsent : bytes
        Part of an answer that the link has not carried yet.
    """

    protocol: Any
    transport: _Transport
    request: tuple[str, dict[str, str], int] | None = None
    unsent: bytes = b""


@dataclass
class SimulatedEntry:
    """An entry that reads the store over a slow link; time passes only in `run`.

    Attributes
    ----------
    bytes_per_ms : int
        Bandwidth of the entry's link.
    is_cut : bool
        Whether the link carries nothing, and new connections hang.
    page_size : int
        Number of keys on a page of a listing.
    on_page : callable
        Called after each page of a listing.
    odd_items : list
        Items of another writer at the start of each page of a listing.
    """

    bytes_per_ms: int = 625
    is_cut: bool = False
    page_size: int = 500
    on_page: Callable[[], None] = lambda: None
    odd_items: list[Any] = field(default_factory=list)
    store: Store = field(default_factory=Store)
    clock: ManualClock = field(default_factory=lambda: ManualClock(start_ms=1_000))
    reactor: Any = field(default_factory=MemoryReactorClock)
    _connections: list[_Connection] = field(default_factory=list)
    # attempts to connect, by index: when they began, and which are over
    _connect_times_s: dict[int, float] = field(default_factory=dict)
    _done: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        cfg = DaemonConfig(Role.ENTRY, "entry-0", "z", OWN_ADDRESS, (OWN_ADDRESS,))
        self.world = make_batch_world(cfg, self.clock, seed=1)
        client = JsonClient(self.reactor, self.world.tally)
        self.context = BatchContext(self.world, self.reactor, client, lambda: None)
        self.context.adapter_state = AdapterState(
            StoreClient(self.context, STORE), StoreLimits(RECORD_BYTES, REQUEST_BYTES)
        )

    def append(self, stream: Stream, key: str, value: bytes) -> None:
        """Append a record to the store."""
        self.store.append(stream, [(key, value)])

    def run(self, duration_ms: int) -> None:
        """Let time pass: carry bytes, fire timers, fold what was read."""
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            self.reactor.advance(STEP_MS / 1_000)
            self._carry()
            fold_streams(self.world, self.clock.now_ms())

    def _carry(self) -> None:
        self._close_aborted_connections()
        self._time_out_connects()
        if self.is_cut:
            return
        self._accept_connections()
        for conn in self._connections:
            self._receive_request(conn)
        budget = self.bytes_per_ms * STEP_MS
        for conn in list(self._connections):
            part, conn.unsent = conn.unsent[:budget], conn.unsent[budget:]
            budget -= len(part)
            if part:
                conn.protocol.dataReceived(part)

    def _time_out_connects(self) -> None:
        """Fail the connects that hang, as the reactor of a process does."""
        attempts = zip(self.reactor.tcpClients, self.reactor.connectors, strict=True)
        for index, ((_, _, factory, timeout_s, _), connector) in enumerate(attempts):
            started_s = self._connect_times_s.setdefault(index, self.reactor.seconds())
            waited_s = self.reactor.seconds() - started_s
            if index in self._done or connector.stoppedConnecting:
                self._done.add(index)
            elif waited_s >= timeout_s:
                self._done.add(index)
                factory.clientConnectionFailed(connector, Failure(TCPTimedOutError()))

    def _accept_connections(self) -> None:
        for index, (_, _, factory, _, _) in enumerate(self.reactor.tcpClients):
            if index in self._done:
                continue
            self._done.add(index)
            protocol = factory.buildProtocol(None)
            transport = _Transport()
            protocol.makeConnection(transport)
            self._connections.append(_Connection(protocol, transport))

    def _close_aborted_connections(self) -> None:
        for conn in list(self._connections):
            if conn.transport.disconnecting:
                self._connections.remove(conn)
                conn.protocol.connectionLost(Failure(ConnectionDone()))

    def _receive_request(self, conn: _Connection) -> None:
        text = conn.transport.value()
        if text.endswith(b"\r\n\r\n"):
            conn.transport.clear()
            url = urlsplit(text.split(b" ")[1].decode())
            fields = dict(parse_qsl(url.query))
            conn.request = (url.path, fields, self.clock.now_ms())
        if conn.request is None:
            return
        is_known = conn.request[0].startswith("/kingcuppost/log-")
        body = self._answer(*conn.request) if is_known else b""
        if body is not None:
            conn.request = None
            status = "200 OK" if is_known else "404 Not Found"
            head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
            conn.unsent += head.encode() + body

    def _answer(self, path: str, fields: dict[str, str], asked_ms: int) -> bytes | None:
        """Return the body of an answer; None while the read waits for records."""
        stream = STREAMS[fields["topic"]]
        if path.endswith("log-newest"):
            return self._answer_listing(stream, fields.get("dependsOn", ""))
        start = int(fields["from"])
        max_bytes = int(fields.get("maxKb", DEFAULT_MAX_KB)) * BYTES_PER_KB
        wait_until_ms = asked_ms + int(fields.get("waitMs", 0))
        records = self.store.read(stream, start)
        if not records and self.clock.now_ms() < wait_until_ms:
            return None
        framed = [frame_records([encode_keyed_record(*row)]) for row in records]
        body = b""
        while framed and (not body or len(body) + len(framed[0]) <= max_bytes):
            body += framed.pop(0)
        end = self.store.end(stream)
        return end.to_bytes(OFFSET_BYTES, "big") + bytes(OFFSET_BYTES) + body

    def _answer_listing(self, stream: Stream, after_key: str) -> bytes:
        rows = sorted(
            (key, base64.b64encode(value).decode(), offset)
            for offset, key, value in self.store.newest(stream)
            if key > after_key
        )
        items = [
            {"key": key, "value": value, "offset": offset}
            for key, value, offset in rows[: self.page_size]
        ]
        more = len(rows) > self.page_size
        page = {
            "items": [*self.odd_items, *items],
            "more": more,
            "end": self.store.end(stream),
        }
        self.on_page()
        return json.dumps(page).encode()
