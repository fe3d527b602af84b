"""Choice of the peer that relays a call to the store."""

from kingcuppost.tables.config import Address

__all__ = ["PeerRoutes"]

NEVER_MS = -1


class PeerRoutes:
    """Times of the last failures of peers; all calls of a process share them.

    Parameters
    ----------
    own_address : Address
        Address of this process, which is never chosen.

    Examples
    --------
    >>> one, two, three = (Address("10.0.0.1", port) for port in (1, 2, 3))
    >>> routes = PeerRoutes(two)
    >>> routes.choose([one, two, three]).port
    3
    >>> routes.record_failure(three, now_ms=5)
    >>> routes.choose([one, two, three]).port
    1
    """

    def __init__(self, own_address: Address) -> None:
        self._own_address = own_address
        self._failed_ms: dict[Address, int] = {}

    def choose(self, addresses: list[Address]) -> Address | None:
        """Return the peer whose last failure is longest ago; None if there is no peer.

        Among peers without a failure it is the next one after this process in the
        order of addresses, so that processes do not all choose the same peer.
        """
        ring = sorted({*addresses, self._own_address}, key=str)
        start = ring.index(self._own_address) + 1
        peers = ring[start:] + ring[: start - 1]
        return min(
            peers,
            key=lambda address: self._failed_ms.get(address, NEVER_MS),
            default=None,
        )

    def record_failure(self, address: Address, now_ms: int) -> None:
        """Record that a peer did not answer, or is not served by the store either."""
        self._failed_ms[address] = now_ms

    def record_success(self, address: Address) -> None:
        """Forget the failures of a peer that relayed a call."""
        self._failed_ms.pop(address, None)
