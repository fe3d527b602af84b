"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the cases."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

HANG_S = 3_600.0
REASONS = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}


@dataclass(frozen=True)
class Call:
    """A request that a stand-in has read whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Return the body as an object."""
        return json.loads(self.body or b"{}")


@dataclass(frozen=True)
class Answer:
    """An answer; status 0 resets the channel, status -1 leaves it without a word."""

    status: int
    body: bytes = b"{}"


Handler = Callable[[Call], Awaitable[Answer]]


class Server:
    """Serves one address; `max_channels` are read at once, others wait."""

    def __init__(self, handler: Handler, max_channels: int = 1_000) -> None:
        self._handler = handler
        self._slots = asyncio.Semaphore(max_channels)
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=512, reuse_address=True
        )

    def close(self) -> None:
        """Stop listening and reset all open channels, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            async with self._slots:
                while await self._serve_one(reader, writer):
                    pass
        except (OSError, EOFError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        line = await reader.readline()
        if not line:
            return False
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while (row := await reader.readline()) not in (b"\r\n", b"\n", b""):
            name, _, value = row.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        answer = await self._handler(Call(method, parts.path, query, headers, body))
        if answer.status < 0:
            await reader.read()  # until the other side closes the channel
            return False
        if answer.status == 0:
            return False
        reason = REASONS.get(answer.status, "Answer")
        head = (
            f"HTTP/1.1 {answer.status} {reason}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(answer.body)}\r\n\r\n"
        )
        writer.write(head.encode() + answer.body)
        await writer.drain()
        return headers.get("connection", "").lower() != "close"


async def request(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, bytes]:
    """Send one request on a channel of its own; the status is 0 without an answer."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _request(host, port, method, path, body, headers or {})
    except (OSError, EOFError, TimeoutError, ValueError, IndexError):
        return 0, b""


async def _request(
    host: str, port: int, method: str, path: str, body: bytes, headers: dict[str, str]
) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        fields = {"Host": f"{host}:{port}", "Connection": "close"} | headers
        if body:
            fields["Content-Type"] = "application/json"
        fields["Content-Length"] = str(len(body))
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        await writer.drain()
        status = int((await reader.readline()).split()[1])
        length = None
        while (row := await reader.readline()) not in (b"\r\n", b""):
            name, _, value = row.decode("latin-1").partition(":")
            if name.lower() == "content-length":
                length = int(value)
        text = await (reader.read() if length is None else reader.readexactly(length))
        return status, text
    finally:
        writer.transport.abort()
