"""Run a role on the platform: ``python -m kingcuppost.platform entry``."""

import argparse
import sys
from dataclasses import dataclass

from expression import Result

from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.exception import Failure
from kingcuppost.platform.settings import PlatformConfig, read_settings
from kingcuppost.tables.identity import Role

__all__ = ["main"]

EXIT_INVALID = 2


@dataclass(frozen=True, slots=True)
class Outside:
    """What the adapter keeps beside the product's edges."""

    store: object


def _run(cfg: PlatformConfig) -> int:
    from twisted.internet import reactor

    from kingcuppost.batch.edges import listen, processes
    from kingcuppost.batch.tables.messages import Stream
    from kingcuppost.platform import streams
    from kingcuppost.platform.store import StoreClient

    context = processes.build_batch_context(cfg.daemon, reactor)
    context.outside = Outside(StoreClient(context, cfg.store))
    if cfg.daemon.role is Role.ENTRY:
        from kingcuppost.batch.edges import peers  # noqa: F401
        from kingcuppost.platform import callers  # noqa: F401

        listen(context, "callers", cfg.callers)
        listen(context, "readiness", cfg.readiness)
        for stream in Stream:
            reactor.callWhenRunning(
                streams.follow, context, context.outside.store, stream
            )
    listen(context, "peers", cfg.daemon.peers)
    if cfg.heartbeats is not None:
        from kingcuppost.platform import minion  # noqa: F401

        listen(context, "heartbeats", cfg.heartbeats)
    role = cfg.daemon.role

    def read() -> Result[DaemonConfig, Failure]:
        return read_settings(role).map(lambda changed: changed.daemon)

    return processes.run_batch_process(context, read)


def main(argv: list[str] | None = None) -> int:
    """Run a role until it is told to stop, and return the exit code."""
    parser = argparse.ArgumentParser(prog="kingcuppost.platform")
    parser.add_argument("role", choices=[role.value for role in Role])
    role = Role(parser.parse_args(argv).role)
    result = read_settings(role)
    if result.is_error():
        failure = result.error
        print(f"kingcuppost: {failure.step}: {failure.reason}", file=sys.stderr)
        return EXIT_INVALID
    return _run(result.ok)


if __name__ == "__main__":
    sys.exit(main())
