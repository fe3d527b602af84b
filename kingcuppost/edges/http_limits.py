"""Bounds in size and time on what an HTTP client may send."""

from io import BytesIO
from typing import Any

from twisted.web.http import HTTPChannel
from twisted.web.server import Request

__all__ = [
    "IDLE_TIMEOUT_S",
    "MAX_BODY_BYTES",
    "BoundedChannel",
    "BoundedRequest",
]

MAX_BODY_BYTES = 1_048_576
RECEIVE_TIMEOUT_S = 5
IDLE_TIMEOUT_S = 60
LINGER_S = 1
TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 413 Content Too Large\r\n"
    b"Content-Type: application/json\r\n"
    b"Connection: close\r\n"
    b"Content-Length: %d\r\n\r\n%s"
)
TOO_LARGE_BODY = (
    b'{"outcome":"not_run","step":"decode","peer":"",'
    b'"reason":"the body is larger than %d bytes"}' % MAX_BODY_BYTES
)


class BoundedChannel(HTTPChannel):
    """A connection on which each request is received whole within a time."""

    _receive_timer: Any = None
    _is_serving = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Start the clock with the first byte of a request."""
        if self._receive_timer is None and not self._is_serving:
            self._receive_timer = self.callLater(
                RECEIVE_TIMEOUT_S, self._abort_slow_request
            )
        super().dataReceived(data)

    def allContentReceived(self) -> None:  # noqa: N802
        """Stop the clock; the request is whole."""
        self._cancel_receive_timer()
        self._is_serving = True
        super().allContentReceived()

    def requestDone(self, request: Request) -> None:  # noqa: N802
        """Welcome the next request."""
        self._is_serving = False
        super().requestDone(request)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Stop the clock."""
        self._cancel_receive_timer()
        super().connectionLost(reason)

    def _cancel_receive_timer(self) -> None:
        if self._receive_timer is not None and self._receive_timer.active():
            self._receive_timer.cancel()
        self._receive_timer = None

    def _abort_slow_request(self) -> None:
        self._receive_timer = None
        self.transport.abortConnection()


class BoundedRequest(Request):
    """A request whose body stays in memory, and below a size."""

    _is_refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body by its declared length, before it is read."""
        self.content = BytesIO()
        if length is not None and length > MAX_BODY_BYTES:
            self._refuse()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body, or refuse the body once it is too large."""
        if self._is_refused:
            return
        if self.content.tell() + len(data) > MAX_BODY_BYTES:
            self._refuse()
            return
        super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Serve the request unless it was refused."""
        if not self._is_refused:
            super().requestReceived(command, path, version)

    def _refuse(self) -> None:
        """Answer, then drop what still arrives for a moment.

        A connection that is closed with unread bytes would lose the answer.
        """
        self._is_refused = True
        transport = self.channel.transport
        transport.write(TOO_LARGE_RESPONSE % (len(TOO_LARGE_BODY), TOO_LARGE_BODY))
        transport.loseWriteConnection()
        self.channel.callLater(LINGER_S, transport.abortConnection)
