"""The client of the platform's store, with peers as a second way to it.

The store may turn one machine away while it serves the others. A call that could not
be made directly goes through an entry that is served; entries hand on calls as they
are, and never further than once.
"""

from dataclasses import dataclass

from twisted.web.server import Request

from kingcuppost.batch.edges.context import BatchContext, deliver_later
from kingcuppost.batch.edges.peers import peer_paths
from kingcuppost.batch.edges.server import answer
from kingcuppost.edges.http_client import Response
from kingcuppost.exception import PeerError
from kingcuppost.tables.config import Address

__all__ = ["StoreClient", "StoreReply"]

RELAY_PATH = "/peer/store"
RELAY_HEADER = "Kingcuppost-Call"
TIMEOUT_HEADER = "Kingcuppost-Timeout-Ms"
PROBE_MS = 1_000
PROBE_TIMEOUT_MS = 500
PROBE_PATH = "/kingcuppost/log-newest?topic=keyed.members&part=0"
RELAY_MARGIN_MS = 300
LONGEST_TIMEOUT_MS = 10_000
STATUS_BAD = 400
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
TURNED_AWAY = (429, STATUS_UNAVAILABLE)


@dataclass(frozen=True, slots=True)
class StoreReply:
    """What the store answered.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        The whole body.
    doubtful : bool
        Whether an earlier copy of the call may have been carried out.
    """

    status: int
    body: bytes
    doubtful: bool = False

    @property
    def turned_away(self) -> bool:
        """Whether the store did nothing."""
        return self.status in TURNED_AWAY


class StoreClient:
    """Calls to the store, directly or through an entry.

    Parameters
    ----------
    context : BatchContext
        The process's edges.
    address : Address
        The store.
    """

    def __init__(self, context: BatchContext, address: Address) -> None:
        self._context = context
        self.address = address
        self._is_distrusted = False
        self._probe_at_ms = 0
        self._next_peer = 0

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_ms: int,
        most_ways: int = 2,
    ) -> StoreReply:
        """Make a call and return the answer of the first way that is served.

        While the store does not serve this machine, a peer comes first, and a probe
        finds out when the store serves it again.

        Raises
        ------
        PeerError
            If no way gave an answer; step ``"connect"`` if the call surely never
            reached the store.
        """
        ways = [None, self._peer()]
        if self._is_distrusted:
            ways.reverse()
            self._probe()
        doubtful = False
        last: StoreReply | PeerError | None = None
        for way in ways[:most_ways]:
            try:
                reply = await self._by(way, method, path, body, timeout_ms)
            except PeerError as exc:
                doubtful = doubtful or exc.step != "connect"
                last = exc
            else:
                if not reply.turned_away:
                    return reply
                last = reply
        if isinstance(last, StoreReply):
            return StoreReply(last.status, last.body, doubtful)
        raise PeerError(last.reason, "exchange" if doubtful else "connect", last.peer)

    async def _by(
        self, way: Address | None, method: str, path: str, body: bytes, timeout_ms: int
    ) -> StoreReply:
        if way is None:
            return await self.direct(method, path, body, timeout_ms)
        headers = {RELAY_HEADER: f"{method} {path}", TIMEOUT_HEADER: str(timeout_ms)}
        response = await self._context.client.exchange(
            "POST", way, RELAY_PATH, body, timeout_ms + RELAY_MARGIN_MS, headers
        )
        if response.status == STATUS_BAD_GATEWAY:
            raise PeerError("the relay has no answer", "exchange", str(way))
        return StoreReply(response.status, response.body)

    async def direct(
        self, method: str, path: str, body: bytes, timeout_ms: int
    ) -> StoreReply:
        """Make a call to the store itself, and note whether this machine is served."""
        try:
            response = await self._context.client.exchange(
                method, self.address, path, body, timeout_ms
            )
        except PeerError as exc:
            self._distrust(str(exc))
            raise
        reply = StoreReply(response.status, response.body)
        if reply.turned_away:
            self._distrust(f"status {response.status}")
        elif self._is_distrusted:
            self._is_distrusted = False
            self._context.world.note("store", "The store serves this machine again.")
        return reply

    def _distrust(self, reason: str) -> None:
        world = self._context.world
        if not self._is_distrusted:
            world.note("store", "The store does not serve this machine.", reason=reason)
            self._probe_at_ms = world.clock.now_ms() + PROBE_MS
        self._is_distrusted = True

    def _probe(self) -> None:
        """Ask the store itself for little, now and then, without waiting for it."""
        now_ms = self._context.world.clock.now_ms()
        if now_ms >= self._probe_at_ms:
            self._probe_at_ms = now_ms + PROBE_MS
            deliver_later(self._context, self._ask_little())

    async def _ask_little(self) -> None:
        try:
            await self.direct("GET", PROBE_PATH, b"", PROBE_TIMEOUT_MS)
        except PeerError:
            # noted when the store began to turn this machine away
            self._context.world.tally.add("probes_failed")

    def _peer(self) -> Address:
        """Return another entry, each in turn."""
        world = self._context.world
        known = [entry.address for entry in world.agreed.entries]
        known = known or list(world.sidecar_state.entries) or list(world.cfg.seeds)
        others = [address for address in known if address != world.cfg.peers]
        if not others:
            return self.address
        self._next_peer += 1
        return others[self._next_peer % len(others)]


@peer_paths.register(RELAY_PATH)
def relay(context: BatchContext, request: Request) -> None:
    """Hand a peer's call on to the store."""
    store = getattr(context.adapter_state, "store", None)
    call = request.getHeader(RELAY_HEADER) or ""
    method, _, path = call.partition(" ")
    text = request.getHeader(TIMEOUT_HEADER) or ""
    if store is None or not path.startswith("/") or not text.isdigit():
        answer(request, STATUS_BAD)
        return
    timeout_ms = min(int(text), LONGEST_TIMEOUT_MS)
    gone = request.notifyFinish()
    gone.addErrback(lambda _: None)
    context.world.tally.add("relayed")
    body = request.content.read()
    deliver_later(context, _relay(store, request, method, path, body, timeout_ms))


async def _relay(
    store: StoreClient,
    request: Request,
    method: str,
    path: str,
    body: bytes,
    timeout_ms: int,
) -> None:
    try:
        reply = await store.direct(method, path, body, timeout_ms)
    except PeerError as exc:
        never = exc.step == "connect"
        reply = Response(STATUS_UNAVAILABLE if never else STATUS_BAD_GATEWAY, b"")
    if not request._disconnected:
        answer(request, reply.status, reply.body)
