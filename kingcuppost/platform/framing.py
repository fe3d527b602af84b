"""Binary framing of the records in the store's logs."""

import struct
from collections.abc import Iterator

__all__ = [
    "decode_keyed_record",
    "decode_read_reply",
    "encode_keyed_record",
    "frame_records",
]

LENGTH_FIELD = struct.Struct(">I")
OFFSET_FIELD = struct.Struct(">Q")


def frame_records(records: list[bytes]) -> bytes:
    r"""Return the records, each preceded by its length in 4 bytes.

    Examples
    --------
    >>> frame_records([b"ab"])
    b'\x00\x00\x00\x02ab'
    """
    return b"".join(LENGTH_FIELD.pack(len(record)) + record for record in records)


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Return a keyed record: length of the key in 1 byte, key, value.

    Raises
    ------
    ValueError
        If the key is longer than 255 bytes.
    """
    key_bytes = key.encode()
    return bytes([len(key_bytes)]) + key_bytes + value


def decode_keyed_record(content: bytes) -> tuple[str, bytes]:
    """Return the key and the value of a keyed record.

    Raises
    ------
    ValueError
        If the content is too short or its key is not UTF-8.

    Examples
    --------
    >>> decode_keyed_record(encode_keyed_record("a", b"1"))
    ('a', b'1')
    """
    if not content or len(content) < 1 + content[0]:
        raise ValueError("the record is shorter than its key")
    key_size = content[0]
    return content[1 : 1 + key_size].decode(), content[1 + key_size :]


def decode_read_reply(body: bytes) -> tuple[int, int, list[bytes]]:
    r"""Return the end offset, the first retained offset and the records of a read.

    The body consists of the two offsets in 8 bytes each and the framed records.

    Raises
    ------
    ValueError
        If the body is truncated.

    Examples
    --------
    >>> offsets = OFFSET_FIELD.pack(9) + OFFSET_FIELD.pack(7)
    >>> decode_read_reply(offsets + frame_records([b"a", b"b"]))
    (9, 7, [b'a', b'b'])
    """
    if len(body) < 2 * OFFSET_FIELD.size:
        raise ValueError("the answer is shorter than its two offsets")
    end_offset = OFFSET_FIELD.unpack_from(body)[0]
    first_offset = OFFSET_FIELD.unpack_from(body, OFFSET_FIELD.size)[0]
    return end_offset, first_offset, list(_iterate_records(body, 2 * OFFSET_FIELD.size))


def _iterate_records(body: bytes, position: int) -> Iterator[bytes]:
    while position < len(body):
        if position + LENGTH_FIELD.size > len(body):
            raise ValueError("the length of a record is truncated")
        record_size = LENGTH_FIELD.unpack_from(body, position)[0]
        position += LENGTH_FIELD.size
        if position + record_size > len(body):
            raise ValueError("a record is truncated")
        yield body[position : position + record_size]
        position += record_size
