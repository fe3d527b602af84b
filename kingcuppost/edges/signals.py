"""Signals and the end of the process."""

import signal

from kingcuppost.edges.context import EdgeContext, senders
from kingcuppost.tables.inbox import StopRequested
from kingcuppost.tables.outbox import ExitProcess

__all__ = ["install_signals"]


def install_signals(context: EdgeContext) -> None:
    """Turn SIGTERM and SIGINT into requests to stop."""

    def handle(number: int, frame: object) -> None:
        context.reactor.callFromThread(context.deliver, StopRequested())

    signal.signal(signal.SIGTERM, handle)
    signal.signal(signal.SIGINT, handle)


@senders.register(ExitProcess)
def exit_process(context: EdgeContext, row: ExitProcess) -> None:
    """Stop the loop, with the code that the systems chose."""
    context.drivers["exit_code"] = row.code
    if context.reactor.running:
        context.reactor.stop()
