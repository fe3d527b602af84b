"""Phases of connections, and which of them is closed first when there are too many."""

from kingcuppost.tables.connections import Connection, ConnectionPhase, Connections

__all__ = [
    "add_connection",
    "find_longest_waiting",
    "move_to",
    "next_deadline_ms",
    "remove_connection",
    "find_overdue",
]

LINGER_MS = 1_000  # for a refused client to read its answer
WAITING_PHASES = (ConnectionPhase.HEAD, ConnectionPhase.BODY)


def add_connection(connections: Connections, now_ms: int) -> Connection:
    """Add a connection on which nothing has been received."""
    connections.last_number += 1
    connections.count += 1
    row = Connection(connections.last_number, ConnectionPhase.IDLE, now_ms)
    connections.phases[row.phase][row.number] = row
    return row


def remove_connection(connections: Connections, row: Connection) -> None:
    """Remove a closed connection; its memory must have been released."""
    connections.count -= 1
    del connections.phases[row.phase][row.number]
    connections.paused.pop(row.number, None)
    connections.read_ahead.pop(row.number, None)


def move_to(
    connections: Connections, row: Connection, phase: ConnectionPhase, now_ms: int
) -> None:
    """Begin a phase of a connection."""
    del connections.phases[row.phase][row.number]
    row.phase = phase
    row.since_ms = now_ms
    connections.phases[phase][row.number] = row
    connections.paused.pop(row.number, None)


def _find_first(
    connections: Connections, *phases: ConnectionPhase
) -> Connection | None:
    firsts = [
        next(iter(connections.phases[phase].values()))
        for phase in phases
        if connections.phases[phase]
    ]
    return min(firsts, key=lambda row: row.since_ms, default=None)


def find_longest_waiting(connections: Connections) -> Connection | None:
    """Return the connection to close in favour of a new one, or None.

    It is one that is refused already, else the one that has waited longest for the
    rest of a request, for an answer to be read, or for a request. A connection whose
    request is being served is not closed.
    """
    return (
        _find_first(connections, ConnectionPhase.CLOSING)
        or _find_first(connections, *WAITING_PHASES)
        or _find_first(connections, ConnectionPhase.UNREAD)
        or _find_first(connections, ConnectionPhase.IDLE)
    )


def _timeout_ms(connections: Connections, phase: ConnectionPhase) -> int | None:
    limits = connections.limits
    return {
        ConnectionPhase.HEAD: limits.head_ms,
        ConnectionPhase.BODY: limits.body_ms,
        ConnectionPhase.UNREAD: limits.unread_ms,
        ConnectionPhase.CLOSING: LINGER_MS,
    }.get(phase)


def next_deadline_ms(connections: Connections) -> int | None:
    """Return when the next phase of a connection ends at the latest, or None.

    All connections of a phase have the same timeout, so the oldest ends first.
    """
    deadlines_ms = [
        next(iter(rows.values())).since_ms + timeout_ms
        for phase, rows in connections.phases.items()
        if rows and (timeout_ms := _timeout_ms(connections, phase)) is not None
    ]
    return min(deadlines_ms, default=None)


def find_overdue(connections: Connections, now_ms: int) -> Connection | None:
    """Return a connection whose phase has lasted too long, or None."""
    for phase, rows in connections.phases.items():
        timeout_ms = _timeout_ms(connections, phase)
        if rows and timeout_ms is not None:
            row = next(iter(rows.values()))
            if now_ms - row.since_ms >= timeout_ms:
                return row
    return None
