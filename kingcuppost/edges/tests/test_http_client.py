"""Exchanges end in bounded time, and long answers arrive over slow links."""

import json
from types import SimpleNamespace

from twisted.internet.defer import ensureDeferred
from twisted.internet.testing import MemoryReactorClock, StringTransport

from kingcuppost.edges.http_client import JsonClient, Response
from kingcuppost.edges.log import HttpLog
from kingcuppost.exception import PeerError
from kingcuppost.tables.config import Address
from kingcuppost.tables.inbox import ReadAnswered
from kingcuppost.tables.outbox import ReadLog
from kingcuppost.utils import ManualClock

PEER = Address("10.0.0.1", 80)
TIMEOUT_MS = 400
STEP_MS = 100
BODY = bytes(1_000)


class Link:
    """The only connection of a client; it carries an answer part by part."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.transport = StringTransport()

    def connect(self) -> None:
        factory = self.reactor.tcpClients[0][2]
        self.protocol = factory.buildProtocol(None)
        self.protocol.makeConnection(self.transport)

    def carry(self, body: bytes, parts: int, stall_after: int = 0) -> None:
        """Carry the head of an answer, then a part of its body each `STEP_MS`.

        After `stall_after` parts, if given, no more arrive.
        """
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        self.protocol.dataReceived(head.encode())
        size = -(-len(body) // parts)
        for index, start in enumerate(range(0, len(body), size)):
            self.reactor.advance(STEP_MS / 1_000)
            if self.transport.disconnecting:
                return
            if stall_after and index >= stall_after:
                continue
            self.protocol.dataReceived(body[start : start + size])


def exchange(link: Link, stall_timeout_ms: int = 0) -> list[object]:
    client = JsonClient(link.reactor)
    results: list[object] = []
    pending = ensureDeferred(
        client.exchange(
            "GET", PEER, "/", b"", TIMEOUT_MS, stall_timeout_ms=stall_timeout_ms
        )
    )
    pending.addCallbacks(results.append, lambda failure: results.append(failure.value))
    link.connect()
    return results


def test_parts_that_keep_arriving_extend_the_timeout() -> None:
    link = Link()
    results = exchange(link, stall_timeout_ms=150)
    link.carry(BODY, parts=20)
    assert results == [Response(200, BODY)]


def test_an_answer_that_stalls_is_given_up_and_closes_its_connection() -> None:
    link = Link()
    results = exchange(link, stall_timeout_ms=150)
    link.carry(BODY, parts=20, stall_after=8)
    assert isinstance(results[0], PeerError)
    assert link.transport.disconnecting


def test_without_a_stall_timeout_the_whole_exchange_has_one_timeout() -> None:
    link = Link()
    results = exchange(link)
    link.carry(BODY, parts=20)
    assert isinstance(results[0], PeerError)
    assert link.transport.disconnecting


def test_an_endless_answer_is_given_up() -> None:
    link = Link()
    results = exchange(link, stall_timeout_ms=150)
    link.carry(BODY, parts=200)
    assert isinstance(results[0], PeerError)


def test_a_read_of_the_log_that_is_longer_than_its_timeout_is_answered() -> None:
    link = Link()
    delivered: list[ReadAnswered] = []
    world = SimpleNamespace(
        cfg=SimpleNamespace(log=SimpleNamespace(address=PEER)),
        clock=ManualClock(),
    )
    context = SimpleNamespace(
        world=world, reactor=link.reactor, deliver=delivered.append
    )
    HttpLog(context).read(ReadLog("r", 0, 0, TIMEOUT_MS, hedge=False))
    link.connect()
    body = {"records": [], "head": 0, "earliest": 1, "end_offset": 0}
    link.carry(json.dumps(body).encode(), parts=20)
    assert [answer.ok for answer in delivered] == [True]
