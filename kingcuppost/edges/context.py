"""State that the edges of one process share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

from twisted.protocols.policies import WrappingFactory
from twisted.web.server import Request

from kingcuppost.edges.connection_guard import ConnectionGuard
from kingcuppost.edges.http_client import JsonClient
from kingcuppost.systems.connections import RefusalKind
from kingcuppost.systems.events import note
from kingcuppost.tables.world import World
from kingcuppost.utils.registry import Registry

__all__ = ["EdgeContext", "Listener", "Sender", "drivers", "senders"]


Sender = Callable[["EdgeContext", Any], None]

senders: Registry[type, Sender] = Registry("sender of message")


@dataclass(frozen=True)
class Listener:
    """A listening port and the factory that tracks its open connections.

    Attributes
    ----------
    port : object
        Twisted's listening port.
    factory : WrappingFactory
        Wraps the protocol factory of the surface and lists open connections.
    """

    port: Any
    factory: WrappingFactory


@dataclass
class EdgeContext:
    """Reactor, connections and tables of one process.

    Attributes
    ----------
    world : World
        Tables of the process.
    reactor : object
        Twisted's reactor.
    client : JsonClient
        Client for HTTP requests to peers, the minion and the worker; `HttpLog` has a
        client of its own.
    wake : callable
        Requests a tick of the systems.
    exchanges : dict of str to Request
        HTTP requests that are not answered yet, by identifier.
    listeners : list of Listener
        Listening ports with their connections.
    external_clients : dict of str to object
        Client of each external system (``"log"``, ``"worker"``), built by the driver
        that the settings file names.
    exit_code : int
        Exit code of the process.
    senders : Registry
        Functions that send the messages of the outbox, by the class of the message.
    """

    world: World
    reactor: Any
    client: JsonClient
    wake: Callable[[], None]
    exchanges: dict[str, Request] = field(default_factory=dict)
    listeners: list[Listener] = field(default_factory=list)
    external_clients: dict[str, Any] = field(default_factory=dict)
    exit_code: int = 0
    senders: Registry[type, Sender] = field(default_factory=lambda: senders)

    @cached_property
    def guard(self) -> ConnectionGuard:
        """Applies the limits on clients to the connections of all listeners."""
        world = self.world
        return ConnectionGuard(
            world.connections,
            self.reactor,
            world.clock,
            world.tally,
            self._log_refusals,
        )

    def deliver(self, message: Any) -> None:
        """Add a message to the inbox and request a tick."""
        self.world.inbox.put(message)
        self.wake()

    def _log_refusals(self, kind: RefusalKind, peer: str, count: int) -> None:
        text = f"Refused {count} clients for the limit {kind}, this one last."
        note(self.world, "clients.refused", text, peer=peer)
        self.wake()


# Constructors of the external clients by system and driver, such as ("log", "http").
drivers: Registry[tuple[str, str], Callable[[EdgeContext], Any]] = Registry("driver")
