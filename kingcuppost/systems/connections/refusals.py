"""Kinds of refusals of clients, and how often they are logged."""

from enum import StrEnum

from kingcuppost.tables.connections import Connections, RefusalCount

__all__ = ["RefusalKind", "count_refusal"]

LOG_PERIOD_MS = 1_000


class RefusalKind(StrEnum):
    """The limit for which a connection was refused or closed."""

    CONNECTIONS = "connections"
    MEMORY = "memory"
    HEAD_FIELDS = "head_fields"
    QUERY_FIELDS = "query_fields"
    BODY_BYTES = "body_bytes"
    BODY_CHUNKS = "body_chunks"
    BODY_FIELDS = "body_fields"
    HEAD_TIME = "head_time"
    BODY_TIME = "body_time"
    UNREAD_TIME = "unread_time"


def count_refusal(connections: Connections, kind: RefusalKind, now_ms: int) -> int:
    """Count a refusal; return the number to log now, or 0.

    Each kind is logged at most once per second. A line has the number of refusals
    since the line before.
    """
    row = connections.refusals.setdefault(kind, RefusalCount())
    row.count += 1
    if row.logged_ms is not None and now_ms - row.logged_ms < LOG_PERIOD_MS:
        return 0
    count, row.count = row.count, 0
    row.logged_ms = now_ms
    return count
