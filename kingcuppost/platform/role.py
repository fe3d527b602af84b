"""Setup of a role: settings, edges, and the product's tick loop."""

import socket
import sys
from importlib import import_module

from expression import Result
from twisted.internet import reactor

from kingcuppost.batch.edges import BatchContext, listen, processes
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.messages import Stream
from kingcuppost.exception import Failure
from kingcuppost.platform import streams
from kingcuppost.platform.adapter_state import AdapterState
from kingcuppost.platform.settings import PlatformConfig, read_settings
from kingcuppost.platform.store import StoreClient
from kingcuppost.tables.identity import Role

__all__ = ["run_role"]

EXIT_INVALID_SETTINGS = 2
# modules that only one role needs are imported when that role is set up
ADAPTER_PACKAGE = "kingcuppost.platform"


def _run_process(cfg: PlatformConfig, listener: socket.socket | None) -> int:
    context = processes.build_batch_context(cfg.daemon, reactor)
    context.world.connections.limits = cfg.client_limits
    context.adapter_state = AdapterState(StoreClient(context, cfg.store), cfg.limits)
    if cfg.daemon.role is Role.ENTRY:
        _serve_callers(context, cfg, listener)
    listen(context, "peers", cfg.daemon.peers)
    if cfg.heartbeats is not None:
        import_module(f"{ADAPTER_PACKAGE}.minion")
        listen(context, "heartbeats", cfg.heartbeats)
    role = cfg.daemon.role

    def read_daemon_config() -> Result[DaemonConfig, Failure]:
        return read_settings(role).map(lambda platform_config: platform_config.daemon)

    return processes.run_batch_process(context, read_daemon_config)


def _serve_callers(
    context: BatchContext, cfg: PlatformConfig, listener: socket.socket | None
) -> None:
    import_module("kingcuppost.batch.edges.peers")
    import_module(f"{ADAPTER_PACKAGE}.appends")
    import_module(f"{ADAPTER_PACKAGE}.callers")
    listen(context, "callers", cfg.callers, listener)
    listen(context, "readiness", cfg.readiness)
    for stream in Stream:
        reactor.callWhenRunning(
            streams.follow_stream, context, context.adapter_state.store, stream
        )


def run_role(role: Role, listener: socket.socket | None = None) -> int:
    """Run a role until it is requested to stop, and return the exit code.

    Parameters
    ----------
    role : Role
        Role to run.
    listener : socket, optional
        Socket that already listens at the callers' address.
    """
    result = read_settings(role)
    if result.is_error():
        failure = result.error
        print(f"kingcuppost: {failure.step}: {failure.reason}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    return _run_process(result.ok, listener)
