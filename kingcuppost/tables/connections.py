"""Connections of clients, and the limits on what they may hold."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "ClientLimits",
    "Connection",
    "ConnectionPhase",
    "Connections",
    "RefusalCount",
]


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on what clients' connections may hold in one process.

    The default values are those of the smallest machine, with 160 MB of memory and
    1,638 file descriptors.

    Attributes
    ----------
    held_bytes : int
        Bytes of requests that all connections hold together.
    connections : int
        Open connections of clients.
    body_bytes, body_chunks, body_fields : int
        Bytes, chunks and JSON values of the body of a request.
    head_fields : int
        Lines of the head of a request.
    head_ms, body_ms : int
        Time from the first to the last byte of a head, and of a body.
    unread_ms : int
        Time for which an answer may be partly unsent.
    """

    held_bytes: int = 10_485_760
    connections: int = 719
    body_bytes: int = 1_048_576
    body_chunks: int = 8_192
    body_fields: int = 131_072
    head_fields: int = 500
    head_ms: int = 4_000
    body_ms: int = 5_000
    unread_ms: int = 10_000


class ConnectionPhase(StrEnum):
    """What a connection waits for.

    Its client owes the rest of a request in `HEAD` and `BODY`, and has not read an
    answer in `UNREAD`. A request is being served in `SERVING`. In `CLOSING` the
    connection was refused, and input is discarded until it is closed.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    SERVING = "serving"
    UNREAD = "unread"
    CLOSING = "closing"


@dataclass(slots=True)
class Connection:
    """A connection of a client.

    Attributes
    ----------
    number : int
        Identifies the connection in its process.
    phase : ConnectionPhase
        What the connection waits for.
    since_ms : int
        Time at which the phase began.
    held_bytes : int
        Bytes that were received and not processed, or that are unsent.
    served_bytes : int
        Estimated memory of the request that is being served.
    is_small : bool
        Whether that request may use the share reserved for small requests.
    """

    number: int
    phase: ConnectionPhase
    since_ms: int
    held_bytes: int = 0
    served_bytes: int = 0
    is_small: bool = True


@dataclass(slots=True)
class RefusalCount:
    """Refusals of one kind since their last log line.

    Attributes
    ----------
    logged_ms : int or None
        Time of the last log line; None before the first one.
    count : int
        Refusals since then.
    """

    logged_ms: int | None = None
    count: int = 0


Rows = OrderedDict[int, Connection]


@dataclass(slots=True)
class Connections:
    """All connections of clients of one process, with totals.

    The tables are ordered by the time at which their rows were added. `OrderedDict`
    finds the oldest row in constant time; a dict does not after many removals.

    Attributes
    ----------
    limits : ClientLimits
        Limits that hold for these connections.
    phases : dict of ConnectionPhase to OrderedDict
        Connections by number, for each phase.
    bulky : OrderedDict
        Connections that hold much of an unfinished request.
    paused : OrderedDict
        Connections from which nothing is read until memory is released.
    read_ahead : OrderedDict
        Connections that hold bytes of a request that follows the one being served.
    count, last_number : int
        Number of open connections, and number of the newest one.
    held_bytes : int
        Total of the `held_bytes` of all connections.
    small_bytes, large_bytes : int
        Totals of `served_bytes`, for small requests and for all others.
    refusals : dict of str to RefusalCount
        Refusals that are not logged yet, by kind.
    """

    limits: ClientLimits = ClientLimits()
    phases: dict[ConnectionPhase, Rows] = field(
        default_factory=lambda: {phase: OrderedDict() for phase in ConnectionPhase}
    )
    bulky: Rows = field(default_factory=OrderedDict)
    paused: Rows = field(default_factory=OrderedDict)
    read_ahead: Rows = field(default_factory=OrderedDict)
    count: int = 0
    last_number: int = 0
    held_bytes: int = 0
    small_bytes: int = 0
    large_bytes: int = 0
    refusals: dict[str, RefusalCount] = field(default_factory=dict)
