"""Sends a bounded open-loop load of callers' requests to running entries.

``python -m standins.load --callers IP:PORT --team T --service S --rate 50
--seconds 10`` sends requests at a fixed rate without waiting for answers, and prints
outcomes and latencies as one JSON line. Only loopback addresses are accepted.
"""

import argparse
import json
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from kingcuppost.edges.http_client import JsonClient
from kingcuppost.exception import PeerError
from kingcuppost.tables.config import Address

__all__ = ["LoadReport", "LoadRun", "percentile"]

LOOPBACK = "127.0.0.1"
MS_PER_SECOND = 1_000
MAX_REQUESTS = 100_000
MAX_DURATION_S = 120


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which a fraction of the values lies; 0 without values.

    Examples
    --------
    >>> percentile([3, 1, 2, 4], 0.5)
    3
    """
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[min(int(fraction * len(ranked)), len(ranked) - 1)]


@dataclass(frozen=True)
class LoadReport:
    """Result of a load run.

    Attributes
    ----------
    sent : int
        Requests sent.
    outcomes : dict of str to int
        Number of requests by outcome; ``"failed"`` without an HTTP answer.
    p50_ms, p99_ms, worst_ms : float
        Latencies of answered requests, in ms.
    """

    sent: int
    outcomes: dict[str, int]
    p50_ms: float
    p99_ms: float
    worst_ms: float


@dataclass
class LoadRun:
    """A load run and its results so far.

    Attributes
    ----------
    addresses : list of Address
        Entries' ports for callers; they receive the requests in turn.
    request : dict
        Body of each request.
    rate : float
        Requests per second.
    seconds : float
        Duration of sending.
    outcomes : Counter of str
        Number of requests by outcome.
    latencies_ms : list of float
        Latencies of answered requests.
    """

    addresses: list[Address]
    request: dict[str, object]
    rate: float
    seconds: float
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies_ms: list[float] = field(default_factory=list)

    async def run(self) -> LoadReport:
        """Send all requests, wait for their answers and return the report."""
        client = JsonClient(reactor)
        total = min(int(self.rate * self.seconds), MAX_REQUESTS)
        begin_s = time.monotonic()
        pending = []
        for number in range(total):
            wait_s = begin_s + number / self.rate - time.monotonic()
            await deferLater(reactor, max(wait_s, 0.0), lambda: None)
            pending.append(ensureDeferred(self._send(client, number)))
        for one in pending:
            await one
        await client.close()
        return self.report(total)

    async def _send(self, client: JsonClient, number: int) -> None:
        address = self.addresses[number % len(self.addresses)]
        body = json.dumps(self.request).encode()
        begin_s = time.monotonic()
        try:
            response = await client.exchange(
                "POST", address, "/v1/requests", body, MAX_DURATION_S * MS_PER_SECOND
            )
        except PeerError:
            self.outcomes["failed"] += 1
            return
        outcome = json.loads(response.body)["outcome"]
        self.outcomes[outcome] += 1
        if outcome == "answered":
            self.latencies_ms.append((time.monotonic() - begin_s) * MS_PER_SECOND)

    def report(self, sent: int) -> LoadReport:
        """Return the report of the run so far."""
        return LoadReport(
            sent,
            dict(self.outcomes),
            round(percentile(self.latencies_ms, 0.5), 1),
            round(percentile(self.latencies_ms, 0.99), 1),
            round(max(self.latencies_ms, default=0.0), 1),
        )


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if host != LOOPBACK:
        raise argparse.ArgumentTypeError(f"{host} is not {LOOPBACK}")
    return Address(host, int(port))


def main() -> int:
    """Run the load given on the command line."""
    parser = argparse.ArgumentParser(prog="standins.load")
    parser.add_argument("--callers", type=_address, action="append", required=True)
    parser.add_argument("--team", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--body", default="")
    parser.add_argument("--timeout-ms", type=int, default=0)
    parser.add_argument("--rate", type=float, default=20.0, help="requests per second")
    parser.add_argument("--seconds", type=float, default=5.0)
    args = parser.parse_args()
    request = {
        "team": args.team,
        "service": args.service,
        "body": args.body,
        "timeout_ms": args.timeout_ms,
    }
    seconds = min(args.seconds, MAX_DURATION_S)
    run = LoadRun(args.callers, request, args.rate, seconds)

    async def work() -> None:
        print(json.dumps((await run.run()).__dict__))

    pending = ensureDeferred(work())
    pending.addBoth(lambda result: (reactor.stop(), result)[1])
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
