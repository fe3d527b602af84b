"""Listening for callers before the libraries are loaded.

Loading them takes most of the start time. A caller that connects meanwhile waits for
a fraction of a second, whereas a closed port would refuse the connection.
"""

import os
import socket
import tomllib
from pathlib import Path

from kingcuppost.edges.sockets import listen_at

__all__ = ["SETTINGS_VARIABLE", "listen_early"]

SETTINGS_VARIABLE = "KINGCUPPOST_SETTINGS"


def listen_early() -> socket.socket | None:
    """Return a socket that listens at the callers' address, or None on any error.

    Errors in the file or the address are reported later, when all settings are
    validated and when the server tries to listen again.
    """
    try:
        text = Path(os.environ[SETTINGS_VARIABLE]).read_text(encoding="utf-8")
        host, _, port = tomllib.loads(text)["listen"]["frontend"].rpartition(":")
        return listen_at(host, int(port))
    except (OSError, KeyError, ValueError, TypeError, AttributeError):
        return None
