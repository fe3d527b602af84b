"""Crowds of clients with plain sockets, all driven by one selector."""

import resource
import selectors
import socket
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Self

__all__ = ["Crowd", "Reading", "Script"]

# How long a crowd stays after its last progress: with all sent, with something left to
# send, and with clients that wait for a connection, since Linux repeats SYN after 1 s.
HOLD_S = 0.4
STALL_LIMIT_S = 0.8
CONNECT_LIMIT_S = 1.5
DRIVE_LIMIT_S = 8
SELECT_TIMEOUT_S = 0.02
SAMPLE_PERIOD_S = 0.1
READ_BYTES = 65_536
# of this process, beside the crowd's connections
RESERVED_DESCRIPTORS = 100


class Reading(Enum):
    """How a client reads the answers."""

    ALL = "all"
    SLOW = "slow"
    NONE = "none"


@dataclass(frozen=True)
class Script:
    """What one client does.

    Attributes
    ----------
    pieces : Iterable[bytes]
        Sent in this order; the client keeps the connection open afterwards.
    pause_s : float
        Pause between pieces.
    reading : Reading
        How it reads the answers.
    receive_buffer_bytes : int
        Size of the kernel's receive buffer; 0 for the default.
    """

    pieces: Iterable[bytes]
    pause_s: float = 0
    reading: Reading = Reading.ALL
    receive_buffer_bytes: int = 0


class _Client:
    """One connection and the rest of its script."""

    def __init__(self, address: tuple[str, int], script: Script) -> None:
        self.script = script
        self._pieces: Iterator[bytes] = iter(script.pieces)
        self._rest = memoryview(b"")
        self._next_send_s = 0.0
        self._next_read_s = 0.0
        self.has_connected = False
        self.has_sent = False
        self.closed = False
        self.sent_bytes = 0
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if script.receive_buffer_bytes:
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, script.receive_buffer_bytes
            )
        self.sock.connect_ex(address)

    def wanted_events(self, now_s: float) -> int:
        events = 0
        if not self.has_sent and now_s >= self._next_send_s:
            events |= selectors.EVENT_WRITE
        if self.script.reading is Reading.ALL or (
            self.script.reading is Reading.SLOW and now_s >= self._next_read_s
        ):
            events |= selectors.EVENT_READ
        return events

    def act(self, events: int, now_s: float) -> bool:
        """Send or read what is possible; return whether anything was sent."""
        try:
            if events & selectors.EVENT_READ:
                self._read(now_s)
            if events & selectors.EVENT_WRITE and not self.closed:
                self.has_connected = True
                return self._send(now_s)
        except BlockingIOError:
            return False
        except OSError:
            self.closed = True
        return False

    def _read(self, now_s: float) -> None:
        is_slow = self.script.reading is Reading.SLOW
        if not self.sock.recv(1 if is_slow else READ_BYTES):
            self.closed = True
        self._next_read_s = now_s + self.script.pause_s

    def _send(self, now_s: float) -> bool:
        if not self._rest:
            piece = next(self._pieces, None)
            if piece is None:
                self.has_sent = True
                return True
            self._rest = memoryview(piece)
        count = self.sock.send(self._rest)
        self.sent_bytes += count
        self._rest = self._rest[count:]
        if not self._rest:
            self._next_send_s = now_s + self.script.pause_s
        return True


class Crowd:
    """Clients that connect at once; all are closed at the end of the `with` block.

    Parameters
    ----------
    clients : list of (address, script)
        Address to which each client connects, and what it does there.
    """

    def __init__(self, clients: list[tuple[tuple[str, int], Script]]) -> None:
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if len(clients) + RESERVED_DESCRIPTORS > limit:
            raise RuntimeError(
                f"{len(clients)} clients need more than ulimit -n {limit}"
            )
        self._selector = selectors.DefaultSelector()
        self._clients = [_Client(address, script) for address, script in clients]
        self._watched: dict[_Client, int] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._selector.close()
        for client in self._clients:
            client.sock.close()

    def drive(self, sample: Callable[[], bool]) -> None:
        """Run the scripts until the clients and the process make no more progress.

        Parameters
        ----------
        sample : Callable
            Called every `SAMPLE_PERIOD_S`; returns whether the process has been busy.
        """
        now_s = time.monotonic()
        end_s = now_s + DRIVE_LIMIT_S
        progress_s = next_sample_s = now_s
        while now_s < min(end_s, progress_s + self._stall_limit_s()):
            self._watch(now_s)
            progress = False
            for key, events in self._selector.select(SELECT_TIMEOUT_S):
                progress |= key.data.act(events, now_s)
            now_s = time.monotonic()
            if now_s >= next_sample_s:
                progress |= sample()
                next_sample_s = now_s + SAMPLE_PERIOD_S
            if progress:
                progress_s = now_s

    @property
    def sent_bytes(self) -> int:
        """Number of bytes that the clients have sent so far."""
        return sum(client.sent_bytes for client in self._clients)

    def _stall_limit_s(self) -> float:
        waiting = [
            client
            for client in self._clients
            if not client.closed and not client.has_sent
        ]
        if all(client.has_connected for client in waiting):
            return STALL_LIMIT_S if waiting else HOLD_S
        return CONNECT_LIMIT_S

    def _watch(self, now_s: float) -> None:
        """Register each open connection for the events that its script waits for."""
        for client in self._clients:
            events = 0 if client.closed else client.wanted_events(now_s)
            watched = self._watched.get(client, 0)
            if events == watched:
                continue
            if not watched:
                self._selector.register(client.sock, events, client)
            elif events:
                self._selector.modify(client.sock, events, client)
            else:
                self._selector.unregister(client.sock)
            self._watched[client] = events
