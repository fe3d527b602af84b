"""HTTP client for JSON to peers by IP address; every exchange has a timeout."""

from dataclasses import dataclass
from typing import Any

from twisted.internet import defer, error
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from kingcuppost.edges.traffic import CountedEndpoint
from kingcuppost.exception import PeerError
from kingcuppost.tables.config import Address
from kingcuppost.tables.metrics import Tally

__all__ = ["JsonClient", "Response", "is_connect_error"]

MS_PER_SECOND = 1_000
CONNECT_TIMEOUT_S = 0.4
IDLE_CONNECTIONS_PER_PEER = 8
IDLE_CONNECTION_TIMEOUT_S = 10


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


@dataclass(frozen=True)
class _PeerConnections:
    """The pooled connections to one peer."""

    pool: HTTPConnectionPool
    agent: Agent


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

        Raises
        ------
        PeerError
            If the exchange failed or timed out. Its step is ``"connect"`` if no byte
            of the request left this process, else ``"exchange"``.
        """
        pending = defer.ensureDeferred(
            self._exchange(method, address, path, body, headers or {})
        )
        pending.addTimeout(max(timeout_ms, 1) / MS_PER_SECOND, self._reactor)
        try:
            return await pending
        except Exception as exc:
            step = "connect" if is_connect_error(exc) else "exchange"
            self._discard_connections(address)
            reason = str(exc) or type(exc).__name__
            raise PeerError(reason, step, str(address)) from exc

    async def _exchange(
        self,
        method: str,
        address: Address,
        path: str,
        body: bytes,
        extra_headers: dict[str, str],
    ) -> Response:
        url = f"http://{address}{path}".encode("ascii")
        headers = Headers({b"Content-Type": [b"application/json"]} if body else {})
        for name, value in extra_headers.items():
            headers.setRawHeaders(name, [value])
        producer = _BytesProducer(body) if body else None
        response = await self._connections_to(address).agent.request(
            method.encode("ascii"), url, headers, producer
        )
        return Response(response.code, await readBody(response))

    async def close(self) -> None:
        """Close the idle connections to all peers."""
        for peer in self._connections.values():
            await peer.pool.closeCachedConnections()


def is_connect_error(exc: BaseException) -> bool:
    """Return whether an exchange failed before a connection was established."""
    return isinstance(exc, error.ConnectError)
