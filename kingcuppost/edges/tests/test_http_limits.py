"""Limits on clients, applied by the protocol to connections without a network."""

import json

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from kingcuppost.edges.connection_guard import ConnectionGuard
from kingcuppost.edges.http_limits import BoundedChannel, BoundedRequest
from kingcuppost.tables.connections import ClientLimits, Connections
from kingcuppost.tables.metrics import Tally
from kingcuppost.utils.clock import ManualClock

GET = b"GET %s HTTP/1.1\r\n\r\n"
CHUNKED = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUEST = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


class Transport(StringTransport):
    """Transport that keeps its data as unsent until `drain` is called."""

    is_half_closed = False

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.is_half_closed = True

    def drain(self) -> None:
        if self.producer is not None and not self.streaming:
            self.producer.resumeProducing()


class Echo(Resource):
    """Answers with the size of the body at once, or keeps requests to ``/wait``."""

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[Request] = []

    def render(self, request: Request) -> bytes | int:
        self.requests.append(request)
        if request.path == b"/wait":
            return NOT_DONE_YET
        return b"%d" % len(request.content.read())


class Server:
    """A site with limits, whose time the test advances."""

    def __init__(self, **limits: int) -> None:
        self.reactor = Clock()
        self.clock = ManualClock()
        self.tally = Tally()
        self.lines: list[tuple] = []
        self.table = Connections(ClientLimits(**limits))
        self.resource = Echo()
        self.site = Site(
            self.resource, requestFactory=BoundedRequest, reactor=self.reactor
        )
        self.site.protocol = BoundedChannel
        self.site.unparsed_paths = {b"/relay"}
        self.site.guard = ConnectionGuard(
            self.table,
            self.reactor,
            self.clock,
            self.tally,
            lambda *line: self.lines.append(line),
        )

    def connect(self, *parts: bytes) -> Transport:
        transport = Transport()
        transport.protocol = self.site.buildProtocol(None)
        transport.protocol.makeConnection(transport)
        for part in parts:
            transport.protocol.dataReceived(part)
        return transport

    def advance(self, duration_ms: int) -> None:
        self.clock.advance(duration_ms)
        self.reactor.advance(duration_ms / 1_000)

    def count(self, kind: str) -> int:
        return self.tally.counts.get("clients_refused", {}).get((kind,), 0)

    def paths(self) -> list[bytes]:
        return [request.path for request in self.resource.requests]


@pytest.fixture
def server() -> Server:
    return Server()


def status_of(transport: Transport) -> bytes:
    return transport.value().partition(b"\r\n")[0].partition(b" ")[2][:3]


def body_of(transport: Transport) -> dict:
    return json.loads(transport.value().rpartition(b"\r\n\r\n")[2])


@pytest.mark.parametrize(
    "parts",
    [
        (REQUEST % 262_144, b"x" * 200_000, b"x" * 62_144),
        (CHUNKED, (b"400\r\n" + b"x" * 1_024 + b"\r\n") * 256 + b"0\r\n\r\n"),
        # a relayed append is binary, and its records may have many short values
        (REQUEST.replace(b"/x", b"/relay") % 262_144, b"," * 262_144),
    ],
    ids=["pieces", "chunks", "unparsed"],
)
def test_a_request_within_the_limits_is_served_and_releases_its_memory(
    server: Server, parts: tuple[bytes, ...]
) -> None:
    client = server.connect(parts[0])
    server.advance(2_999)
    for part in parts[1:]:
        client.protocol.dataReceived(part)
    assert status_of(client) == b"200"
    assert client.value().endswith(b"262144")
    client.drain()
    assert server.table.held_bytes == 0
    assert server.table.small_bytes == server.table.large_bytes == 0
    client.clear()
    client.protocol.dataReceived(REQUEST % 3 + b"abc")
    assert client.value().endswith(b"3")


def test_unfinished_bodies_stay_within_the_limit() -> None:
    """900 bodies that stopped one byte short once took 250 MB."""
    server = Server(held_bytes=2_097_152, connections=1_000)
    clients = []
    for _ in range(300):
        clients.append(server.connect(REQUEST % 262_144, *[b"x" * 65_535] * 4))
        assert server.table.held_bytes <= 2_097_152
    assert status_of(server.connect(REQUEST % 100 + b"x" * 100)) == b"200"
    assert server.count("memory") > 200
    assert len(server.lines) == 1
    refused = clients[0]
    assert status_of(refused) == b"503"
    assert b"Retry-After: 1\r\n" in refused.value()
    assert body_of(refused)["outcome"] == "not_run"
    server.advance(1_000)
    assert refused.disconnected


def test_a_paused_connection_is_resumed_and_completes() -> None:
    """A pause without a resumption would hold every large body until its timeout."""
    server = Server(held_bytes=400_000)
    stalled = server.connect(REQUEST % 262_144, b"x" * 262_143)
    paused = server.connect(REQUEST % 100_000, b"x" * 50_000)
    assert paused.producerState == "paused"
    stalled.protocol.connectionLost(None)
    assert paused.producerState == "producing"
    paused.protocol.dataReceived(b"x" * 50_000)
    assert status_of(paused) == b"200"


def test_a_paused_connection_still_ends_in_time_and_is_told_not_run() -> None:
    """The client was not slow: this process did not read the rest of its request."""
    server = Server(held_bytes=800_000)
    paused = server.connect(REQUEST % 100_000, b"x" * 50_000)
    server.advance(100)
    for _ in range(2):
        server.connect(REQUEST % 262_144, b"x" * 262_143)
    paused.protocol.dataReceived(b"x" * 30_000)
    assert paused.producerState == "paused"
    server.advance(4_900)
    assert status_of(paused) == b"503"
    assert server.count("memory") == 1
    server.advance(1_000)
    assert paused.disconnected
    assert server.table.held_bytes == 0


@pytest.mark.parametrize(
    ("parts", "kind"),
    [
        ([b"GET / HTTP/1.1\r\nHo"], "head_time"),
        ([REQUEST % 10, b"x"], "body_time"),
        ([GET % b"/"], "unread_time"),
    ],
)
def test_a_client_that_stops_halfway_is_disconnected(
    server: Server, parts: list[bytes], kind: str
) -> None:
    client = server.connect(*parts)
    server.advance(3_900)  # a head may take 3 s
    assert not client.disconnected
    if kind == "body_time":
        client.protocol.dataReceived(b"x")
    server.advance(6_100)
    assert client.disconnected
    assert server.count(kind) == 1


def test_the_longest_waiting_connection_is_closed_for_a_new_one() -> None:
    server = Server(connections=3)
    serving = server.connect(GET % b"/wait")
    idle = server.connect()
    server.advance(1_000)
    unfinished = server.connect(b"GET / HT")
    server.advance(1_000)
    server.connect(GET % b"/wait")
    assert unfinished.disconnected
    assert not idle.disconnected
    server.connect(GET % b"/wait")
    assert idle.disconnected
    newest = server.connect()
    assert newest.disconnected
    assert not serving.disconnected
    assert server.count("connections") == 3
    server.resource.requests[0].finish()
    assert status_of(serving) == b"200"


def test_no_pipelined_request_is_processed_while_an_answer_is_unread(
    server: Server,
) -> None:
    """Answers of requests that were pipelined without reading grew without limit."""
    client = server.connect(b"".join(GET % path for path in (b"/0", b"/1", b"/2")))
    assert server.paths() == [b"/0"]
    assert client.producerState == "paused"
    client.drain()
    assert server.paths() == [b"/0", b"/1"]
    client.drain()
    client.drain()
    assert server.paths() == [b"/0", b"/1", b"/2"]
    assert client.producerState == "producing"
    assert server.table.held_bytes == 0


def test_read_ahead_is_dropped_when_memory_is_short() -> None:
    server = Server(held_bytes=65_536)
    client = server.connect(GET % b"/wait", (GET % b"/late") * 3_000)
    server.connect(REQUEST % 100 + b"x" * 50)
    server.resource.requests[0].finish()
    client.drain()
    assert b"connection: close" in client.value().lower()
    assert server.paths() == [b"/wait"]
    assert client.disconnecting


@pytest.mark.parametrize(
    ("data", "status", "kind"),
    [
        (REQUEST % 2_000_000, b"413", "body_bytes"),
        (b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 501, b"431", "head_fields"),
        (GET % (b"/?" + b"a&" * 20), b"400", "query_fields"),
        (REQUEST % 262_144 + b"[" + b"{}," * 87_381, b"413", "body_fields"),
        (CHUNKED + b"1\r\nx\r\n" * 2_000, b"413", "body_chunks"),
        (CHUNKED + b"0\r\n" + b"a\r\n" * 999, b"413", "body_chunks"),
    ],
)
def test_a_request_over_a_limit_is_refused_as_not_run(
    server: Server, data: bytes, status: bytes, kind: str
) -> None:
    client = server.connect(data)
    assert status_of(client) == status
    assert body_of(client)["outcome"] == "not_run"
    assert not server.paths()
    assert server.count(kind) == 1
    client.protocol.dataReceived(b"x" * 1_000_000)
    assert server.table.held_bytes == 0
    server.advance(1_100)
    assert client.disconnected
