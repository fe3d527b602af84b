"""Listening sockets that are opened before the event loop runs."""

import socket

__all__ = ["limit_buffers", "listen_at"]

LISTEN_BACKLOG = 512
# The kernel doubles it. Without a limit it buffers up to some megabytes for each client
# that does not read, or that is not read from. A body of 262,144 bytes fits.
BUFFER_BYTES = 131_072


def limit_buffers(listener: socket.socket) -> None:
    """Limit the kernel's buffers of the connections that a socket accepts."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)


def listen_at(host: str, port: int) -> socket.socket:
    """Return a listening socket; the kernel queues connections until they are accepted.

    Parameters
    ----------
    host : str
        IPv4 address.
    port : int
        Port; 0 lets the kernel choose one.

    Raises
    ------
    OSError
        If the address can't be bound.

    Examples
    --------
    >>> listener = listen_at("127.0.0.1", 0)
    >>> socket.create_connection(listener.getsockname()).close()
    >>> listener.close()
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        limit_buffers(listener)
        listener.setblocking(False)
        listener.bind((host, port))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
