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
        Exit code: 0 after a graceful stop, 1 after a forced one, 70 after a failed
        tick.
    """
    context = build_context(cfg)
    announcement = context.world.announcement
    callers = cfg.entry.callers
    operators = cfg.entry.operators
    announcement.caller_port = listen(context, "callers", callers.host, callers.port)
    announcement.operator_port = listen(
        context, "operators", operators.host, operators.port
    )
    announcement.peer_port = listen(context, "peers", cfg.peers.host, cfg.peers.port)
    return run_process(context)
