"""Records of the store's logs as bytes."""

import struct
from collections.abc import Iterator

__all__ = ["frame", "keyed_record", "split_keyed", "split_read"]

LENGTH = struct.Struct(">I")
OFFSET = struct.Struct(">Q")


def frame(records: list[bytes]) -> bytes:
    r"""Return records, each behind its length in 4 bytes.

    Examples
    --------
    >>> frame([b"ab"])
    b'\x00\x00\x00\x02ab'
    """
    return b"".join(LENGTH.pack(len(record)) + record for record in records)


def keyed_record(key: str, value: bytes) -> bytes:
    """Return the content of a keyed record: length of the key, key, value."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def split_keyed(content: bytes) -> tuple[str, bytes]:
    """Return the key and the value of a keyed record.

    Raises
    ------
    ValueError
        If the content is too short or its key is no text.

    Examples
    --------
    >>> split_keyed(keyed_record("a", b"1"))
    ('a', b'1')
    """
    if not content or len(content) < 1 + content[0]:
        raise ValueError("the record is shorter than its key")
    size = content[0]
    return content[1 : 1 + size].decode(), content[1 + size :]


def split_read(body: bytes) -> tuple[int, int, list[bytes]]:
    r"""Return end, first retained offset and records of a read.

    Raises
    ------
    ValueError
        If the body is cut short.

    Examples
    --------
    >>> split_read(OFFSET.pack(9) + OFFSET.pack(7) + frame([b"a", b"b"]))
    (9, 7, [b'a', b'b'])
    """
    if len(body) < 2 * OFFSET.size:
        raise ValueError("the answer is shorter than its two offsets")
    end = OFFSET.unpack_from(body)[0]
    first = OFFSET.unpack_from(body, OFFSET.size)[0]
    return end, first, list(_records(body, 2 * OFFSET.size))


def _records(body: bytes, position: int) -> Iterator[bytes]:
    while position < len(body):
        if position + LENGTH.size > len(body):
            raise ValueError("a record's length is cut short")
        size = LENGTH.unpack_from(body, position)[0]
        position += LENGTH.size
        if position + size > len(body):
            raise ValueError("a record is cut short")
        yield body[position : position + size]
        position += size
