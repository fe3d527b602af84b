"""One HTTP exchange for the operators' commands."""

from typing import Any

from expression import Error, Ok, Result
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred

from kingcuppost.edges.http_client import JsonClient, Response
from kingcuppost.exception import Failure, PeerError
from kingcuppost.tables.config import Address

__all__ = ["Exchange", "exchange_all"]

from dataclasses import dataclass


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


def exchange_all(exchanges: list[Exchange]) -> list[Result[Response, Failure]]:
    """Send requests one after another and return their responses in order.

    Runs the reactor; a process calls this once.
    """
    results: list[Result[Response, Failure]] = []

    async def work() -> None:
        client = JsonClient(reactor)
        for item in exchanges:
            results.append(await _one(client, item))
        await client.close()

    def start() -> None:
        pending = ensureDeferred(work())
        pending.addBoth(_stop)

    reactor.callWhenRunning(start)
    reactor.run()
    return results


def _stop(result: Any) -> Any:
    reactor.stop()
    return result


async def _one(client: JsonClient, item: Exchange) -> Result[Response, Failure]:
    try:
        response = await client.exchange(
            item.method, item.address, item.path, item.body, item.timeout_ms
        )
    except PeerError as exc:
        return Error(Failure(exc.reason, exc.step, exc.peer))
    return Ok(response)
