"""Reading of a response's body; a reader that is cancelled closes its connection."""

from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import PotentialDataLoss, ResponseDone

__all__ = ["BodyReader"]


class BodyReader(Protocol):
    """Collects the body of a response.

    Twisted's own reader leaves the connection open when it is cancelled, so that the
    rest of the body would still use the link.

    Parameters
    ----------
    on_part : callable
        Called whenever a part of the body has arrived.

    Attributes
    ----------
    body : Deferred of bytes
        The complete body.
    """

    def __init__(self, on_part: Callable[[], None]) -> None:
        self._on_part = on_part
        self._parts: list[bytes] = []
        self.body: Deferred[bytes] = Deferred(self._close)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body."""
        self._parts.append(data)
        self._on_part()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Fire the deferred at the end of the body, or when the connection is lost."""
        if self.body.called:
            return
        # `PotentialDataLoss`: the body ends with its connection
        if reason.check(ResponseDone, PotentialDataLoss):
            self.body.callback(b"".join(self._parts))
        else:
            self.body.errback(reason)

    def _close(self, body: Deferred) -> None:
        self.transport.loseConnection()
