"""HTTP requests of the operators' commands."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from twisted.internet import reactor
from twisted.internet.defer import DeferredSemaphore, ensureDeferred, gatherResults

from kingcuppost.edges.http_client import JsonClient, Response
from kingcuppost.exception import Failure, PeerError
from kingcuppost.tables.config import Address

__all__ = ["CommandRequest", "RequestResults", "send_requests", "send_with_follow_ups"]

DEFAULT_TIMEOUT_MS = 15_000
MAX_CONCURRENT_REQUESTS = 32


@dataclass(frozen=True, slots=True)
class CommandRequest:
    """An HTTP request of a command.

    Attributes
    ----------
    method, path : str
        HTTP method, and path with query string.
    address : Address
        IP address and port of the process that answers.
    body : bytes
        JSON text; empty for none.
    timeout_ms : int
        Timeout of the whole exchange, in ms.
    """

    method: str
    path: str
    address: Address
    body: bytes = b""
    timeout_ms: int = DEFAULT_TIMEOUT_MS


RequestResults = list[Result[Response, Failure]]


def send_requests(requests: list[CommandRequest]) -> RequestResults:
    """Send requests concurrently and return their results in order.

    Runs the reactor, which cannot be restarted: a process can call either this or
    `send_with_follow_ups`, and only once.
    """

    async def send(client: JsonClient) -> RequestResults:
        return await _send_concurrently(client, requests)

    return _run_in_reactor(send)


def send_with_follow_ups(
    first: CommandRequest,
    make_follow_ups: Callable[[Result[Response, Failure]], list[CommandRequest]],
) -> RequestResults:
    """Send one request, then those that follow from its result.

    Runs the reactor; see `send_requests`.

    Parameters
    ----------
    first : CommandRequest
        Request that is sent first.
    make_follow_ups : callable
        Returns the further requests, given the result of the first.

    Returns
    -------
    list of Result
        Result of the first request, then those of the further ones in order.
    """

    async def send(client: JsonClient) -> RequestResults:
        result = await _send_one(client, first)
        return [result, *await _send_concurrently(client, make_follow_ups(result))]

    return _run_in_reactor(send)


def _run_in_reactor(send: Callable[[JsonClient], Any]) -> RequestResults:
    results: RequestResults = []

    async def run_and_close() -> None:
        client = JsonClient(reactor)
        results.extend(await send(client))
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


async def _send_concurrently(
    client: JsonClient, requests: list[CommandRequest]
) -> RequestResults:
    """Send requests, at most `MAX_CONCURRENT_REQUESTS` at a time."""
    semaphore = DeferredSemaphore(MAX_CONCURRENT_REQUESTS)
    pending = [
        semaphore.run(
            lambda request=request: ensureDeferred(_send_one(client, request))
        )
        for request in requests
    ]
    return await gatherResults(pending)


async def _send_one(
    client: JsonClient, request: CommandRequest
) -> Result[Response, Failure]:
    try:
        response = await client.exchange(
            request.method,
            request.address,
            request.path,
            request.body,
            request.timeout_ms,
        )
    except PeerError as exc:
        return Error(Failure(exc.reason, exc.step, exc.peer))
    return Ok(response)
