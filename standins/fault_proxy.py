"""A TCP proxy that injects faults between two processes.

Built on the library's port forwarder. ``POST /v1/faults`` on its control port sets
what goes wrong, ``POST /v1/target`` where it forwards to.
"""

from dataclasses import dataclass

from twisted.internet import reactor
from twisted.internet.protocol import Protocol
from twisted.protocols import portforward
from twisted.web.server import Request

from standins.service import Answer, JsonService

__all__ = ["FaultProxy"]

MS_PER_SECOND = 1_000


@dataclass
class ProxyFaults:
    """What goes wrong at present.

    Attributes
    ----------
    cut : bool
        Refuse new connections; setting it aborts the open ones.
    silent : bool
        Accept connections and pass nothing on, either way.
    drop_requests, drop_answers : bool
        Pass nothing on from the client, or from the server.
    lose_answers : int
        So many answers are swallowed, and their connections aborted, after the
        request has passed.
    cut_answer_after : int
        Abort a connection once so many bytes of answers have passed; 0 never.
    delay_ms : int
        Pass everything on this much later.
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
    """The side towards the server: what it receives are answers."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass answers on, unless a fault says otherwise."""
        server = self.peer
        proxy = server.factory.proxy
        faults = proxy.faults
        if faults.silent or faults.drop_answers or server.frozen:
            return
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            server.abort()
            return
        server.answered_bytes += len(data)
        if faults.cut_answer_after and server.answered_bytes > faults.cut_answer_after:
            surplus = server.answered_bytes - faults.cut_answer_after
            _forward(proxy, server, data[: max(len(data) - surplus, 0)])
            server.transport.loseConnection()
            return
        _forward(proxy, server, data)


class _TargetSideFactory(portforward.ProxyClientFactory):
    protocol = _TargetSide
    noisy = False


class _ClientSide(portforward.ProxyServer):
    """The side towards the client: what it receives are requests."""

    clientProtocolFactory = _TargetSideFactory  # noqa: N815
    frozen = False
    answered_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the target, unless the link is cut."""
        proxy = self.factory.proxy
        self.connections = proxy.connections
        if proxy.faults.cut or not self.factory.port:
            self.transport.abortConnection()
            return
        self.connections.append(self)
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass requests on, unless a fault says otherwise."""
        faults = self.factory.proxy.faults
        if faults.silent or faults.drop_requests or self.frozen:
            return
        _forward(self.factory.proxy, self.peer, data)

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Forget the connection."""
        if self in self.connections:
            self.connections.remove(self)
        super().connectionLost(reason)

    def abort(self) -> None:
        """Reset the connection towards the client."""
        self.transport.abortConnection()


class FaultProxy(JsonService):
    """The control interface of one proxy."""

    def __init__(self) -> None:
        super().__init__()
        self.faults = ProxyFaults()
        self.connections: list[_ClientSide] = []
        self.forward = portforward.ProxyFactory("127.0.0.1", 0)
        self.forward.protocol = _ClientSide
        self.forward.noisy = False
        self.forward.proxy = self
        bound = reactor.listenTCP(0, self.forward, interface="127.0.0.1", backlog=512)
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
        """Replace the present faults; a cut aborts open connections."""
        self.faults = ProxyFaults(**body)
        if self.faults.cut:
            for connection in list(self.connections):
                connection.abort()
        return Answer(200, {})

    def freeze(self, request: Request, body: dict) -> Answer:
        """Make all open connections silent for good; new ones work."""
        for connection in self.connections:
            connection.frozen = True
        return Answer(200, {"frozen": len(self.connections)})

    def count_connections(self, request: Request, body: dict) -> Answer:
        """Return how many connections are open, frozen ones among them."""
        frozen = sum(connection.frozen for connection in self.connections)
        return Answer(200, {"open": len(self.connections), "frozen": frozen})
