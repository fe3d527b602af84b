"""What every edge of one process shares."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.web.server import Request

from kingcuppost.edges.http_client import JsonClient
from kingcuppost.tables.world import World
from kingcuppost.utils.registry import Registry

__all__ = ["EdgeContext", "Sender", "drivers", "senders"]


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
    drivers : dict of str to object
        Edge to each outside system by its kind, as the settings name it.
    """

    world: World
    reactor: Any
    client: JsonClient
    wake: Callable[[], None]
    exchanges: dict[str, Request] = field(default_factory=dict)
    drivers: dict[str, Any] = field(default_factory=dict)

    def deliver(self, message: Any) -> None:
        """Put a message before the systems and ask for a tick."""
        self.world.inbox.put(message)
        self.wake()


Sender = Callable[[EdgeContext, Any], None]

senders: Registry[type, Sender] = Registry("sender of message")
drivers: Registry[tuple[str, str], Callable[[EdgeContext], Any]] = Registry("driver")
