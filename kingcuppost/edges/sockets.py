"""Listening sockets that exist before the event loop does."""

import socket

__all__ = ["listen_at"]

LISTEN_BACKLOG = 512


def listen_at(host: str, port: int) -> socket.socket:
    """Return a socket that listens; the kernel takes connections in meanwhile.

    Parameters
    ----------
    host : str
        IPv4 address.
    port : int
        Port; 0 for one that the kernel chooses.

    Raises
    ------
    OSError
        If the address can't be listened at.

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
