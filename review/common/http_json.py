"""A minimal HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

__all__ = ["Call", "Reply", "call", "serve"]

PHRASES = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


@dataclass(frozen=True)
class Call:
    """A request that a stand-in received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class Reply:
    """A response; `status` 0 stands for no response at all."""

    status: int
    body: bytes = b"{}"


Handler = Callable[[Call], Awaitable[Reply]]


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            return headers
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()


async def _read_call(reader: asyncio.StreamReader) -> Call | None:
    line = (await reader.readline()).decode("latin-1").split()
    if len(line) < 2:
        return None
    headers = await _read_headers(reader)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    parts = urlsplit(line[1])
    return Call(line[0], parts.path, dict(parse_qsl(parts.query)), headers, body)


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve HTTP; a reply with status 0 leaves the caller without an answer."""

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (received := await _read_call(reader)) is not None:
                reply = await handler(received)
                if not reply.status:
                    continue
                phrase = PHRASES.get(reply.status, "Status")
                head = (
                    f"HTTP/1.1 {reply.status} {phrase}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(reply.body)}\r\n\r\n"
                )
                writer.write(head.encode() + reply.body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, host, port, backlog=256)


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
    source: str | None = None,
) -> Reply:
    """Make one call on a connection of its own; status 0 if there is no answer.

    `source` is the address from which the call comes.
    """
    try:
        return await asyncio.wait_for(
            _call(address, method, path, body, headers or {}, source), timeout_s
        )
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return Reply(0, b"")


async def _call(
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    source: str | None,
) -> Reply:
    host, _, port = address.rpartition(":")
    local = None if source is None else (source, 0)
    reader, writer = await asyncio.open_connection(host, int(port), local_addr=local)
    try:
        lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
        if "Host" not in headers:
            lines.append(f"Host: {address}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        status_line = (await reader.readline()).decode("latin-1").split()
        if len(status_line) < 2:
            return Reply(0, b"")
        reply_headers = await _read_headers(reader)
        size = int(reply_headers.get("content-length", 0))
        return Reply(int(status_line[1]), await reader.readexactly(size))
    finally:
        writer.close()
