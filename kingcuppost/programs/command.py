"""HTTP exchanges for the operators' commands."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from twisted.internet import reactor
from twisted.internet.defer import DeferredSemaphore, ensureDeferred, gatherResults

from kingcuppost.edges.http_client import JsonClient, Response
from kingcuppost.exception import Failure, PeerError
from kingcuppost.tables.config import Address

__all__ = ["Exchange", "Outcomes", "exchange_all", "exchange_then"]

EXCHANGES_AT_ONCE = 32


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request that a command sends.

    Attributes
    ----------
    method, path : str
        HTTP method and path with query.
    address : Address
        IP number and port of the process asked.
    body : bytes
        JSON text; empty for none.
    timeout_ms : int
        Bound on the whole exchange, in ms.
    """

    method: str
    path: str
    address: Address
    body: bytes = b""
    timeout_ms: int = 15_000


Outcomes = list[Result[Response, Failure]]


def exchange_all(exchanges: list[Exchange]) -> Outcomes:
    """Send requests side by side and return their responses in order.

    Runs the reactor; a process calls this or `exchange_then` once.
    """

    async def work(client: JsonClient) -> Outcomes:
        return await _send(client, exchanges)

    return _run(work)


def exchange_then(
    first: Exchange, follow: Callable[[Result[Response, Failure]], list[Exchange]]
) -> Outcomes:
    """Send one request, then those that its response leads to.

    Parameters
    ----------
    first : Exchange
        Sent first.
    follow : callable
        Makes the further requests from the first response.

    Returns
    -------
    list of Result
        The first response, then the further ones in order.
    """

    async def work(client: JsonClient) -> Outcomes:
        answer = await _one(client, first)
        return [answer, *await _send(client, follow(answer))]

    return _run(work)


def _run(work: Callable[[JsonClient], Any]) -> Outcomes:
    results: Outcomes = []

    async def run_and_close() -> None:
        client = JsonClient(reactor)
        results.extend(await work(client))
        await client.close()

    def start() -> None:
        pending = ensureDeferred(run_and_close())
        pending.addBoth(_stop)

    reactor.callWhenRunning(start)
    reactor.run()
    return results


def _stop(result: Any) -> Any:
    reactor.stop()
    return result


async def _send(client: JsonClient, exchanges: list[Exchange]) -> Outcomes:
    """Send requests, a bounded number at a time."""
    places = DeferredSemaphore(EXCHANGES_AT_ONCE)
    pending = [
        places.run(lambda item=item: ensureDeferred(_one(client, item)))
        for item in exchanges
    ]
    return await gatherResults(pending)


async def _one(client: JsonClient, item: Exchange) -> Result[Response, Failure]:
    try:
        response = await client.exchange(
            item.method, item.address, item.path, item.body, item.timeout_ms
        )
    except PeerError as exc:
        return Error(Failure(exc.reason, exc.step, exc.peer))
    return Ok(response)
