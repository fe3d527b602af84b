"""Signal handlers and orderly exit of the process."""

import signal

from kingcuppost.edges.context import EdgeContext, senders
from kingcuppost.tables.inbox import StopRequested
from kingcuppost.tables.outbox import ExitProcess

__all__ = ["install_signals"]

FLUSH_CHECK_INTERVAL_S = 0.02
MAX_FLUSH_CHECKS = 100  # 2 s in total


def install_signals(context: EdgeContext) -> None:
    """Deliver a request to stop on SIGTERM or SIGINT."""

    # A signal may interrupt a tick, so the reactor delivers the message after it.
    def request_stop(signal_number: int, frame: object) -> None:
        context.reactor.callFromThread(context.deliver, StopRequested())

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)


@senders.register(ExitProcess)
def exit_process(context: EdgeContext, message: ExitProcess) -> None:
    """Close the ports, flush written responses, then stop the reactor.

    Responses that are written but not sent yet would be lost with the reactor. After a
    forced stop (non-zero exit code), the reactor is stopped immediately.
    """
    context.exit_code = message.code
    if message.code:
        _stop(context)
        return
    for listener in context.listeners:
        listener.port.stopListening()
        for connection in list(listener.factory.protocols):
            connection.loseConnection()
    _stop_when_flushed(context, MAX_FLUSH_CHECKS)


def _stop_when_flushed(context: EdgeContext, checks_left: int) -> None:
    open_connection_count = sum(
        len(listener.factory.protocols) for listener in context.listeners
    )
    if open_connection_count == 0 or checks_left == 0:
        _stop(context)
        return
    context.reactor.callLater(
        FLUSH_CHECK_INTERVAL_S, _stop_when_flushed, context, checks_left - 1
    )


def _stop(context: EdgeContext) -> None:
    if context.reactor.running:
        context.reactor.stop()
