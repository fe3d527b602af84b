"""What the edges of one process share."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import ensureDeferred
from twisted.web.server import Request

from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.edges.http_client import JsonClient
from kingcuppost.utils.registry import Registry

__all__ = ["BatchContext", "batch_senders", "deliver_later"]

Sender = Callable[["BatchContext", Any], None]

batch_senders: Registry[type, Sender] = Registry("sender of message")


@dataclass
class BatchContext:
    """The reactor's side of one process.

    Attributes
    ----------
    world : BatchWorld
        Tables of the process.
    reactor : object
        Twisted's reactor.
    client : JsonClient
        Client for all outgoing exchanges.
    wake : callable
        Asks for a tick.
    exchanges : dict of str to Request
        Open HTTP exchanges by identifier.
    ports : list of object
        Bound ports.
    adapter_state : object
        What an adapter keeps; only the adapter reads it.
    exit_code : int
        Exit code of the process.
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

    def deliver(self, message: Any) -> None:
        """Put a message before the systems and ask for a tick."""
        self.world.inbox.put(message)
        self.wake()


def deliver_later(context: BatchContext, work: Coroutine) -> None:
    """Run a coroutine and deliver the message that it returns, if any."""

    async def run() -> None:
        message = await work
        if message is not None:
            context.deliver(message)

    ensureDeferred(run()).addErrback(_log_fault, context)


def _log_fault(failure: Any, context: BatchContext) -> None:
    context.world.note(
        "edge", "An exchange failed unexpectedly.", reason=repr(failure.value)
    )
    context.wake()
