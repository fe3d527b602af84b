"""Listening sockets that are opened before the event loop runs."""

import socket

__all__ = ["listen_at"]

LISTEN_BACKLOG = 512


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
        listener.setblocking(False)
        listener.bind((host, port))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
