"""Limits on the size and the duration of requests from HTTP clients."""

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

MAX_BODY_BYTES = 1_048_576  # 1 MiB
RECEIVE_TIMEOUT_S = 5  # from the first to the last byte of a request
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
    """A connection that is aborted if a request takes too long to arrive.

    Each request must arrive completely within `RECEIVE_TIMEOUT_S`.
    """

    _receive_timer: Any = None
    _is_serving = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Start the timer with the first byte of a request."""
        if self._receive_timer is None and not self._is_serving:
            self._receive_timer = self.callLater(
                RECEIVE_TIMEOUT_S, self._abort_slow_request
            )
        super().dataReceived(data)

    def allContentReceived(self) -> None:  # noqa: N802
        """Cancel the timer when the request has arrived completely."""
        self._cancel_receive_timer()
        self._is_serving = True
        super().allContentReceived()

    def requestDone(self, request: Request) -> None:  # noqa: N802
        """Accept the next request on the connection."""
        self._is_serving = False
        super().requestDone(request)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Cancel the timer."""
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
    """A request whose body is kept in memory and limited in size."""

    _is_refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body whose declared length is too large, before it is read.

        The base class would store a body above 100 kB in a temporary file.
        """
        self.content = BytesIO()
        if length is not None and length > MAX_BODY_BYTES:
            self._refuse()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a chunk of the body, or refuse a body that has become too large."""
        if self._is_refused:
            return
        if self.content.tell() + len(data) > MAX_BODY_BYTES:
            self._refuse()
            return
        super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Process the request unless it was refused."""
        if not self._is_refused:
            super().requestReceived(command, path, version)

    def _refuse(self) -> None:
        """Send the response, then discard input for `LINGER_S` before closing.

        Closing a socket with unread bytes resets the connection, so that the client
        may lose the response.
        """
        self._is_refused = True
        transport = self.channel.transport
        transport.write(TOO_LARGE_RESPONSE % (len(TOO_LARGE_BODY), TOO_LARGE_BODY))
        transport.loseWriteConnection()
        self.channel.callLater(LINGER_S, transport.abortConnection)
