"""Listening for callers before the libraries are loaded.

Loading them takes most of a start. A caller that connects meanwhile waits that
fraction of a second, where a closed port would have turned it away.
"""

import os
import socket
import tomllib
from pathlib import Path

from kingcuppost.edges.sockets import listen_at

__all__ = ["SETTINGS_VARIABLE", "listen_early"]

SETTINGS_VARIABLE = "KINGCUPPOST_SETTINGS"


def listen_early() -> socket.socket | None:
    """Return a socket at the callers' address, or None if there is no such address.

    What is wrong with the file or the address is reported by the whole reading of the
    settings, which comes after, and by the attempt to listen again.
    """
    try:
        text = Path(os.environ[SETTINGS_VARIABLE]).read_text(encoding="utf-8")
        host, _, port = tomllib.loads(text)["listen"]["frontend"].rpartition(":")
        return listen_at(host, int(port))
    except (OSError, KeyError, ValueError, TypeError, AttributeError):
        return None
