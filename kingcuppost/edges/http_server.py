"""HTTP server: requests become inbox messages, replies become responses."""

from typing import Any

from expression import Result
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from kingcuppost.edges.context import EdgeContext, Listener, senders
from kingcuppost.edges.http_limits import (
    IDLE_TIMEOUT_S,
    BoundedChannel,
    BoundedRequest,
)
from kingcuppost.edges.routes import RouteRequest, find_route
from kingcuppost.edges.sockets import limit_buffers
from kingcuppost.edges.traffic import CountedFactory
from kingcuppost.exception import Failure
from kingcuppost.models import encode
from kingcuppost.tables.inbox import ExchangeLost
from kingcuppost.tables.outbox import Reply
from kingcuppost.tables.replies import ChangeRefused
from kingcuppost.tables.request import Outcome
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["listen", "make_site"]

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
LISTEN_BACKLOG = 512  # connections that the kernel queues until they are accepted


class _SurfaceResource(Resource):
    """Resource that serves all routes of a surface, such as ``"callers"``."""

    isLeaf = True  # noqa: N815

    def __init__(self, context: EdgeContext, surface: str) -> None:
        super().__init__()
        self._context = context
        self._surface = surface

    def render(self, request: Request) -> int | bytes:
        """Deliver the request to the systems, answer it directly, or refuse it."""
        path = request.path.decode("ascii", "replace")
        method = request.method.decode("ascii", "replace")
        found = find_route(self._surface, method, path)
        if found is None:
            return _refuse(request, STATUS_NOT_FOUND, f"there is no {path}")
        body = request.content.read()
        route, path_parameters = found
        if route.direct is not None:
            return route.direct(self._context, request)
        exchange_id = new_identifier(self._context.world.rng, "exc")
        route_request = RouteRequest(
            exchange_id,
            path_parameters,
            _parse_query(request),
            body,
            _format_peer(request),
        )
        return self._dispatch(request, exchange_id, route.parse(route_request))

    def _dispatch(
        self, request: Request, exchange_id: str, parsed: Result[Any, Failure]
    ) -> int | bytes:
        if parsed.is_error():
            return _refuse(request, STATUS_BAD_REQUEST, parsed.error.reason)
        self._context.exchanges[exchange_id] = request
        request.notifyFinish().addErrback(self._drop_exchange, exchange_id)
        self._context.deliver(parsed.ok)
        return NOT_DONE_YET

    def _drop_exchange(self, _: Any, exchange_id: str) -> None:
        """Report to the systems that the client disconnected before the reply."""
        if self._context.exchanges.pop(exchange_id, None) is not None:
            self._context.deliver(ExchangeLost(exchange_id))


def _parse_query(request: Request) -> dict[str, str]:
    return {
        name.decode("utf-8", "replace"): values[0].decode("utf-8", "replace")
        for name, values in request.args.items()
    }


def _format_peer(request: Request) -> str:
    address = request.getClientAddress()
    return f"{address.host}:{address.port}"


def _refuse(request: Request, status: int, reason: str) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return encode(
        ChangeRefused(Outcome.NOT_RUN, "decode", _format_peer(request), reason)
    )


@senders.register(Reply)
def send_reply(context: EdgeContext, reply: Reply) -> None:
    """Send the response of an exchange whose client is still connected."""
    request = context.exchanges.pop(reply.exchange_id, None)
    if request is None:
        return
    body = encode(reply.body)
    request.setResponseCode(reply.status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", str(len(body)).encode("ascii"))
    request.write(body)
    request.finish()


def make_site(context: EdgeContext, surface: str) -> Site:
    """Return the HTTP server factory of a surface."""
    site = Site(
        _SurfaceResource(context, surface),
        requestFactory=BoundedRequest,
        timeout=IDLE_TIMEOUT_S,
    )
    site.protocol = BoundedChannel
    site.guard = context.guard
    site.unparsed_paths = frozenset()
    site.displayTracebacks = False
    return site


def listen(context: EdgeContext, surface: str, host: str, port: int) -> int:
    """Start to serve a surface and return the bound port."""
    factory = CountedFactory(make_site(context, surface), context.world.tally)
    bound = context.reactor.listenTCP(
        port, factory, interface=host, backlog=LISTEN_BACKLOG
    )
    limit_buffers(bound.socket)
    context.listeners.append(Listener(bound, factory))
    return bound.getHost().port
