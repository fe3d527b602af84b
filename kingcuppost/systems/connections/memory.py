"""Memory that requests hold: back pressure, and admission of whole requests.

A quarter of the limit is reserved for requests that are small and whole. Large
requests and unfinished ones share the rest, and an unfinished one gives way to a whole
one.
"""

from collections.abc import Mapping

from kingcuppost.tables.connections import Connection, ConnectionPhase, Connections

__all__ = [
    "READ_BYTES",
    "SMALL_REQUEST_BYTES",
    "admits",
    "find_shed",
    "hold",
    "needs_room",
    "is_small_request",
    "release_held",
    "release_served",
    "serve",
    "should_pause",
    "take_resumable",
]

SMALL_REQUEST_BYTES = 16_384
SMALL_REQUEST_COST_BYTES = 131_072  # of a usual request of that size, once parsed
READ_BYTES = 65_536  # most that one read of a connection adds
RESERVED_DIVISOR = 4  # one part of the limit in so many


def _general_bytes(connections: Connections) -> int:
    """Return the share of large and of unfinished requests."""
    held_bytes = connections.limits.held_bytes
    return held_bytes - held_bytes // RESERVED_DIVISOR


def _total_bytes(connections: Connections) -> int:
    return connections.held_bytes + connections.small_bytes + connections.large_bytes


def hold(connections: Connections, row: Connection, size: int) -> None:
    """Count bytes that a connection holds and that are not being served."""
    row.held_bytes += size
    connections.held_bytes += size
    if row.phase in (ConnectionPhase.SERVING, ConnectionPhase.UNREAD):
        connections.read_ahead[row.number] = row
    elif row.held_bytes > SMALL_REQUEST_BYTES:
        connections.bulky[row.number] = row


def release_held(connections: Connections, row: Connection) -> None:
    """Count the bytes that a connection holds as freed."""
    connections.held_bytes -= row.held_bytes
    row.held_bytes = 0
    connections.read_ahead.pop(row.number, None)
    connections.bulky.pop(row.number, None)


def release_served(connections: Connections, row: Connection) -> None:
    """Count the memory of a request as freed, since it is answered."""
    if row.is_small:
        connections.small_bytes -= row.served_bytes
    else:
        connections.large_bytes -= row.served_bytes
    row.served_bytes = 0


def should_pause(connections: Connections, row: Connection) -> bool:
    """Return whether to stop reading from a connection until memory is freed.

    Connections that hold little are read on, so that small requests become whole.
    """
    is_full = connections.held_bytes + connections.large_bytes > _general_bytes(
        connections
    )
    return is_full and row.held_bytes > SMALL_REQUEST_BYTES


def take_resumable(connections: Connections, resumed: int) -> Connection | None:
    """Return a paused connection that may be read again, the oldest first, or None.

    There must be room for another read of each of them. `resumed` is the number of
    connections that were taken for the same reason before.
    """
    used_bytes = connections.held_bytes + connections.large_bytes
    used_bytes += (resumed + 1) * READ_BYTES
    if not connections.paused or used_bytes > _general_bytes(connections):
        return None
    return connections.paused.popitem(last=False)[1]


def needs_room(connections: Connections, size: int = 0) -> bool:
    """Return whether the limit would be exceeded with so many bytes more."""
    return _total_bytes(connections) + size > connections.limits.held_bytes


def find_shed(connections: Connections, keep: Connection) -> Connection | None:
    """Return the connection that gives way when there is no room, or None.

    It is the one that has longest held much of an unfinished request, so that small
    requests which arrive in two parts become whole. Else it is the one that has waited
    longest for the rest of a request, else the one that has longest held bytes of a
    request behind another one. `keep` is never returned.
    """
    bulky = _find_first(connections.bulky, keep)
    if bulky is not None:
        return bulky
    phases = connections.phases
    waiting = [
        row
        for phase in (ConnectionPhase.HEAD, ConnectionPhase.BODY)
        if (row := _find_first(phases[phase], keep)) is not None
    ]
    if waiting:
        return min(waiting, key=lambda row: row.since_ms)
    return _find_first(connections.read_ahead, keep)


def _find_first(rows: Mapping[int, Connection], keep: Connection) -> Connection | None:
    # at most two rows are read, since only one of them is `keep`
    return next((row for row in rows.values() if row is not keep), None)


def is_small_request(size: int, cost_bytes: int) -> bool:
    """Return whether a request may use the reserved share.

    Parameters
    ----------
    size, cost_bytes : int
        Bytes of the request, and its estimated memory while it is served.
    """
    return size <= SMALL_REQUEST_BYTES and cost_bytes <= SMALL_REQUEST_COST_BYTES


def admits(connections: Connections, row: Connection, size: int) -> bool:
    """Return whether a whole request may be served, after others have given way.

    Parameters
    ----------
    connections : Connections
        All connections.
    row : Connection
        The connection of the request, with `is_small` set.
    size : int
        Estimated memory of the request while it is served.

    Notes
    -----
    One large request is always admitted, so that every request within the limits can
    be served when there is no other load.
    """
    if row.is_small:
        return not needs_room(connections, size)
    if not connections.large_bytes:
        return True
    is_over = connections.large_bytes + size > _general_bytes(connections)
    return not is_over and not needs_room(connections, size)


def serve(connections: Connections, row: Connection, size: int) -> None:
    """Count the memory of a request that is being served."""
    row.served_bytes = size
    if row.is_small:
        connections.small_bytes += size
    else:
        connections.large_bytes += size
