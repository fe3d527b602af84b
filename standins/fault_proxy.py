"""A TCP proxy that injects faults between two processes.

It extends Twisted's port forwarder. On its control port, ``POST /v1/faults`` sets the
faults and ``POST /v1/target`` the port that it forwards to.
"""

from dataclasses import dataclass

from twisted.internet import reactor
from twisted.internet.protocol import Protocol
from twisted.protocols import portforward
from twisted.web.server import Request

from standins.service import LISTEN_BACKLOG, Answer, JsonService

__all__ = ["FaultProxy"]

MS_PER_SECOND = 1_000


@dataclass
class ProxyFaults:
    """Injected faults.

    Attributes
    ----------
    cut : bool
        Abort new connections; setting it also aborts the open ones.
    silent : bool
        Accept connections but forward nothing in either direction.
    drop_requests, drop_answers : bool
        Forward nothing from the client, or nothing from the server.
    lose_answers : int
        Number of answers to drop; the connection of each is aborted. Their requests
        reach the server.
    cut_answer_after : int
        Close a connection after this many bytes of answers; 0 for never.
    delay_ms : int
        Delay of all forwarded data, in ms.
    """

    cut: bool = False
    silent: bool = False
    drop_requests: bool = False
    drop_answers: bool = False
    lose_answers: int = 0
    cut_answer_after: int = 0
    delay_ms: int = 0


def _forward(proxy: "FaultProxy", to: Protocol, data: bytes) -> None:
    def write() -> None:
        if to is not None and to.transport is not None:
            to.transport.write(data)

    if proxy.faults.delay_ms:
        reactor.callLater(proxy.faults.delay_ms / MS_PER_SECOND, write)
    else:
        write()


class _TargetSide(portforward.ProxyClient):
    """Connection to the target server; it receives the answers."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward answers, unless a fault prevents it."""
        client = self.peer
        proxy = client.factory.proxy
        faults = proxy.faults
        if faults.silent or faults.drop_answers or client.frozen:
            return
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            client.abort()
            return
        client.answered_bytes += len(data)
        if faults.cut_answer_after and client.answered_bytes > faults.cut_answer_after:
            surplus = client.answered_bytes - faults.cut_answer_after
            _forward(proxy, client, data[: max(len(data) - surplus, 0)])
            client.transport.loseConnection()
            return
        _forward(proxy, client, data)


class _TargetSideFactory(portforward.ProxyClientFactory):
    protocol = _TargetSide
    noisy = False


class _ClientSide(portforward.ProxyServer):
    """Connection to the client; it receives the requests."""

    clientProtocolFactory = _TargetSideFactory  # noqa: N815
    frozen = False
    answered_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the target; abort if the link is cut or no target is set."""
        proxy = self.factory.proxy
        self.connections = proxy.connections
        if proxy.faults.cut or not self.factory.port:
            self.transport.abortConnection()
            return
        self.connections.append(self)
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward requests, unless a fault prevents it."""
        faults = self.factory.proxy.faults
        if faults.silent or faults.drop_requests or self.frozen:
            return
        _forward(self.factory.proxy, self.peer, data)

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Remove the connection from the list of open ones."""
        if self in self.connections:
            self.connections.remove(self)
        super().connectionLost(reason)

    def abort(self) -> None:
        """Abort the connection to the client."""
        self.transport.abortConnection()


class FaultProxy(JsonService):
    """Control interface of a proxy."""

    def __init__(self) -> None:
        super().__init__()
        self.faults = ProxyFaults()
        self.connections: list[_ClientSide] = []
        self.forward = portforward.ProxyFactory("127.0.0.1", 0)
        self.forward.protocol = _ClientSide
        self.forward.noisy = False
        self.forward.proxy = self
        bound = reactor.listenTCP(
            0, self.forward, interface="127.0.0.1", backlog=LISTEN_BACKLOG
        )
        self.extra_ports = {"proxy": bound.getHost().port}
        self.add("POST", "/v1/target", self.set_target)
        self.add("POST", "/v1/faults", self.set_faults)
        self.add("POST", "/v1/freeze", self.freeze)
        self.add("GET", "/v1/connections", self.count_connections)

    def set_target(self, request: Request, body: dict) -> Answer:
        """Forward new connections to a port on loopback."""
        self.forward.port = body["port"]
        return Answer(200, {})

    def set_faults(self, request: Request, body: dict) -> Answer:
        """Replace the injected faults; a cut aborts the open connections."""
        self.faults = ProxyFaults(**body)
        if self.faults.cut:
            for connection in list(self.connections):
                connection.abort()
        return Answer(200, {})

    def freeze(self, request: Request, body: dict) -> Answer:
        """Stop forwarding on all open connections for good; new ones work."""
        for connection in self.connections:
            connection.frozen = True
        return Answer(200, {"frozen": len(self.connections)})

    def count_connections(self, request: Request, body: dict) -> Answer:
        """Return the number of open connections, and of frozen ones among them."""
        frozen = sum(connection.frozen for connection in self.connections)
        return Answer(200, {"open": len(self.connections), "frozen": frozen})
