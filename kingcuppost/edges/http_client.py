"""HTTP client for JSON to peers by IP address; every exchange has a timeout."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import defer, error
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from kingcuppost.edges.body_reader import BodyReader
from kingcuppost.edges.traffic import CountedEndpoint
from kingcuppost.exception import PeerError
from kingcuppost.tables.config import Address
from kingcuppost.tables.metrics import Tally

__all__ = ["JsonClient", "Response", "is_connect_error"]

MS_PER_SECOND = 1_000
CONNECT_TIMEOUT_S = 0.4
IDLE_CONNECTIONS_PER_PEER = 8
IDLE_CONNECTION_TIMEOUT_S = 10
MAX_TRANSFER_MS = 10_000  # of an answer whose parts keep arriving


@dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response.

    Attributes
    ----------
    status : int
        HTTP status code.
    body : bytes
        The complete body.
    """

    status: int
    body: bytes


@implementer(IAgentEndpointFactory)
class _IpEndpointFactory:
    """Creates endpoints from IP addresses; names are never resolved."""

    def __init__(self, reactor: Any, tally: Tally) -> None:
        self._reactor = reactor
        self._tally = tally

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        host = uri.host.decode("ascii")
        endpoint_class = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint = endpoint_class(
            self._reactor, host, uri.port, timeout=CONNECT_TIMEOUT_S
        )
        return CountedEndpoint(endpoint, self._tally)


@implementer(IBodyProducer)
class _BytesProducer:
    """A request body that is completely in memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> defer.Deferred:  # noqa: N802
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass

    def stopProducing(self) -> None:  # noqa: N802
        pass


class _ExchangeTimer:
    """Cancels an exchange at its timeout, which arriving parts can extend.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    timeout_ms : int
        Timeout if no part of the answer arrives.
    stall_timeout_ms : int
        Longest time between two parts of the answer; 0 if parts extend nothing.
    """

    def __init__(self, reactor: Any, timeout_ms: int, stall_timeout_ms: int) -> None:
        self._reactor = reactor
        self._timeout_s = max(timeout_ms, 1) / MS_PER_SECOND
        self._stall_s = stall_timeout_ms / MS_PER_SECOND
        self._last_s = reactor.seconds() + MAX_TRANSFER_MS / MS_PER_SECOND
        self._call: Any = None

    def start(self, pending: defer.Deferred) -> None:
        """Set the exchange to cancel."""
        self._call = self._reactor.callLater(self._timeout_s, pending.cancel)

    def extend(self) -> None:
        """Allow for another part of the answer."""
        now_s = self._reactor.seconds()
        end_s = min(now_s + self._stall_s, self._last_s)
        if self._call.active() and end_s > self._call.getTime():
            self._call.reset(end_s - now_s)

    def stop(self) -> bool:
        """Stop the timer; return whether it had not fired yet."""
        if not self._call.active():
            return False
        self._call.cancel()
        return True


@dataclass(frozen=True)
class _PeerConnections:
    """The pooled connections to one peer."""

    pool: HTTPConnectionPool
    agent: Agent


@dataclass(frozen=True, slots=True)
class _Request:
    """A request to a peer."""

    method: str
    address: Address
    path: str
    body: bytes
    headers: dict[str, str]


class JsonClient:
    """Client that keeps a few idle connections to each peer.

    A failed exchange discards the peer's idle connections: the cause may have broken
    all of them, so the next exchange opens a new connection. This also removes the
    state of peers that no longer exist.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    tally : Tally, optional
        Counts the bytes sent and received.
    """

    def __init__(self, reactor: Any, tally: Tally | None = None) -> None:
        self._reactor = reactor
        self._tally = tally or Tally()
        self._connections: dict[Address, _PeerConnections] = {}

    def _connections_to(self, address: Address) -> _PeerConnections:
        if address not in self._connections:
            pool = HTTPConnectionPool(self._reactor)
            pool.maxPersistentPerHost = IDLE_CONNECTIONS_PER_PEER
            pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_S
            pool.retryAutomatically = False
            agent = Agent.usingEndpointFactory(
                self._reactor,
                _IpEndpointFactory(self._reactor, self._tally),
                pool=pool,
            )
            self._connections[address] = _PeerConnections(pool, agent)
        return self._connections[address]

    def _discard_connections(self, address: Address) -> None:
        """Close the idle connections to a peer; later exchanges open new ones."""
        peer = self._connections.pop(address, None)
        if peer is not None:
            peer.pool.closeCachedConnections()

    async def exchange(
        self,
        method: str,
        address: Address,
        path: str,
        body: bytes,
        timeout_ms: int,
        headers: dict[str, str] | None = None,
        stall_timeout_ms: int = 0,
    ) -> Response:
        """Send a request and return the complete response.

        Parameters
        ----------
        method, path : str
            HTTP method, and path with query.
        address : Address
            IP address and port of the peer.
        body : bytes
            JSON text; empty for none.
        timeout_ms : int
            Timeout of the whole exchange, in ms.
        headers : dict of str to str, optional
            Additional headers.
        stall_timeout_ms : int, optional
            Longest time between two parts of the answer, in ms: the exchange may take
            longer than its timeout, up to `MAX_TRANSFER_MS`, while parts arrive. 0
            for an answer that is worthless after the timeout.

        Raises
        ------
        PeerError
            If the exchange failed or timed out. Its step is ``"connect"`` if no byte
            of the request left this process, else ``"exchange"``.
        """
        request = _Request(method, address, path, body, headers or {})
        timer = _ExchangeTimer(self._reactor, timeout_ms, stall_timeout_ms)
        pending = defer.ensureDeferred(self._exchange(request, timer.extend))
        timer.start(pending)
        try:
            response = await pending
        except Exception as exc:
            self._discard_connections(address)
            step = "connect" if is_connect_error(exc) else "exchange"
            reason = str(exc) or type(exc).__name__
            if not timer.stop():
                reason = f"no complete answer within {timeout_ms} ms"
            is_refused = isinstance(exc, error.ConnectionRefusedError)
            raise PeerError(reason, step, str(address), is_refused) from exc
        timer.stop()
        return response

    async def _exchange(
        self, request: _Request, on_part: Callable[[], None]
    ) -> Response:
        url = f"http://{request.address}{request.path}".encode("ascii")
        content_type = {b"Content-Type": [b"application/json"]}
        headers = Headers(content_type if request.body else {})
        for name, value in request.headers.items():
            headers.setRawHeaders(name, [value])
        producer = _BytesProducer(request.body) if request.body else None
        response = await self._connections_to(request.address).agent.request(
            request.method.encode("ascii"), url, headers, producer
        )
        reader = BodyReader(on_part)
        response.deliverBody(reader)
        return Response(response.code, await reader.body)

    async def close(self) -> None:
        """Close the idle connections to all peers."""
        for peer in self._connections.values():
            await peer.pool.closeCachedConnections()


def is_connect_error(exc: BaseException) -> bool:
    """Return whether an exchange failed before a connection was established."""
    return isinstance(exc, error.ConnectError)
