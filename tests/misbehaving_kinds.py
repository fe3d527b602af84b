"""Kinds of misbehaving clients, in a registry by name.

The sizes of the crowds are such that the code without limits exceeds the bounds of
`tests.misbehaving_processes`, as far as a kind showed a fault. They are fixed.
"""

import itertools
import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from kingcuppost.utils.registry import Registry
from tests.misbehaving_crowd import Reading, Script

__all__ = ["ClientKind", "Endpoint", "client_kinds"]

BODY_BYTES = 262_144
# of a request line and of a head, with a reserve for the other fields
SHORT_HEAD_BYTES = 16_000
# twisted.web refuses heads of more than 500 fields
HEAD_FIELDS = 490
PIECE_BYTES = 1_024
FAR_OVER_BYTES = 1_073_741_824
FAR_OVER_SENT_BYTES = 4_194_304
FLOOD_CLIENTS = 300
# A partial head of this many fields costs about 100 KB.
HEAD_CLIENTS = 560
# more than `maxFds` of the tests' settings
SLOW_CLIENTS = 650
OVERSIZE_CLIENTS = 100
# bodies that cost far more when they are parsed than their bytes
PARSED_CLIENTS = 16
PIPELINED_CLIENTS = 40
PIPELINED_REQUESTS = 200
SLOW_PAUSE_S = 0.1
SLOW_PIECES = 10


@dataclass(frozen=True)
class Endpoint:
    """What a request names: the port by its key, the path, and a method with a body."""

    port: str
    path: str
    method: str = "POST"


MakeScript = Callable[[Endpoint, int], Script]


@dataclass(frozen=True)
class ClientKind:
    """Size of a crowd, and the script of its client with a given number."""

    clients: int
    make_script: MakeScript


client_kinds: Registry[str, ClientKind] = Registry("kind of client")


def _register(name: str, clients: int) -> Callable[[MakeScript], MakeScript]:
    def add(make_script: MakeScript) -> MakeScript:
        client_kinds.register(name)(ClientKind(clients, make_script))
        return make_script

    return add


def _head(method: str, path: str, *fields: str) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: desk.example",
        "Authorization: Bearer key-1",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _whole_request(endpoint: Endpoint, content_type: str, body: bytes) -> bytes:
    fields = (f"Content-Type: {content_type}", f"Content-Length: {len(body)}")
    return _head(endpoint.method, endpoint.path, *fields) + body


def _json_script(endpoint: Endpoint, start: bytes, item: bytes, end: bytes) -> Script:
    """Return the script that sends a body of legal size with very many items."""
    count = (BODY_BYTES - len(start) - len(end)) // len(item)
    body = start + (item * count).rstrip(b",") + end
    return Script([_whole_request(endpoint, "application/json", body)])


def _body_but_one_byte() -> bytes:
    return b" " * (BODY_BYTES - 1)


def _split(data: bytes) -> Iterator[bytes]:
    for start in range(0, len(data), PIECE_BYTES):
        yield data[start : start + PIECE_BYTES]


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _declared_head(endpoint: Endpoint, length: int) -> bytes:
    return _head(endpoint.method, endpoint.path, f"Content-Length: {length}")


def _chunked_head(endpoint: Endpoint) -> bytes:
    return _head(endpoint.method, endpoint.path, "Transfer-Encoding: chunked")


@_register("body in one piece, one byte short", FLOOD_CLIENTS)
def flood_in_one_piece(endpoint: Endpoint, number: int) -> Script:
    return Script([_declared_head(endpoint, BODY_BYTES) + _body_but_one_byte()])


@_register("body in small pieces, one byte short", FLOOD_CLIENTS)
def flood_in_pieces(endpoint: Endpoint, number: int) -> Script:
    head = _declared_head(endpoint, BODY_BYTES)
    return Script(itertools.chain([head], _split(_body_but_one_byte())))


@_register("body in chunks, one byte short", FLOOD_CLIENTS)
def flood_in_chunks(endpoint: Endpoint, number: int) -> Script:
    chunks = b"".join(_chunk(piece) for piece in _split(_body_but_one_byte()))
    return Script([_chunked_head(endpoint) + chunks])


@_register("declared body far over the limit", OVERSIZE_CLIENTS)
def send_far_over(endpoint: Endpoint, number: int) -> Script:
    pieces = itertools.repeat(b" " * PIECE_BYTES, FAR_OVER_SENT_BYTES // PIECE_BYTES)
    return Script(itertools.chain([_declared_head(endpoint, FAR_OVER_BYTES)], pieces))


@_register("chunked body without end", OVERSIZE_CLIENTS)
def send_endless_chunks(endpoint: Endpoint, number: int) -> Script:
    chunk = _chunk(b" " * PIECE_BYTES)
    chunks = itertools.repeat(chunk, FAR_OVER_SENT_BYTES // PIECE_BYTES)
    return Script(itertools.chain([_chunked_head(endpoint)], chunks))


@_register("head of many fields", HEAD_CLIENTS)
def send_many_fields(endpoint: Endpoint, number: int) -> Script:
    fields = "".join(f"x{index}:{index}\r\n" for index in range(HEAD_FIELDS))
    # Without the empty line that ends the head.
    return Script([f"POST {endpoint.path} HTTP/1.1\r\n{fields}".encode()])


@_register("query string of many fields", FLOOD_CLIENTS)
def send_long_query(endpoint: Endpoint, number: int) -> Script:
    query = "&".join(f"{index:x}=" for index in range(SHORT_HEAD_BYTES // 5))
    return Script([_head("GET", f"{endpoint.path}?{query}")])


@_register("form body of many fields", PARSED_CLIENTS)
def send_form(endpoint: Endpoint, number: int) -> Script:
    fields = "&".join(f"{index:x}=" for index in range(BODY_BYTES // 6))
    content_type = "application/x-www-form-urlencoded"
    return Script([_whole_request(endpoint, content_type, fields.encode())])


@_register("JSON body of wrong steps", PARSED_CLIENTS)
def send_wrong_steps(endpoint: Endpoint, number: int) -> Script:
    return _json_script(endpoint, b'{"steps":[', b"1,", b"]}")


@_register("JSON body of empty steps", PARSED_CLIENTS)
def send_empty_steps(endpoint: Endpoint, number: int) -> Script:
    return _json_script(endpoint, b'{"steps":[', b"{},", b"]}")


@_register("JSON body of many keys", PARSED_CLIENTS)
def send_many_keys(endpoint: Endpoint, number: int) -> Script:
    keys = {f"{index:x}": 0 for index in range(BODY_BYTES // 10)}
    body = json.dumps(keys, separators=(",", ":")).encode()
    return Script([_whole_request(endpoint, "application/json", body)])


@_register("JSON body of deep nesting", PARSED_CLIENTS)
def send_deep_nesting(endpoint: Endpoint, number: int) -> Script:
    return _json_script(endpoint, b'{"steps":', b"[", b"")


@_register("pipelined requests, no answer read", PIPELINED_CLIENTS)
def pipeline_requests(endpoint: Endpoint, number: int) -> Script:
    request = _head("GET", endpoint.path)
    return Script(
        [request * PIPELINED_REQUESTS],
        reading=Reading.NONE,
        receive_buffer_bytes=PIECE_BYTES,
    )


@_register("slow senders", SLOW_CLIENTS)
def send_slowly(endpoint: Endpoint, number: int) -> Script:
    text = _declared_head(endpoint, BODY_BYTES)[:SLOW_PIECES]
    return Script((bytes([byte]) for byte in text), pause_s=SLOW_PAUSE_S)


@_register("slow readers", SLOW_CLIENTS)
def read_slowly(endpoint: Endpoint, number: int) -> Script:
    request = _head("GET", endpoint.path)
    return Script(
        itertools.repeat(request, SLOW_PIECES),
        pause_s=SLOW_PAUSE_S,
        reading=Reading.SLOW,
        receive_buffer_bytes=PIECE_BYTES,
    )


@_register("stops halfway", SLOW_CLIENTS)
def stop_halfway(endpoint: Endpoint, number: int) -> Script:
    declared = _declared_head(endpoint, BODY_BYTES)
    parts = (
        b"",
        declared[:7],
        declared[: len(declared) // 2],
        declared + b" " * PIECE_BYTES,
        _chunked_head(endpoint) + b"4",
        _chunked_head(endpoint) + b"400\r\n ",
    )
    return Script([part for part in parts[number % len(parts) :][:1] if part])
