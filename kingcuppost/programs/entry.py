"""Program of an entry, which serves callers, operators and peers."""

from kingcuppost.edges import listen
from kingcuppost.programs.process import build_context, run_process
from kingcuppost.tables.config import ProcessConfig

__all__ = ["run_entry"]


def run_entry(cfg: ProcessConfig) -> int:
    """Run an entry until it is requested to stop.

    Parameters
    ----------
    cfg : ProcessConfig
        Settings of the process.

    Returns
    -------
    int
        Exit code: 0 after a graceful stop, 1 after a forced one.
    """
    context = build_context(cfg)
    ports = context.world.announcement
    callers = cfg.entry.callers
    operators = cfg.entry.operators
    ports.caller_port = listen(context, "callers", callers.host, callers.port)
    ports.operator_port = listen(context, "operators", operators.host, operators.port)
    ports.peer_port = listen(context, "peers", cfg.peers.host, cfg.peers.port)
    return run_process(context)
