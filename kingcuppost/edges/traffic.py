"""Counters of the bytes that a process sends and receives over TCP."""

from collections.abc import Iterable
from typing import Any

from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from zope.interface import implementer

from kingcuppost.tables.metrics import Tally

__all__ = ["CountedEndpoint", "CountedFactory"]

METRIC_NAME = "bytes"


class _CountedProtocol(ProtocolWrapper):
    """Adds sent and received bytes to the tally of its factory."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.factory.tally.add(METRIC_NAME, "received", amount=len(data))
        super().dataReceived(data)

    def write(self, data: bytes) -> None:
        self.factory.tally.add(METRIC_NAME, "sent", amount=len(data))
        super().write(data)

    def writeSequence(self, data: Iterable[bytes]) -> None:  # noqa: N802
        parts = list(data)
        self.factory.tally.add(METRIC_NAME, "sent", amount=sum(map(len, parts)))
        super().writeSequence(parts)


class CountedFactory(WrappingFactory):
    """Wraps a protocol factory and counts the bytes of its connections.

    Parameters
    ----------
    wrapped : object
        The wrapped protocol factory.
    tally : Tally
        Counts the bytes sent and received.
    """

    protocol = _CountedProtocol
    noisy = False

    def __init__(self, wrapped: Any, tally: Tally) -> None:
        super().__init__(wrapped)
        self.tally = tally


@implementer(IStreamClientEndpoint)
class CountedEndpoint:
    """Wraps a client endpoint and counts the bytes of its connections.

    Parameters
    ----------
    endpoint : object
        The wrapped endpoint.
    tally : Tally
        Counts the bytes sent and received.
    """

    def __init__(self, endpoint: Any, tally: Tally) -> None:
        self._endpoint = endpoint
        self._tally = tally

    def connect(self, protocolFactory: Any) -> Any:  # noqa: N803
        """Connect; return a deferred of the protocol that `protocolFactory` builds."""
        pending = self._endpoint.connect(CountedFactory(protocolFactory, self._tally))
        return pending.addCallback(lambda wrapper: wrapper.wrappedProtocol)
