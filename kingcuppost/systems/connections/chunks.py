"""Limits on the pieces in which a body arrives."""

from kingcuppost.tables.connections import ClientLimits

__all__ = ["are_chunks_too_many", "is_framing_too_large"]

# A client may send this many chunks of any size.
FREE_CHUNKS = 1_024
MIN_MEAN_CHUNK_BYTES = 32  # of more chunks; each costs some microseconds
# The size line of a chunk with its line ends has up to 20 bytes.
CHUNK_FRAMING_BYTES = 64
FREE_FRAMING_BYTES = 512


def are_chunks_too_many(limits: ClientLimits, count: int, size: int) -> bool:
    """Return whether a body has too many chunks, or too small ones.

    Examples
    --------
    >>> are_chunks_too_many(ClientLimits(), 1_024, 1_024)
    False
    >>> are_chunks_too_many(ClientLimits(), 1_025, 1_025)
    True
    """
    if count > limits.body_chunks:
        return True
    return count > FREE_CHUNKS and size < count * MIN_MEAN_CHUNK_BYTES


def is_framing_too_large(count: int, size: int) -> bool:
    """Return whether chunk extensions and trailers are too large.

    `size` is the number of bytes received beyond the content of `count` chunks.
    """
    return size > FREE_FRAMING_BYTES + count * CHUNK_FRAMING_BYTES
