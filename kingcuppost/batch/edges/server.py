"""HTTP servers of the surfaces, with limits on the size and duration of requests.

A surface is the HTTP interface for one kind of client, such as callers or peers, and
has an address of its own. The registry `surfaces` maps each surface to its handler.
"""

import socket
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from kingcuppost.batch.edges.context import BatchContext
from kingcuppost.edges.http_limits import IDLE_TIMEOUT_S, BoundedChannel, BoundedRequest
from kingcuppost.edges.sockets import listen_at
from kingcuppost.tables.config import Address
from kingcuppost.utils.identifiers import new_identifier
from kingcuppost.utils.registry import Registry

__all__ = ["answer", "listen", "open_exchange", "surfaces", "unparsed"]

Handler = Callable[[BatchContext, Request], Any]
surfaces: Registry[str, Handler] = Registry("handler of surface")
_unparsed_paths: defaultdict[str, set[bytes]] = defaultdict(set)


def unparsed(surface: str, path: str) -> Callable[[Handler], Handler]:
    """Return a decorator for the handler of a path that does not parse bodies.

    The limit on the JSON values of a body does not hold there.
    """

    def register(handler: Handler) -> Handler:
        _unparsed_paths[surface].add(path.encode("ascii"))
        return handler

    return register


class _SurfaceResource(Resource):
    """Resource that passes requests of every path to the surface's handler."""

    isLeaf = True  # noqa: N815

    def __init__(self, context: BatchContext, handler: Handler) -> None:
        super().__init__()
        self._context = context
        self._handler = handler

    def render(self, request: Request) -> int | bytes:
        """Pass the request to the handler, which may answer later."""
        self._handler(self._context, request)
        return NOT_DONE_YET


def listen(
    context: BatchContext,
    surface: str,
    address: Address,
    listener: socket.socket | None = None,
) -> None:
    """Serve a surface at an address, or on a socket that already listens there."""
    site = Site(
        _SurfaceResource(context, surfaces[surface]),
        requestFactory=BoundedRequest,
        timeout=IDLE_TIMEOUT_S,
    )
    site.protocol = BoundedChannel
    site.guard = context.guard
    site.unparsed_paths = _unparsed_paths[surface]
    site.displayTracebacks = False
    if listener is None:
        listener = listen_at(address.host, address.port)
    # adoptStreamPort duplicates the descriptor, so the original must be closed
    with listener:
        port = context.reactor.adoptStreamPort(listener.fileno(), socket.AF_INET, site)
    context.ports.append(port)


def open_exchange(context: BatchContext, request: Request) -> str:
    """Register a request that is answered later, and return its identifier.

    If the client disconnects before the answer, the exchange is dropped and counted.
    """
    exchange_id = new_identifier(context.world.rng, "exc")
    context.exchanges[exchange_id] = request
    request.notifyFinish().addErrback(_discard_exchange, context, exchange_id)
    return exchange_id


def _discard_exchange(failure: Any, context: BatchContext, exchange_id: str) -> None:
    if context.exchanges.pop(exchange_id, None) is not None:
        context.world.tally.add("exchanges_lost")


def answer(
    request: Request, status: int, body: bytes = b"", retry_after_s: int = 0
) -> None:
    """Send a complete JSON response; a `retry_after_s` of 0 sends no such header."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", str(len(body)).encode("ascii"))
    if retry_after_s:
        request.setHeader(b"retry-after", str(retry_after_s).encode("ascii"))
    request.write(body)
    request.finish()
