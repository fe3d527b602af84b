"""Input and output of a process: HTTP servers, clients, the tick loop and logs.

Edges decode received bytes into inbox messages and encode outbox messages into bytes.
Only this package, the other packages of edges and the programs import Twisted.
"""

from kingcuppost.utils.lazy import lazy_exports

__all__ = [  # noqa: F822
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

__getattr__ = lazy_exports(
    {
        "EdgeContext": "kingcuppost.edges.context",
        "EventLog": "kingcuppost.edges.observe",
        "JsonClient": "kingcuppost.edges.http_client",
        "TickLoop": "kingcuppost.edges.loop",
        "configure_logs": "kingcuppost.edges.observe",
        "drivers": "kingcuppost.edges.context",
        "install_signals": "kingcuppost.edges.signals",
        "listen": "kingcuppost.edges.http_server",
        "senders": "kingcuppost.edges.context",
    },
    load_first=tuple(
        f"kingcuppost.edges.{name}" for name in ("log", "observe", "peers", "worker")
    ),
)
