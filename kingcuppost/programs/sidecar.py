"""Program of a sidecar; one runs beside each minion."""

from kingcuppost.edges import drivers, listen
from kingcuppost.programs.process import build_context, run_process
from kingcuppost.tables.config import ProcessConfig

__all__ = ["run_sidecar"]


def run_sidecar(cfg: ProcessConfig) -> int:
    """Run a sidecar until it is requested to stop.

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
    worker_driver = drivers["worker", cfg.sidecar.worker.driver]
    context.external_clients["worker"] = worker_driver(context)
    announcement = context.world.announcement
    operators = cfg.sidecar.operators
    announcement.operator_port = listen(
        context, "operators", operators.host, operators.port
    )
    announcement.peer_port = listen(context, "peers", cfg.peers.host, cfg.peers.port)
    return run_process(context)
