"""Calls to the store go through a peer while the store does not serve this machine."""

from dataclasses import replace

import pytest
from twisted.internet.defer import ensureDeferred

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.fleet import EntryMember
from kingcuppost.edges.http_client import Response
from kingcuppost.exception import PeerError
from kingcuppost.platform.store import StoreClient, StoreReply
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

STORE = Address("10.9.0.1", 9000)
OWN_ADDRESS = Address("10.0.0.1", 7000)
PEER = Address("10.0.0.2", 7000)
OTHER_PEERS = tuple(Address(f"10.0.0.{number}", 7000) for number in (3, 4, 5))


class FakeClient:
    """Answers by address, and records the addresses that were contacted."""

    def __init__(self) -> None:
        self.answers: dict[Address, Response | PeerError] = {}
        self.contacted: list[Address] = []

    async def exchange(
        self, method: str, address: Address, *rest: object, **options: object
    ) -> Response:
        self.contacted.append(address)
        answer = self.answers[address]
        if isinstance(answer, PeerError):
            raise answer
        return answer


class FakeContext:
    def __init__(self) -> None:
        cfg = DaemonConfig(Role.ENTRY, "entry-0", "z", OWN_ADDRESS, (OWN_ADDRESS, PEER))
        self.clock = ManualClock(start_ms=1_000)
        self.world = make_batch_world(cfg, self.clock, seed=1)
        self.client = FakeClient()

    def wake(self) -> None:
        pass


@pytest.fixture
def context() -> FakeContext:
    return FakeContext()


def call(store: StoreClient, max_routes: int = 2) -> StoreReply | Exception:
    results: list[StoreReply | Exception] = []
    pending = ensureDeferred(store.call("GET", "/path", b"", 100, max_routes))
    pending.addCallbacks(results.append, lambda error: results.append(error.value))
    return results[0]


def test_a_served_machine_contacts_only_the_store(context: FakeContext) -> None:
    context.client.answers = {STORE: Response(200, b"x")}
    assert call(StoreClient(context, STORE)) == StoreReply(200, b"x")
    assert context.client.contacted == [STORE]


def test_a_refused_machine_contacts_a_peer(context: FakeContext) -> None:
    context.client.answers = {STORE: Response(503, b""), PEER: Response(200, b"x")}
    store = StoreClient(context, STORE)
    assert call(store).status == 200
    assert call(store).status == 200
    assert context.client.contacted == [STORE, PEER, PEER]


def test_a_probe_detects_that_the_store_serves_again(context: FakeContext) -> None:
    context.client.answers = {STORE: Response(503, b""), PEER: Response(200, b"x")}
    store = StoreClient(context, STORE)
    call(store)
    context.client.answers[STORE] = Response(200, b"x")
    context.clock.advance(1_000)
    call(store)
    context.client.contacted.clear()
    call(store)
    assert context.client.contacted == [STORE]


def test_a_call_with_one_route_makes_no_second_attempt(context: FakeContext) -> None:
    timeout_error = PeerError("timed out", "exchange", str(STORE))
    context.client.answers = {STORE: timeout_error, PEER: Response(200, b"x")}
    store = StoreClient(context, STORE)
    assert isinstance(call(store, max_routes=1), PeerError)
    assert call(store, max_routes=1).status == 200


def test_a_timeout_leaves_the_outcome_unknown(context: FakeContext) -> None:
    timeout_error = PeerError("timed out", "exchange", str(STORE))
    context.client.answers = {STORE: timeout_error, PEER: Response(503, b"")}
    assert call(StoreClient(context, STORE)).may_have_run


def test_a_refused_connection_cannot_have_run(context: FakeContext) -> None:
    refused = PeerError("refused", "connect", str(STORE))
    context.client.answers = {STORE: refused, PEER: refused}
    error = call(StoreClient(context, STORE))
    assert isinstance(error, PeerError)
    assert error.step == "connect"


def test_a_peer_that_is_served_is_found_and_kept_by_all_calls(
    context: FakeContext,
) -> None:
    for peer in (PEER, *OTHER_PEERS):
        context.world.agreed.entries.put(EntryMember(str(peer), peer, "z", "inc"))
        context.client.answers[peer] = Response(503, b"")
    context.client.answers[STORE] = Response(503, b"")
    context.client.answers[OTHER_PEERS[-1]] = Response(200, b"x")
    store = StoreClient(context, STORE)
    for _ in range(10):
        call(store, max_routes=1)
    assert context.client.contacted.count(OTHER_PEERS[-1]) == 6
    for peer in (PEER, *OTHER_PEERS[:-1]):
        assert context.client.contacted.count(peer) == 1


def test_a_call_without_peers_is_not_relayed_through_the_store(
    context: FakeContext,
) -> None:
    context.world.cfg = replace(context.world.cfg, seeds=(OWN_ADDRESS,))
    context.client.answers = {STORE: Response(503, b"")}
    assert call(StoreClient(context, STORE)).status == 503
    assert context.client.contacted == [STORE]
