"""HTTP protocol that keeps clients within the limits of the process."""

from io import BytesIO
from typing import Any

from twisted.web.http import HTTPChannel, parse_qs
from twisted.web.server import Request

from kingcuppost.edges.connection_guard import ConnectionGuard
from kingcuppost.edges.http_refusals import MAX_QUERY_FIELDS, format_refusal
from kingcuppost.systems.connections import (
    FIELD_BYTES,
    RefusalKind,
    are_chunks_too_many,
    count_fields,
    is_framing_too_large,
)
from kingcuppost.tables.connections import (
    ClientLimits,
    Connection,
    ConnectionPhase,
)

__all__ = [
    "IDLE_TIMEOUT_S",
    "MAX_BODY_BYTES",
    "BoundedChannel",
    "BoundedRequest",
]

MAX_BODY_BYTES = ClientLimits().body_bytes
IDLE_TIMEOUT_S = 60
HEAD_FIELD_BYTES = 256  # memory of a line of a head, beside its text
HEAD_END = b"\r\n\r\n"
BODY_COPIES = 2  # the body, and the strings in its parsed form


class _BodyRefusedError(Exception):
    """Leaves the decoder of a body that was refused."""


class BoundedChannel(HTTPChannel):
    """A connection whose requests and answers are limited in size and in time.

    It reports what it holds to the `guard` of its factory, which decides when to stop
    reading and whom to refuse. Bodies for the factory's `unparsed_paths` are no JSON. A
    request that follows another one is processed when the answer to the first one has
    left the process.
    """

    factory: Any
    _guard: ConnectionGuard
    _row: Connection
    _is_refused = False
    _is_registering = False
    _answered: Request | None = None  # until its answer has been sent
    _head_lines = 0
    _head_bytes = 0
    _body_bytes = 0  # as received, with the framing of chunks

    def connectionMade(self) -> None:  # noqa: N802
        """Add the connection to the guard's."""
        super().connectionMade()
        self._guard = self.factory.guard
        self.maxHeaders = self._guard.limits.head_fields
        self._row = self._guard.open(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Remove the connection from the guard's."""
        self._is_refused = True
        self._guard.close(self._row)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count received bytes before they are parsed; discard them after a refusal."""
        if self._is_refused:
            return
        if self._row.phase is ConnectionPhase.IDLE:
            self._guard.move(self._row, ConnectionPhase.HEAD)
            self._head_lines = self._head_bytes = self._body_bytes = 0
        if not self._is_serving():
            self._guard.hold(self._row, len(data) + self._estimate_fields(data))
        if self._is_refused:
            return
        super().dataReceived(data)
        is_open = not self._is_refused and not self.transport.disconnecting
        if is_open and not self._is_serving():
            self._guard.limit_reading(self._row)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Count a line of a head."""
        self._head_lines += 1
        self._head_bytes += len(line) + len(self.delimiter)
        # the first line is no field
        if line and self._head_lines > self._guard.limits.head_fields + 1:
            self.refuse(RefusalKind.HEAD_FIELDS)
            return
        super().lineReceived(line)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Begin the time of the body."""
        super().allHeadersReceived()
        if not self._is_refused and self.length != 0:
            self._guard.move(self._row, ConnectionPhase.BODY)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Decode a part of a body, or keep what follows the request being served."""
        if self._is_serving():
            super().rawDataReceived(data)
            self._hold_read_ahead(len(data))
            return
        self._body_bytes += len(data)
        try:
            super().rawDataReceived(data)
            self._check_framing()
        except _BodyRefusedError:
            return

    def allContentReceived(self) -> None:  # noqa: N802
        """Count the request as whole."""
        if self._is_refused:
            return
        self._guard.release_held(self._row)
        self._guard.move(self._row, ConnectionPhase.SERVING)
        rest = sum(map(len, self._dataBuffer))
        if rest:
            self._hold_read_ahead(rest)
        super().allContentReceived()

    def requestDone(self, request: Request) -> None:  # noqa: N802
        """Wait until the answer has been sent.

        A pull producer is asked to resume whenever everything has been sent, a
        streaming one only after more than 64 KiB were unsent.
        """
        if self._is_refused:
            return
        self._answered = request
        self._guard.move(self._row, ConnectionPhase.UNREAD)
        self._guard.release_served(self._row)
        self._guard.hold(self._row, request.sentLength)
        self._is_registering = True
        self._networkProducer.unregisterProducer()
        self._networkProducer.registerProducer(self, False)
        self._is_registering = False

    def resumeProducing(self) -> None:  # noqa: N802
        """Accept the next request if an answer has been sent."""
        if self._is_registering or self._is_refused:
            return
        if self._answered is not None:
            self._accept_next()
            return
        super().resumeProducing()
        if self._guard.is_paused(self._row):
            self._networkProducer.pauseProducing()

    def _accept_next(self) -> None:
        request, self._answered = self._answered, None
        self._waitingForTransport = False
        self._networkProducer.unregisterProducer()
        if not self.transport.disconnecting:
            self._networkProducer.registerProducer(self, True)
        self._guard.release_held(self._row)
        is_last = not self.persistent
        phase = ConnectionPhase.CLOSING if is_last else ConnectionPhase.IDLE
        self._guard.move(self._row, phase)
        super().requestDone(request)

    def admit(self, path: bytes, query: bytes, body: bytes) -> bool:
        """Return whether a whole request may be served; refuse it otherwise."""
        limits = self._guard.limits
        if query.count(b"&") + query.count(b";") >= MAX_QUERY_FIELDS:
            self.refuse(RefusalKind.QUERY_FIELDS)
            return False
        is_parsed = path not in self.factory.unparsed_paths
        fields = count_fields(body, limits.body_fields) if is_parsed else 0
        if fields > limits.body_fields:
            self.refuse(RefusalKind.BODY_FIELDS)
            return False
        size = self._head_bytes + len(body)
        cost_bytes = (
            self._head_bytes
            + self._head_lines * HEAD_FIELD_BYTES
            + len(body) * BODY_COPIES
            + fields * FIELD_BYTES
        )
        if not self._guard.serve(self._row, size, cost_bytes):
            self.refuse(RefusalKind.MEMORY)
            return False
        return True

    def check_length(self, length: int) -> None:
        """Refuse a body whose declared length is too large."""
        if length > self._guard.limits.body_bytes:
            self.refuse(RefusalKind.BODY_BYTES)

    def check_chunk(self, count: int, size: int) -> None:
        """Refuse a body that has become too large, or comes in too many chunks."""
        if size > self._guard.limits.body_bytes:
            self._refuse_body(RefusalKind.BODY_BYTES)
        if are_chunks_too_many(self._guard.limits, count, size):
            self._refuse_body(RefusalKind.BODY_CHUNKS)

    def pause_reading(self) -> None:
        """Stop reading until memory is freed."""
        self._networkProducer.pauseProducing()

    def resume_reading(self) -> None:
        """Read again, unless the transport has much to send."""
        if not self._waitingForTransport:
            self._networkProducer.resumeProducing()

    def refuse(self, kind: RefusalKind) -> None:
        """Send the response, then discard input for a while before closing.

        Closing a socket with unread bytes resets the connection, so that the client
        may lose the response.
        """
        if self._is_refused:
            return
        self._is_refused = True
        self._guard.count_refusal(self._row, kind)
        self._forget_input()
        self.requests.clear()
        self._transferDecoder = None
        self.transport.write(format_refusal(self._guard.limits, kind))
        self.transport.loseWriteConnection()
        self._guard.move(self._row, ConnectionPhase.CLOSING)
        self._guard.release_held(self._row)
        self._guard.release_served(self._row)
        self._networkProducer.resumeProducing()

    def abort(self) -> None:
        """Close the connection at once."""
        self._is_refused = True
        self._forget_input()
        self.transport.abortConnection()

    def drop_read_ahead(self) -> None:
        """Forget what follows the request being served; close after its answer."""
        self._forget_input()
        self.persistent = 0
        for request in self.requests:
            if not request.startedWriting:
                request.responseHeaders.setRawHeaders(b"connection", [b"close"])
        self._guard.release_held(self._row)

    def peer(self) -> str:
        """Return the address of the client."""
        address = self.getPeer()
        return f"{address.host}:{address.port}"

    def _is_serving(self) -> bool:
        return self._row.phase in (ConnectionPhase.SERVING, ConnectionPhase.UNREAD)

    def _estimate_fields(self, data: bytes) -> int:
        """Return the memory of the lines of a head in received data, without text."""
        if self._row.phase is not ConnectionPhase.HEAD:
            return 0
        end = data.find(HEAD_END)
        lines = data.count(self.delimiter, 0, len(data) if end < 0 else end)
        return min(lines, self._guard.limits.head_fields) * HEAD_FIELD_BYTES

    def _hold_read_ahead(self, size: int) -> None:
        """Count bytes of a later request, and read no more until this one is done."""
        self._networkProducer.pauseProducing()
        self._guard.hold(self._row, size)

    def _forget_input(self) -> None:
        self.clearLineBuffer()
        self._dataBuffer = []

    def _refuse_body(self, kind: RefusalKind) -> None:
        self.refuse(kind)
        raise _BodyRefusedError

    def _check_framing(self) -> None:
        """Refuse a body in chunks that has long extensions or trailers."""
        if self._is_refused or self._is_serving() or self.length is not None:
            return
        request = self.requests[-1]
        framing_bytes = self._body_bytes - request.content.tell()
        if is_framing_too_large(request.chunk_count, framing_bytes):
            self._refuse_body(RefusalKind.BODY_CHUNKS)


class BoundedRequest(Request):
    """A request whose body is kept in memory and limited in size."""

    chunk_count = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body whose declared length is too large, before it is read.

        The base class would store a body above 100 kB in a temporary file.
        """
        self.content = BytesIO()
        if length is not None:
            self.channel.check_length(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a chunk of the body, unless the body is refused."""
        self.chunk_count += 1
        self.channel.check_chunk(self.chunk_count, self.content.tell() + len(data))
        super().handleContentChunk(data)

    def parseCookies(self) -> None:  # noqa: N802
        """Ignore cookies, which nothing uses; each would cost many times its bytes."""

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Process the request if it is admitted.

        The base class would parse forms in the body, and any number of fields in the
        query, into objects of a hundred times their bytes.
        """
        self.method, self.uri, self.clientproto = command, path, version
        self.path, _, query = path.partition(b"?")
        if not self.channel.admit(self.path, query, self.content.getvalue()):
            return
        self.args = parse_qs(query, True)
        self.content.seek(0)
        self.process()
