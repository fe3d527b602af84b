"""Derivation of the limits on clients from the size of the machine."""

from collections.abc import Mapping

from kingcuppost.tables.connections import ClientLimits

__all__ = ["MAX_FDS", "MEMORY_MB", "derive_limits"]

# of the smallest machine
MEMORY_MB = 160
MAX_FDS = 1_638
BYTES_PER_MB = 1_048_576
HELD_DIVISOR = 16  # one part of the memory in so many
MIN_HELD_BYTES = 2_097_152  # one body of 1 MiB, and small requests beside it
RESERVED_FDS = 200  # for files
# The other half is for connections to other processes.
CONNECTIONS_DIVISOR = 2
MIN_CONNECTIONS = 16


def derive_limits(
    memory_mb: int = MEMORY_MB,
    max_fds: int = MAX_FDS,
    overrides: Mapping[str, int | None] | None = None,
) -> ClientLimits:
    """Return the limits for a machine.

    Parameters
    ----------
    memory_mb, max_fds : int
        Memory and file descriptors that the process may use.
    overrides : mapping of str to int or None, optional
        Values of the limits that are set explicitly, by the name of the field.

    Examples
    --------
    >>> derive_limits() == ClientLimits()
    True
    >>> derive_limits(552, 10_250, {"body_ms": 9_000}).connections
    5025
    >>> derive_limits(max_fds=100).connections
    16
    """
    values = {
        "held_bytes": max(memory_mb * BYTES_PER_MB // HELD_DIVISOR, MIN_HELD_BYTES),
        "connections": max(
            (max_fds - RESERVED_FDS) // CONNECTIONS_DIVISOR, MIN_CONNECTIONS
        ),
    }
    for name, value in (overrides or {}).items():
        if value is not None:
            values[name] = value
    return ClientLimits(**values)
