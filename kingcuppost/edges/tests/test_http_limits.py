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

REQUEST = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


class ReactorClock:
    """Clock of the process that reads the test's reactor."""

    def __init__(self, reactor: Clock) -> None:
        self._reactor = reactor

    def now_ms(self) -> int:
        return round(self._reactor.seconds() * 1_000)


class Transport(StringTransport):
    """Transport that keeps its data as unsent until `drain` is called."""

    is_half_closed = False

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.is_half_closed = True

    def drain(self) -> None:
        if self.producer is not None and not self.streaming:
            self.producer.resumeProducing()


class Echo(Resource):
    """Answers with the number of bytes at once, or keeps requests to ``/wait``."""

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self.paths: list[bytes] = []
        self.waiting: list[Request] = []

    def render(self, request: Request) -> bytes | int:
        self.paths.append(request.path)
        if request.path == b"/wait":
            self.waiting.append(request)
            return NOT_DONE_YET
        return b"%d" % len(request.content.read())


class Server:
    """A site with limits, whose reactor the test advances."""

    def __init__(self, **limits: int) -> None:
        self.reactor = Clock()
        self.tally = Tally()
        self.lines: list[tuple[str, int]] = []
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
            ReactorClock(self.reactor),
            self.tally,
            lambda kind, peer, count: self.lines.append((kind, count)),
        )

    def connect(self, *parts: bytes) -> Transport:
        channel = self.site.buildProtocol(None)
        transport = Transport()
        transport.protocol = channel
        channel.makeConnection(transport)
        for part in parts:
            channel.dataReceived(part)
        return transport

    def count(self, kind: str) -> int:
        return self.tally.counts.get("clients_refused", {}).get((kind,), 0)

    def disconnect(self, transport: Transport) -> None:
        transport.protocol.connectionLost(None)


@pytest.fixture
def server() -> Server:
    return Server()


def status_of(transport: Transport) -> bytes:
    return transport.value().partition(b"\r\n")[0].partition(b" ")[2][:3]


def body_of(transport: Transport) -> dict:
    return json.loads(transport.value().rpartition(b"\r\n\r\n")[2])


def test_a_request_within_the_limits_is_served_and_releases_its_memory(
    server: Server,
) -> None:
    client = server.connect(REQUEST % 262_144, b"x" * 200_000, b"x" * 62_144)
    assert status_of(client) == b"200"
    assert client.value().endswith(b"262144")
    client.drain()
    assert server.table.held_bytes == 0
    assert server.table.small_bytes == server.table.large_bytes == 0
    client.clear()
    client.protocol.dataReceived(REQUEST % 3 + b"abc")
    assert client.value().endswith(b"3")


def test_unfinished_bodies_stay_within_the_limit_and_a_small_request_is_served() -> (
    None
):
    """900 bodies that stopped one byte short once took 250 MB."""
    server = Server(held_bytes=2_097_152, connections=1_000)
    for _ in range(300):
        server.connect(REQUEST % 262_144, *[b"x" * 65_535] * 4)
        assert server.table.held_bytes <= 2_097_152
    assert status_of(server.connect(REQUEST % 100 + b"x" * 100)) == b"200"
    assert server.count("memory") > 200
    assert len(server.lines) == 1


def test_a_refusal_for_memory_says_not_run_and_when_to_retry() -> None:
    server = Server(held_bytes=65_536)
    first = server.connect(REQUEST % 200_000, b"x" * 40_000)
    second = server.connect(REQUEST % 200_000, b"x" * 40_000)
    assert status_of(first) == b"503"
    assert b"Retry-After: 1\r\n" in first.value()
    assert body_of(first)["outcome"] == "not_run"
    assert first.is_half_closed
    assert not second.value()
    server.reactor.advance(1)
    assert first.disconnected


def test_a_paused_connection_is_resumed_and_completes() -> None:
    """A pause without a resumption would hold every large body until its timeout."""
    server = Server(held_bytes=400_000)
    stalled = server.connect(REQUEST % 262_144, b"x" * 262_143)
    paused = server.connect(REQUEST % 100_000, b"x" * 50_000)
    assert paused.producerState == "paused"
    server.disconnect(stalled)
    assert paused.producerState == "producing"
    paused.protocol.dataReceived(b"x" * 50_000)
    assert status_of(paused) == b"200"


def test_a_paused_connection_still_ends_in_time_and_is_told_not_run() -> None:
    """The client was not slow: this process did not read the rest of its request."""
    server = Server(held_bytes=800_000)
    paused = server.connect(REQUEST % 100_000, b"x" * 50_000)
    server.reactor.advance(0.1)
    for _ in range(2):
        server.connect(REQUEST % 262_144, b"x" * 262_143)
    paused.protocol.dataReceived(b"x" * 30_000)
    assert paused.producerState == "paused"
    server.reactor.advance(4.9)
    assert status_of(paused) == b"503"
    assert server.count("memory") == 1
    server.reactor.advance(1)
    assert paused.disconnected
    assert server.table.held_bytes == 0


@pytest.mark.parametrize(
    ("parts", "kind"),
    [
        ([b"GET / HTTP/1.1\r\nHo"], "head_time"),
        ([REQUEST % 10, b"x"], "body_time"),
        ([b"GET / HTTP/1.1\r\n\r\n"], "unread_time"),
    ],
)
def test_a_client_that_stops_halfway_is_disconnected(
    server: Server, parts: list[bytes], kind: str
) -> None:
    client = server.connect(*parts)
    server.reactor.advance(3.9)
    assert not client.disconnected
    if kind == "body_time":
        client.protocol.dataReceived(b"x")
    server.reactor.advance(6.1)
    assert client.disconnected
    assert server.count(kind) == 1


def test_a_head_may_take_three_seconds(server: Server) -> None:
    client = server.connect(b"GET / HTTP/1.1\r\n")
    server.reactor.advance(3)
    client.protocol.dataReceived(b"\r\n")
    assert status_of(client) == b"200"


def test_the_longest_waiting_connection_is_closed_for_a_new_one() -> None:
    server = Server(connections=3)
    serving = server.connect(b"GET /wait HTTP/1.1\r\n\r\n")
    idle = server.connect()
    server.reactor.advance(1)
    unfinished = server.connect(b"GET / HT")
    server.reactor.advance(1)
    server.connect(b"GET /wait HTTP/1.1\r\n\r\n")
    assert unfinished.disconnected
    assert not idle.disconnected
    server.connect(b"GET /wait HTTP/1.1\r\n\r\n")
    assert idle.disconnected
    newest = server.connect()
    assert newest.disconnected
    assert not serving.disconnected
    assert server.count("connections") == 3
    server.resource.waiting[0].finish()
    assert status_of(serving) == b"200"


def test_no_pipelined_request_is_processed_while_an_answer_is_unread(
    server: Server,
) -> None:
    """Answers of requests that were pipelined without reading grew without limit."""
    client = server.connect(b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % i for i in range(3)))
    assert server.resource.paths == [b"/0"]
    assert client.producerState == "paused"
    client.drain()
    assert server.resource.paths == [b"/0", b"/1"]
    client.drain()
    client.drain()
    assert server.resource.paths == [b"/0", b"/1", b"/2"]
    assert client.producerState == "producing"
    assert server.table.held_bytes == 0


def test_read_ahead_is_dropped_when_memory_is_short() -> None:
    server = Server(held_bytes=65_536)
    client = server.connect(
        b"GET /wait HTTP/1.1\r\n\r\n", b"GET /late HTTP/1.1\r\n\r\n" * 3_000
    )
    server.connect(REQUEST % 100 + b"x" * 50)
    server.resource.waiting[0].finish()
    client.drain()
    assert b"connection: close" in client.value().lower()
    assert server.resource.paths == [b"/wait"]
    assert client.disconnecting


@pytest.mark.parametrize(
    ("data", "status", "kind"),
    [
        (REQUEST % 2_000_000, b"413", "body_bytes"),
        (b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 501, b"431", "head_fields"),
        (b"GET /?" + b"a&" * 20 + b" HTTP/1.1\r\n\r\n", b"400", "query_fields"),
        (REQUEST % 262_144 + b"[" + b"{}," * 87_381, b"413", "body_fields"),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * 2_000,
            b"413",
            "body_chunks",
        ),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
            + b"a\r\n" * 999,
            b"413",
            "body_chunks",
        ),
    ],
    ids=["length", "head", "query", "fields", "chunks", "trailers"],
)
def test_a_request_over_a_limit_is_refused_as_not_run(
    server: Server, data: bytes, status: bytes, kind: str
) -> None:
    client = server.connect(data)
    assert status_of(client) == status
    assert body_of(client)["outcome"] == "not_run"
    assert not server.resource.paths
    assert server.count(kind) == 1
    client.protocol.dataReceived(b"x" * 1_000_000)
    assert server.table.held_bytes == 0
    server.reactor.advance(1.1)
    assert client.disconnected


def test_a_body_that_is_not_parsed_may_have_any_number_of_fields(
    server: Server,
) -> None:
    """A relayed append is binary, and its records may have many short values."""
    head = REQUEST.replace(b"/x", b"/relay") % 262_144
    assert status_of(server.connect(head + b"," * 262_144)) == b"200"


def test_a_body_in_usual_chunks_is_served(server: Server) -> None:
    chunk = b"400\r\n" + b"x" * 1_024 + b"\r\n"
    head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    client = server.connect(head + chunk * 256 + b"0\r\n\r\n")
    assert (
        client.value().endswith(b"262144\r\n0\r\n\r\n") or b"262144" in client.value()
    )
