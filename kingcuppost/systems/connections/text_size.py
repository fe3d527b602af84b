"""Size of JSON text after parsing, estimated before it is parsed."""

import re

__all__ = ["FIELD_BYTES", "count_fields"]

# An empty object becomes a row of up to 128 bytes; a number takes about 32 bytes.
FIELD_BYTES = 32
OBJECT_FIELDS = 4
# The possessive quantifiers and the optional end keep the search linear in the text.
STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?', re.DOTALL)


def _count_marks(text: bytes) -> int:
    return text.count(b",") + text.count(b"[") + OBJECT_FIELDS * text.count(b"{")


def count_fields(text: bytes, limit: int) -> int:
    """Return the number of values in a JSON text; an object counts as four.

    Strings are examined only if the text with its strings exceeds the limit, so the
    result may be too high up to the limit.

    Examples
    --------
    >>> count_fields(b'{"steps": [{"cpu": 1}, {"cpu": 2}]}', 100)
    14
    >>> count_fields(b'{"spec": "a,b,c,d,e,f,g"}', 5)
    4
    """
    count = _count_marks(text)
    if count <= limit:
        return count
    return _count_marks(STRING.sub(b"", text))
