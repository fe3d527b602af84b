"""Client of the platform's store, which makes calls directly or through a peer.

The store may refuse one machine while it serves the others. A call that fails directly
is sent to another entry, which relays it to the store unchanged. A call is relayed at
most once.
"""

from dataclasses import dataclass

from twisted.web.server import Request

from kingcuppost.batch.edges.context import BatchContext, deliver_later
from kingcuppost.batch.edges.peers import peer_paths
from kingcuppost.batch.edges.server import answer, unparsed
from kingcuppost.edges.http_client import Response
from kingcuppost.exception import PeerError
from kingcuppost.platform.peer_routes import PeerRoutes
from kingcuppost.tables.config import Address

__all__ = ["StoreClient", "StoreReply"]

RELAY_PATH = "/peer/store"
RELAY_HEADER = "Kingcuppost-Call"
TIMEOUT_HEADER = "Kingcuppost-Timeout-Ms"
PROBE_PERIOD_MS = 1_000
PROBE_TIMEOUT_MS = 500
# a probe reads little: the newest record of each member
PROBE_PATH = "/kingcuppost/log-newest?topic=keyed.members&part=0"
# between two parts of an answer, which may be too long for one timeout on a slow link
STALL_TIMEOUT_MS = 400
RELAY_MARGIN_MS = 300  # for the exchange with the relay itself
MAX_RELAY_TIMEOUT_MS = 10_000  # whatever timeout the peer requests
STATUS_BAD_REQUEST = 400
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
REFUSED_STATUSES = (429, STATUS_UNAVAILABLE)


@dataclass(frozen=True, slots=True)
class StoreReply:
    """Answer of the store.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        Complete body.
    may_have_run : bool
        Whether an earlier attempt of the call, by another route, may have been
        carried out.
    """

    status: int
    body: bytes
    may_have_run: bool = False

    @property
    def is_refused(self) -> bool:
        """Return whether the store refused the call without carrying it out."""
        return self.status in REFUSED_STATUSES


class StoreClient:
    """Makes calls to the store, directly or through another entry.

    Parameters
    ----------
    context : BatchContext
        Context of the process.
    address : Address
        Address of the store.
    """

    def __init__(self, context: BatchContext, address: Address) -> None:
        self._context = context
        self.address = address
        self._is_unavailable = False
        self._probe_at_ms = 0
        self._peers = PeerRoutes(context.world.cfg.peers)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_ms: int,
        max_routes: int = 2,
    ) -> StoreReply:
        """Make a call and return the first answer that is not a refusal.

        If every route fails, the failure of the last one counts: a refusal is returned,
        an error is raised. While the store does not serve this machine, a peer is tried
        first, and probes detect when the store serves the machine again.

        Parameters
        ----------
        method, path : str
            HTTP method, and path with query.
        body : bytes
            Body of the request; empty for none.
        timeout_ms : int
            Timeout of each attempt, in ms; a relayed one gets `RELAY_MARGIN_MS` more,
            and an answer that has begun may go on while its parts arrive.
        max_routes : int
            Maximum number of routes to try; with 1 there is no second attempt.

        Raises
        ------
        PeerError
            If the last route gave no answer; the step is ``"connect"`` if the call
            cannot have been carried out.
        """
        call_routes = self._choose_routes()
        may_have_run = False
        last_result: StoreReply | PeerError | None = None
        for relay_address in call_routes[:max_routes]:
            try:
                reply = await self._call_through(
                    relay_address, method, path, body, timeout_ms
                )
            except PeerError as exc:
                may_have_run = may_have_run or exc.step != "connect"
                last_result = exc
            else:
                if not reply.is_refused:
                    return reply
                last_result = reply
        if isinstance(last_result, StoreReply):
            return StoreReply(last_result.status, last_result.body, may_have_run)
        raise PeerError(
            last_result.reason,
            "exchange" if may_have_run else "connect",
            last_result.peer,
        )

    def _choose_routes(self) -> list[Address | None]:
        """Return the routes in the order in which to try them; None is the direct one.

        While the store does not serve this machine, a peer comes first.
        """
        peer = self._choose_peer()
        if peer is None:
            return [None]
        if not self._is_unavailable:
            return [None, peer]
        self._probe_if_due()
        return [peer, None]

    async def _call_through(
        self,
        relay_address: Address | None,
        method: str,
        path: str,
        body: bytes,
        timeout_ms: int,
    ) -> StoreReply:
        if relay_address is None:
            return await self.call_directly(method, path, body, timeout_ms)
        try:
            reply = await self._relay(relay_address, method, path, body, timeout_ms)
        except PeerError:
            self._peers.record_failure(
                relay_address, self._context.world.clock.now_ms()
            )
            raise
        if reply.is_refused:
            self._peers.record_failure(
                relay_address, self._context.world.clock.now_ms()
            )
        else:
            self._peers.record_success(relay_address)
        return reply

    async def _relay(
        self,
        relay_address: Address,
        method: str,
        path: str,
        body: bytes,
        timeout_ms: int,
    ) -> StoreReply:
        headers = {RELAY_HEADER: f"{method} {path}", TIMEOUT_HEADER: str(timeout_ms)}
        response = await self._context.client.exchange(
            "POST",
            relay_address,
            RELAY_PATH,
            body,
            timeout_ms + RELAY_MARGIN_MS,
            headers,
            STALL_TIMEOUT_MS,
        )
        if response.status == STATUS_BAD_GATEWAY:
            raise PeerError("the relay has no answer", "exchange", str(relay_address))
        return StoreReply(response.status, response.body)

    async def call_directly(
        self, method: str, path: str, body: bytes, timeout_ms: int
    ) -> StoreReply:
        """Call the store without a relay, and record whether it serves this machine.

        Raises
        ------
        PeerError
            If the store gave no answer.
        """
        try:
            response = await self._context.client.exchange(
                method,
                self.address,
                path,
                body,
                timeout_ms,
                stall_timeout_ms=STALL_TIMEOUT_MS,
            )
        except PeerError as exc:
            self._mark_unavailable(str(exc))
            raise
        reply = StoreReply(response.status, response.body)
        if reply.is_refused:
            self._mark_unavailable(f"status {response.status}")
        elif self._is_unavailable:
            self._is_unavailable = False
            self._context.world.note("store", "The store serves this machine again.")
        return reply

    def _mark_unavailable(self, reason: str) -> None:
        world = self._context.world
        if not self._is_unavailable:
            world.note("store", "The store does not serve this machine.", reason=reason)
            self._probe_at_ms = world.clock.now_ms() + PROBE_PERIOD_MS
        self._is_unavailable = True

    def _probe_if_due(self) -> None:
        """Send the store a probe once per period, without waiting for the answer."""
        now_ms = self._context.world.clock.now_ms()
        if now_ms >= self._probe_at_ms:
            self._probe_at_ms = now_ms + PROBE_PERIOD_MS
            deliver_later(self._context, self._send_probe())

    async def _send_probe(self) -> None:
        try:
            await self.call_directly("GET", PROBE_PATH, b"", PROBE_TIMEOUT_MS)
        except PeerError:
            # already logged when the store stopped serving this machine
            self._context.world.tally.add("probes_failed")

    def _choose_peer(self) -> Address | None:
        """Return the address of another entry; None if no other entry is known."""
        world = self._context.world
        known_addresses = (
            [entry.address for entry in world.agreed.entries]
            or list(world.sidecar_state.entries)
            or list(world.cfg.seeds)
        )
        return self._peers.choose(known_addresses)


@unparsed("peers", RELAY_PATH)
@peer_paths.register(RELAY_PATH)
def relay_call(context: BatchContext, request: Request) -> None:
    """Relay a peer's call to the store.

    The method and the path of the call are in the header `RELAY_HEADER`, the timeout is
    in `TIMEOUT_HEADER`.
    """
    store = getattr(context.adapter_state, "store", None)
    call = request.getHeader(RELAY_HEADER) or ""
    method, _, path = call.partition(" ")
    timeout_text = request.getHeader(TIMEOUT_HEADER) or ""
    if store is None or not path.startswith("/") or not timeout_text.isdigit():
        answer(request, STATUS_BAD_REQUEST)
        return
    timeout_ms = min(int(timeout_text), MAX_RELAY_TIMEOUT_MS)
    # a peer may disconnect before the answer; this is not an error
    disconnected = request.notifyFinish()
    disconnected.addErrback(lambda _: None)
    context.world.tally.add("relayed")
    body = request.content.read()
    deliver_later(
        context, _answer_relayed_call(store, request, method, path, body, timeout_ms)
    )


async def _answer_relayed_call(
    store: StoreClient,
    request: Request,
    method: str,
    path: str,
    body: bytes,
    timeout_ms: int,
) -> None:
    try:
        reply = await store.call_directly(method, path, body, timeout_ms)
    except PeerError as exc:
        # the peer takes 503 as a refusal and 502 as an unknown outcome
        never_sent = exc.step == "connect"
        reply = Response(STATUS_UNAVAILABLE if never_sent else STATUS_BAD_GATEWAY, b"")
    if not request._disconnected:
        answer(request, reply.status, reply.body)
