"""State that the edges of one process share."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

from twisted.internet.defer import ensureDeferred
from twisted.web.server import Request

from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.edges.connection_guard import ConnectionGuard
from kingcuppost.edges.http_client import JsonClient
from kingcuppost.systems.connections import RefusalKind
from kingcuppost.utils.registry import Registry

__all__ = ["BatchContext", "batch_senders", "deliver_later"]

Sender = Callable[["BatchContext", Any], None]

batch_senders: Registry[type, Sender] = Registry("sender of message")


@dataclass
class BatchContext:
    """Reactor, connections and tables of one process.

    Attributes
    ----------
    world : BatchWorld
        Tables of the process.
    reactor : object
        Twisted's reactor.
    client : JsonClient
        Client for all outgoing HTTP requests.
    wake : callable
        Requests a tick of the systems.
    exchanges : dict of str to Request
        HTTP requests that are not answered yet, by identifier.
    ports : list of object
        Listening ports.
    adapter_state : object
        State of the adapter; nothing else reads it.
    exit_code : int
        Exit code of the process.
    senders : Registry
        Function that sends a message of the outbox, by the message's class.
    """

    world: BatchWorld
    reactor: Any
    client: JsonClient
    wake: Callable[[], None]
    exchanges: dict[str, Request] = field(default_factory=dict)
    ports: list[Any] = field(default_factory=list)
    adapter_state: Any = None
    exit_code: int = 0
    senders: Registry[type, Sender] = field(default_factory=lambda: batch_senders)

    @cached_property
    def guard(self) -> ConnectionGuard:
        """Applies the limits on clients to the connections of all ports."""
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
        self.world.note(
            "clients", "Refused clients.", kind=kind, last_peer=peer, count=count
        )
        self.wake()


def deliver_later(context: BatchContext, coroutine: Coroutine) -> None:
    """Run a coroutine and deliver the message that it returns, unless it is None."""

    async def run() -> None:
        message = await coroutine
        if message is not None:
            context.deliver(message)

    ensureDeferred(run()).addErrback(_log_failure, context)


def _log_failure(failure: Any, context: BatchContext) -> None:
    context.world.note(
        "edge", "An HTTP exchange failed unexpectedly.", reason=repr(failure.value)
    )
    context.wake()
