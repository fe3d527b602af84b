"""What every edge of one process shares."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.protocols.policies import WrappingFactory
from twisted.web.server import Request

from kingcuppost.edges.http_client import JsonClient
from kingcuppost.tables.world import World
from kingcuppost.utils.registry import Registry

__all__ = ["EdgeContext", "Listener", "Sender", "drivers", "senders"]


Sender = Callable[["EdgeContext", Any], None]

senders: Registry[type, Sender] = Registry("sender of message")


@dataclass(frozen=True)
class Listener:
    """A bound port and the factory that knows its connections.

    Attributes
    ----------
    port : object
        Twisted's listening port.
    factory : WrappingFactory
        Wraps the protocol factory of the surface.
    """

    port: Any
    factory: WrappingFactory


@dataclass
class EdgeContext:
    """The reactor's side of one process.

    Attributes
    ----------
    world : World
        Tables of the process.
    reactor : object
        Twisted's reactor.
    client : JsonClient
        Client for all outgoing exchanges.
    wake : callable
        Asks for a tick.
    exchanges : dict of str to Request
        Open HTTP exchanges by identifier.
    listeners : list of Listener
        Bound ports with their connections.
    drivers : dict of str to object
        Edge to each outside system by its kind, as the settings name it.
    exit_code : int
        Exit code of the process.
    senders : Registry
        What sends each type of message.
    """

    world: World
    reactor: Any
    client: JsonClient
    wake: Callable[[], None]
    exchanges: dict[str, Request] = field(default_factory=dict)
    listeners: list[Listener] = field(default_factory=list)
    drivers: dict[str, Any] = field(default_factory=dict)
    exit_code: int = 0
    senders: Registry[type, Sender] = field(default_factory=lambda: senders)

    def deliver(self, message: Any) -> None:
        """Put a message before the systems and ask for a tick."""
        self.world.inbox.put(message)
        self.wake()


drivers: Registry[tuple[str, str], Callable[[EdgeContext], Any]] = Registry("driver")
