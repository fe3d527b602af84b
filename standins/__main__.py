"""Runs a stand-in: ``python -m standins log|worker|minion|proxy``."""

import argparse
from collections.abc import Callable

from standins.fault_proxy import FaultProxy
from standins.log_service import LogService
from standins.minion import Minion
from standins.service import JsonService, serve
from standins.worker_host import WorkerHost

KINDS: dict[str, Callable[[str], JsonService]] = {
    "log": lambda name: LogService(),
    "worker": lambda name: WorkerHost(),
    "minion": Minion,
    "proxy": lambda name: FaultProxy(),
}


def main() -> None:
    """Serve the stand-in named on the command line."""
    parser = argparse.ArgumentParser(prog="standins")
    parser.add_argument("kind", choices=sorted(KINDS))
    parser.add_argument("--name", default="minion")
    parser.add_argument("--port", type=int, default=0)
    args = parser.parse_args()
    serve(KINDS[args.kind](args.name), args.port)


if __name__ == "__main__":
    main()
