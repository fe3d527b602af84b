"""Limits on the size and the duration of requests from HTTP clients."""

from io import BytesIO
from typing import Any

from twisted.web.http import HTTPChannel, parse_qs
from twisted.web.server import Request

from kingcuppost.systems.connections import count_fields
from kingcuppost.tables.connections import ClientLimits

__all__ = [
    "IDLE_TIMEOUT_S",
    "MAX_BODY_BYTES",
    "BoundedChannel",
    "BoundedRequest",
]

LIMITS = ClientLimits()
MAX_BODY_BYTES = LIMITS.body_bytes
MAX_QUERY_FIELDS = 16  # routes use at most one
RECEIVE_TIMEOUT_S = 5  # from the first to the last byte of a request
IDLE_TIMEOUT_S = 60
LINGER_S = 1
REFUSAL = (
    b"HTTP/1.1 %s\r\n"
    b"Content-Type: application/json\r\n"
    b"Connection: close\r\n"
    b"Content-Length: %d\r\n\r\n%s"
)
REFUSAL_BODY = b'{"outcome":"not_run","step":"decode","peer":"","reason":"%s"}'
TOO_LARGE = b"413 Content Too Large"
TOO_LARGE_REASON = b"the body is larger than %d bytes" % MAX_BODY_BYTES
TOO_MANY_FIELDS_REASON = b"the body has more than %d fields" % LIMITS.body_fields
BAD_REQUEST = b"400 Bad Request"
TOO_LONG_QUERY_REASON = b"the query has more than %d fields" % MAX_QUERY_FIELDS


class BoundedChannel(HTTPChannel):
    """A connection that is aborted if a request takes too long to arrive.

    Each request must arrive completely within `RECEIVE_TIMEOUT_S`.
    """

    maxHeaders = LIMITS.head_fields  # noqa: N815
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
            self._refuse(TOO_LARGE, TOO_LARGE_REASON)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a chunk of the body, or refuse a body that has become too large."""
        if self._is_refused:
            return
        if self.content.tell() + len(data) > MAX_BODY_BYTES:
            self._refuse(TOO_LARGE, TOO_LARGE_REASON)
            return
        super().handleContentChunk(data)

    def parseCookies(self) -> None:  # noqa: N802
        """Ignore cookies, which nothing uses; each would cost many times its bytes."""

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Process the request unless it was refused or has too many fields.

        The base class would parse forms in the body, and any number of fields in the
        query, into objects of a hundred times their bytes.
        """
        if self._is_refused:
            return
        self.method, self.uri, self.clientproto = command, path, version
        self.path, _, query = path.partition(b"?")
        if query.count(b"&") + query.count(b";") >= MAX_QUERY_FIELDS:
            self._refuse(BAD_REQUEST, TOO_LONG_QUERY_REASON)
            return
        fields = count_fields(self.content.getvalue(), LIMITS.body_fields)
        if fields > LIMITS.body_fields:
            self._refuse(TOO_LARGE, TOO_MANY_FIELDS_REASON)
            return
        self.args = parse_qs(query, True)
        self.content.seek(0)
        self.process()

    def _refuse(self, status: bytes, reason: bytes) -> None:
        """Send the response, then discard input for `LINGER_S` before closing.

        Closing a socket with unread bytes resets the connection, so that the client
        may lose the response.
        """
        self._is_refused = True
        transport = self.channel.transport
        body = REFUSAL_BODY % reason
        transport.write(REFUSAL % (status, len(body), body))
        transport.loseWriteConnection()
        self.channel.callLater(LINGER_S, transport.abortConnection)
