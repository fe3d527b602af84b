"""Edges: bytes to inbox messages, outbox messages to bytes.

Only this package and the programs import twisted.
"""

from kingcuppost.edges import log, observe, peers, worker
from kingcuppost.edges.context import EdgeContext, drivers, senders
from kingcuppost.edges.http_client import JsonClient
from kingcuppost.edges.http_server import listen
from kingcuppost.edges.loop import TickLoop
from kingcuppost.edges.observe import EventLog, configure_logs
from kingcuppost.edges.signals import install_signals

__all__ = [
    "EdgeContext",
    "EventLog",
    "JsonClient",
    "TickLoop",
    "configure_logs",
    "drivers",
    "install_signals",
    "listen",
    "senders",
]

del log, observe, peers, worker
