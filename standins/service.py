"""A small JSON service on one port, shared by the stand-ins."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

__all__ = ["LISTEN_BACKLOG", "Answer", "JsonService", "send_answer", "serve"]


@dataclass(frozen=True)
class Answer:
    """An HTTP answer: status and JSON body."""

    status: int
    body: Any


LISTEN_BACKLOG = 512

Handler = Callable[[Request, Any], Answer | None]


class JsonService(Resource):
    """Dispatches requests by method and path.

    A handler that returns None sends its answer later.

    Attributes
    ----------
    extra_ports : dict of str to int
        Further ports that `serve` prints, by name.
    """

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self._handlers: dict[tuple[str, str], Handler] = {}
        self.extra_ports: dict[str, int] = {}

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Register a handler for a method and a path."""
        self._handlers[method, path] = handler

    def render(self, request: Request) -> int:
        """Pass a request to its handler; status 404 if there is none."""
        key = (request.method.decode(), request.path.decode())
        handler = self._handlers.get(key)
        text = request.content.read()
        if handler is None:
            send_answer(request, Answer(404, {"reason": f"no {key}"}))
            return NOT_DONE_YET
        answer = handler(request, _parse_body(text))
        if answer is not None:
            send_answer(request, answer)
        return NOT_DONE_YET


def _parse_body(text: bytes) -> Any:
    """Return the value of a JSON body, {} if it is empty, its text if it is no JSON."""
    try:
        return json.loads(text) if text else {}
    except json.JSONDecodeError:
        return text.decode("utf-8", "replace")


def send_answer(request: Request, answer: Answer) -> None:
    """Write a complete response, unless the client has disconnected."""
    if request.transport is None or getattr(request, "_disconnected", False):
        return
    body = json.dumps(answer.body).encode()
    request.setResponseCode(answer.status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


def serve(service: JsonService, port: int) -> None:
    """Serve on loopback until a signal; print the bound ports as one JSON line."""
    bound = reactor.listenTCP(
        port, Site(service), interface="127.0.0.1", backlog=LISTEN_BACKLOG
    )
    ports = {"port": bound.getHost().port, **service.extra_ports}
    print(json.dumps(ports), flush=True)
    reactor.run()
