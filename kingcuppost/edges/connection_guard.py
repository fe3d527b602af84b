"""Applies the limits on clients to the connections of one process."""

from collections.abc import Callable
from typing import Any, Protocol

from kingcuppost.systems.connections import (
    RefusalKind,
    add_connection,
    admits,
    count_refusal,
    find_longest_waiting,
    find_overdue,
    find_shed,
    hold,
    is_small_request,
    move_to,
    needs_room,
    next_deadline_ms,
    release_held,
    release_served,
    remove_connection,
    serve,
    should_pause,
    take_resumable,
)
from kingcuppost.tables.connections import (
    ClientLimits,
    Connection,
    ConnectionPhase,
    Connections,
)
from kingcuppost.tables.metrics import Tally
from kingcuppost.utils.clock import Clock

__all__ = ["ConnectionGuard", "GuardedChannel"]

MS_PER_SECOND = 1_000
MIN_DELAY_MS = 1
TIME_KINDS = {
    ConnectionPhase.HEAD: RefusalKind.HEAD_TIME,
    ConnectionPhase.BODY: RefusalKind.BODY_TIME,
    ConnectionPhase.UNREAD: RefusalKind.UNREAD_TIME,
}

LogRefusals = Callable[[RefusalKind, str, int], None]


class GuardedChannel(Protocol):
    """What the guard asks of the protocol of a connection."""

    def pause_reading(self) -> None:
        """Stop reading."""

    def resume_reading(self) -> None:
        """Read again."""

    def refuse(self, kind: RefusalKind) -> None:
        """Answer that the request was not run, then close the connection."""

    def abort(self) -> None:
        """Close the connection at once."""

    def drop_read_ahead(self) -> None:
        """Forget what follows the request being served; close after its answer."""

    def peer(self) -> str:
        """Return the address of the client."""


class ConnectionGuard:
    """Keeps the rows of the connections and carries out the decisions about them.

    One timer is set for the next timeout of any connection. Each event costs a
    constant number of steps, except that it may close or resume several connections,
    each of them once.

    Parameters
    ----------
    connections : Connections
        Table of the connections.
    reactor : object
        Twisted's reactor, for the timer.
    clock : Clock
        Clock of the process.
    tally : Tally
        Counts refusals by kind.
    log : callable
        Writes a log line on refusals: their kind, the address of the last client, and
        their number.
    """

    def __init__(
        self,
        connections: Connections,
        reactor: Any,
        clock: Clock,
        tally: Tally,
        log: LogRefusals,
    ) -> None:
        self._connections = connections
        self._reactor = reactor
        self._clock = clock
        self._tally = tally
        self._log = log
        self._channels: dict[int, GuardedChannel] = {}
        self._timer: Any = None
        self._timer_ms = 0

    @property
    def limits(self) -> ClientLimits:
        """Return the limits that hold."""
        return self._connections.limits

    def open(self, channel: GuardedChannel) -> Connection:
        """Add a new connection, and close another one if there are too many."""
        victim = None
        if self._connections.count >= self._connections.limits.connections:
            victim = find_longest_waiting(self._connections)
        row = add_connection(self._connections, self._clock.now_ms())
        self._channels[row.number] = channel
        if victim is not None:
            self._abort(victim, RefusalKind.CONNECTIONS)
        elif self._connections.count > self._connections.limits.connections:
            self._abort(row, RefusalKind.CONNECTIONS)
        return row

    def close(self, row: Connection) -> None:
        """Remove a connection that is closed."""
        if self._channels.pop(row.number, None) is not None:
            release_held(self._connections, row)
            release_served(self._connections, row)
            remove_connection(self._connections, row)
            self._resume_paused()

    def move(self, row: Connection, phase: ConnectionPhase) -> None:
        """Begin a phase of a connection."""
        move_to(self._connections, row, phase, self._clock.now_ms())
        self._set_timer()

    def hold(self, row: Connection, size: int) -> None:
        """Count received bytes; other connections give way if there is no room."""
        hold(self._connections, row, size)
        self._make_room(row, 0)
        # an answer is not aborted for its own bytes, its client may just read it
        if needs_room(self._connections) and row.phase is not ConnectionPhase.UNREAD:
            self._shed(row)

    def limit_reading(self, row: Connection) -> None:
        """Stop reading from a connection that holds much while memory is short."""
        if row.number in self._channels and should_pause(self._connections, row):
            self._connections.paused[row.number] = row
            self._channels[row.number].pause_reading()

    def is_paused(self, row: Connection) -> bool:
        """Return whether nothing is read from a connection until memory is freed."""
        return row.number in self._connections.paused

    def release_held(self, row: Connection) -> None:
        """Count the bytes that a connection holds as freed."""
        release_held(self._connections, row)
        self._resume_paused()

    def release_served(self, row: Connection) -> None:
        """Count the memory of an answered request as freed."""
        release_served(self._connections, row)
        self._resume_paused()

    def serve(self, row: Connection, size: int, cost_bytes: int) -> bool:
        """Return whether a whole request may be served, and count its memory.

        Parameters
        ----------
        row : Connection
            The connection of the request.
        size, cost_bytes : int
            Bytes of the request, and its estimated memory while it is served.
        """
        row.is_small = is_small_request(size, cost_bytes)
        self._make_room(row, cost_bytes)
        if not admits(self._connections, row, cost_bytes):
            return False
        serve(self._connections, row, cost_bytes)
        return True

    def count_refusal(self, row: Connection, kind: RefusalKind) -> None:
        """Count a refusal, and log it unless its kind was logged in this second."""
        self._tally.add("clients_refused", kind)
        count = count_refusal(self._connections, kind, self._clock.now_ms())
        if count:
            self._log(kind, self._channels[row.number].peer(), count)

    def _make_room(self, row: Connection, size: int) -> None:
        while needs_room(self._connections, size):
            victim = find_shed(self._connections, row)
            if victim is None:
                return
            self._shed(victim)

    def _shed(self, row: Connection) -> None:
        """Free the bytes that a connection holds."""
        channel = self._channels[row.number]
        if row.phase is ConnectionPhase.UNREAD:
            self._abort(row, RefusalKind.MEMORY)
        elif row.phase is ConnectionPhase.SERVING:
            self.count_refusal(row, RefusalKind.MEMORY)
            channel.drop_read_ahead()
        else:
            channel.refuse(RefusalKind.MEMORY)

    def _abort(self, row: Connection, kind: RefusalKind | None) -> None:
        """Close a connection without an answer; forget its row at once."""
        if kind is not None:
            self.count_refusal(row, kind)
        channel = self._channels[row.number]
        self.close(row)
        channel.abort()

    def _resume_paused(self) -> None:
        resumed = 0
        while (row := take_resumable(self._connections, resumed)) is not None:
            resumed += 1
            self._channels[row.number].resume_reading()

    def _set_timer(self) -> None:
        """Set the timer, unless it is already set to fire early enough."""
        deadline_ms = next_deadline_ms(self._connections)
        if deadline_ms is None:
            return
        if self._timer is not None:
            if deadline_ms >= self._timer_ms:
                return
            self._timer.cancel()
        delay_ms = max(deadline_ms - self._clock.now_ms(), MIN_DELAY_MS)
        self._timer_ms = deadline_ms
        self._timer = self._reactor.callLater(
            delay_ms / MS_PER_SECOND, self._end_overdue_phases
        )

    def _end_overdue_phases(self) -> None:
        self._timer = None
        now_ms = self._clock.now_ms()
        while (row := find_overdue(self._connections, now_ms)) is not None:
            if self.is_paused(row):
                # the client was not slow; this process did not read
                self._channels[row.number].refuse(RefusalKind.MEMORY)
            else:
                self._abort(row, TIME_KINDS.get(row.phase))
        self._set_timer()
