"""A small deployment on loopback: stand-ins for the platform, and the real processes.

The stand-ins follow the users' pages: the log store with its keyed topics, minions that
guard their capacity and hold leases, and a platform that restarts processes which end
and kills those that exceed their memory. All of them run in one event loop; the
project's programs are separate processes, started with the commands of the deploy file.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
APPEND_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HOLD_MAX_MS = 10_000
STOP_MS = 400
GANG_MS = 3_000
MAX_LISTED_ENDS = 500
CHECKPOINT_MS = 1_000
HEARTBEAT_S = 1.5
RESTART_DELAY_S = 0.5
KEY = "key-1"
HOST = "desk.example"

SETTINGS = """
nodeName = "{name}"
role = "{role}"
machineClass = "{machine_class}"
ip = "{ip}"
zone = "{zone}"
region = "vidzeme"
internalPorts = [{peers}, {peers}]
seeds = {seeds}
bootstrap = false
entry = "vip"
orders = "call"
heartbeatMs = 1500
{app}
[listen]
{listen}
[limits]
cpuShare = 0.5
cores = 2
memoryMb = {memory_mb}
maxFds = 4100
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
evacuateMs = 5000
holdMaxMs = 10000
stopMs = 400
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
remoteFactor = 3
checkpointS = 1
restoreMs = 250
leaseMs = 3000
fencingRequired = true
[platform]
address = "{store}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 8
appendMs = 4.0
recordBytes = 262144
requestBytes = 2097152
keep_s = 300
"""

Handler = Callable[["Request"], Awaitable[tuple[int, bytes] | None]]


def now_ms() -> int:
    """Return a steady time in ms."""
    return time.monotonic_ns() // 1_000_000


@dataclass
class Request:
    """A whole HTTP request; `query` has the last value of each field."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query, keep_blank_values=True))
    return Request(method, parts.path, query, headers, body)


async def serve(ip: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve HTTP/1.1 with connections that stay open.

    A handler that returns None lets the connection go without an answer.
    """

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ends = (OSError, EOFError, ValueError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while True:
                request = await _read_request(reader)
                answer = await handler(request)
                if answer is None:
                    return
                status, body = answer
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        writer.close()

    return await asyncio.start_server(on_connection, ip, port, limit=4_000_000)


async def http(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, bytes]:
    """Make one call on a connection of its own; status 0 if there is no answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
                lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
                lines.append(f"Content-Length: {len(body)}")
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                await writer.drain()
                head = await reader.readuntil(b"\r\n\r\n")
                status = int(head.split(b" ", 2)[1])
                length = 0
                for line in head.decode("latin-1").split("\r\n"):
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                return status, await reader.readexactly(length)
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError, ValueError):
        return 0, b""


@dataclass
class Topic:
    """A topic of one partition; `newest` has the offset of each key's newest record."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, int] = field(default_factory=dict)
    producers: dict[str, tuple[int, int]] = field(default_factory=dict)
    answers: dict[tuple[str, int, int], dict] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class Store:
    """The platform's log store."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        # called with each append before it is carried out
        self.on_append: Callable[[Request], Awaitable[None]] | None = None

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic_name: str, rows: list[tuple[str, bytes]]) -> int:
        """Append records; an empty value removes the key."""
        topic = self.topic(topic_name)
        first = len(topic.records)
        for key, value in rows:
            topic.newest.pop(key, None)
            if value:
                topic.newest[key] = len(topic.records)
            topic.records.append((key, value))
        topic.changed.set()
        topic.changed = asyncio.Event()
        return first

    async def handle(self, request: Request) -> tuple[int, bytes] | None:
        """Answer a call of the system."""
        name = request.path.rpartition("/")[2]
        if name == "log-append":
            return await self._append(request)
        if name == "log-read":
            return await self._read(request)
        if name == "log-newest":
            return self._newest(request)
        return 404, b"{}"

    async def _append(self, request: Request) -> tuple[int, bytes]:
        topic_name = request.query["topic"]
        if topic_name in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        if self.on_append is not None:
            await self.on_append(request)
        async with self.topic(topic_name).lock:
            await asyncio.sleep(APPEND_S)
            status, reply = self._append_now(request, self.topic(topic_name))
        return status, json.dumps(reply).encode()

    def _append_now(self, request: Request, topic: Topic) -> tuple[int, dict]:
        end = len(topic.records)
        at = request.query.get("at")
        if at is not None and int(at) != end:
            return 412, {"end": end}
        producer = request.query.get("producer")
        key = None
        if producer is not None:
            epoch = int(request.query["epoch"])
            sequence = int(request.query["sequence"])
            key = (producer, epoch, sequence)
            known_epoch, last = topic.producers.get(producer, (-1, -1))
            if epoch < known_epoch:
                return 409, {"reason": "fenced", "end": end}
            if epoch == known_epoch and sequence != last + 1:
                if key in topic.answers and sequence > last - 5:
                    return 200, topic.answers[key]
                return 409, {"reason": "seq", "sequence": last + 1}
            topic.producers[producer] = (epoch, sequence)
        rows = decode_records(request.body)
        first = self.put(request.query["topic"], rows) if rows else end
        reply = {"offset": first, "end": len(topic.records)}
        if key is not None:
            topic.answers[key] = reply
        return 200, reply

    async def _read(self, request: Request) -> tuple[int, bytes]:
        topic = self.topic(request.query["topic"])
        start = int(request.query["from"])
        limit = int(request.query.get("maxKb", "1024")) * 1024
        end_ms = now_ms() + int(request.query.get("waitMs", "0"))
        while start >= len(topic.records) and now_ms() < end_ms:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout((end_ms - now_ms()) / 1000):
                    await topic.changed.wait()
        parts, size = [struct.pack(">QQ", len(topic.records), 0)], 0
        for key, value in itertools.islice(topic.records, start, None):
            content = bytes([len(key)]) + key.encode() + value
            if size and size + len(content) > limit:
                break
            size += len(content) + 4
            parts.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(parts)

    def _newest(self, request: Request) -> tuple[int, bytes]:
        topic = self.topic(request.query["topic"])
        after = request.query.get("dependsOn", "")
        items, size, more = [], 0, False
        for key in sorted(key for key in topic.newest if key > after):
            value = topic.records[topic.newest[key]][1]
            if items and (len(items) >= PAGE_ITEMS or size + len(value) > PAGE_BYTES):
                more = True
                break
            size += len(value)
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": topic.newest[key]})
        reply = {"items": items, "more": more, "end": len(topic.records)}
        return 200, json.dumps(reply).encode()


def decode_records(body: bytes) -> list[tuple[str, bytes]]:
    """Return the key and the value of each record of an append."""
    rows, position = [], 0
    while position < len(body):
        size = struct.unpack_from(">I", body, position)[0]
        content = body[position + 4 : position + 4 + size]
        rows.append((content[1 : 1 + content[0]].decode(), content[1 + content[0] :]))
        position += 4 + size
    return rows


@dataclass
class Run:
    """A run on a minion; `work_ms` is what its spec asks for."""

    task: str
    number: int
    step: dict
    work_ms: float
    done_ms: float = 0.0
    saved: str = ""
    started_ms: int = 0
    stop_at_ms: int | None = None


class Minion:
    """A minion that guards its capacity, in a process of its own.

    What its tasks do stands in the job's spec, as JSON: the list of the steps with
    `cpu`, `memMb`, `gpu`, `work_ms` and `saves`.
    """

    def __init__(self, name: str, ip: str, port: int, zone: str, rack: str) -> None:
        self.name, self.ip, self.port, self.zone, self.rack = name, ip, port, zone, rack
        self.id = f"i-{name}"
        self.capacity = {"cpu": 64_000, "memMb": 131_072, "gpu": 8}
        self.state = "ready"
        self.begin()

    def begin(self) -> None:
        """Begin a lifetime, which holds and knows nothing of before."""
        self.started_ms = now_ms()
        self.born = int(time.time() * 1000)
        self.runs: dict[tuple[str, int], Run] = {}
        self.free = dict(self.capacity)
        self.highest: dict[str, int] = {}
        self.ends: list[list] = []
        self.end_count = 0
        self.token = 0
        self.until_ms = 0
        self.sequence = 0
        self.changed = asyncio.Event()

    def _tell(self, what: str, **fields: object) -> None:
        """Write an event for the record."""
        fields |= {"what": what, "minion": self.name}
        sys.stdout.write(json.dumps(fields) + "\n")
        sys.stdout.flush()

    def clock(self) -> int:
        """Return the time on the minion's clock."""
        return now_ms() - self.started_ms + 1_000

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task, run.number]
        for name in self.free:
            self.free[name] += run.step.get(name, 0)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, run.saved])
        self._tell("end", task=run.task, run=run.number, how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def work(self) -> None:
        """Let the runs make progress."""
        last = now_ms()
        while True:
            await asyncio.sleep(0.02)
            now, passed = now_ms(), now_ms() - last
            last = now
            if self.clock() >= self.until_ms:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")
            for run in list(self.runs.values()):
                run.done_ms += passed
                if run.stop_at_ms is not None and now >= run.stop_at_ms:
                    self._end(run, "stopped")
                elif run.done_ms >= run.work_ms:
                    self._end(run, "done")

    async def send_heartbeats(self, sidecar: tuple[str, int]) -> None:
        """Register at the sidecar from time to time."""
        while True:
            self.sequence += 1
            body = {
                "service": "svc",
                "address": f"{self.ip}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "coldRemainingMs": 0,
                "capacity": self.capacity,
                "labels": ["a", self.rack],
                "clockMs": self.clock(),
                "sequence": self.sequence,
                "born": self.born,
            }
            path = f"/kingcuppost/instances/{self.id}"
            headers = {"Content-Type": "application/json"}
            await http(sidecar, "PUT", path, json.dumps(body).encode(), headers, 1.0)
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, request: Request) -> tuple[int, bytes] | None:
        """Answer a call of the sidecar."""
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, b"{}"
        body = json.loads(request.body)
        name = request.path.rpartition("/")[2]
        if name == "hold":
            return await self._hold(body)
        reason = self._start(body) if name == "run-start" else self._stop(body)
        reply = {"clockMs": self.clock(), "born": self.born}
        if reason:
            reply["reason"] = reason
        return (409 if reason else 200), json.dumps(reply).encode()

    def _extend(self, until_ms: int) -> None:
        limit = self.clock() + HOLD_MAX_MS
        self.until_ms = max(self.until_ms, min(until_ms, limit))

    def _start(self, body: dict) -> str:
        task, number = body["task"], body["run"]
        if body.get("fencingToken", 0) < self.token:
            return "fence"
        self.token = body.get("fencingToken", 0)
        if (task, number) in self.runs:
            return ""
        if body["deadlineMs"] <= self.clock():
            return "late"
        self._extend(body["deadlineMs"])
        if number <= self.highest.get(task, 0):
            return "old"
        steps = json.loads(body["spec"])
        step = steps[min(int(task.split(".")[2]), len(steps) - 1)]
        if any(self.free[name] < step.get(name, 0) for name in self.free):
            return "room"
        for name in self.free:
            self.free[name] -= step.get(name, 0)
        self.runs[task, number] = Run(
            task, number, step, step.get("work_ms", 1_000), started_ms=now_ms()
        )
        self._tell("start", task=task, run=number)
        return ""

    def _stop(self, body: dict) -> str:
        task, number = body["task"], body["run"]
        if body.get("fencingToken", 0) < self.token:
            return "fence"
        self.token = body.get("fencingToken", 0)
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None and run.stop_at_ms is None:
            run.stop_at_ms = now_ms() + STOP_MS // 2
        return ""

    async def _hold(self, body: dict) -> tuple[int, bytes]:
        if body.get("fencingToken", 0) < self.token:
            text = json.dumps({"clockMs": self.clock(), "reason": "fence"})
            return 409, text.encode()
        self.token = body.get("fencingToken", 0)
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        self.ends = [end for end in self.ends if end[0] > body.get("lastSeen", 0)]
        end_ms = now_ms() + body.get("waitMs", 0)
        while not self.ends and now_ms() < end_ms:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout((end_ms - now_ms()) / 1000):
                    await self.changed.wait()
        rows = [
            [run.task, run.number, run.saved, self._percent(run), 0]
            for run in self.runs.values()
        ]
        reply = {
            "clockMs": self.clock(),
            "born": self.born,
            "running": rows,
            "finishedRuns": self.ends[:MAX_LISTED_ENDS],
        }
        return 200, json.dumps(reply).encode()

    def _percent(self, run: Run) -> int:
        return min(int(100 * run.done_ms / run.work_ms), 99)


async def _run_minion(argv: list[str]) -> None:
    """Run a minion until the process is ended."""
    name, ip, port, zone, rack, sidecar_port = argv
    minion = Minion(name, ip, int(port), zone, rack)
    await serve(ip, int(port), minion.handle)
    await asyncio.gather(minion.work(), minion.send_heartbeats((ip, int(sidecar_port))))


class MinionProcess:
    """A process with a minion, and the runs that it has told of.

    `runs` has those that it works on, `ends` how each other one has ended.
    """

    def __init__(self, lab: "Lab", name: str, ip: str, zone: str, rack: str) -> None:
        self.lab, self.name, self.ip, self.zone, self.rack = lab, name, ip, zone, rack
        self.port = free_port(ip)
        self.runs: set[tuple[str, int]] = set()
        self.ends: dict[tuple[str, int], str] = {}
        self.starts: list[tuple[int, str, int]] = []
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and read what it tells."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(Path(__file__).resolve()),
            *(self.name, self.ip, str(self.port), self.zone, self.rack),
            str(self.lab.ports["control"]),
            stdout=asyncio.subprocess.PIPE,
        )
        self.lab.spawn(self._read())

    async def end(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.kill()
            await self.process.wait()

    async def _read(self) -> None:
        async for line in self.process.stdout:
            event = json.loads(line)
            key = (event["task"], event["run"])
            if event["what"] == "start":
                self.runs.add(key)
                self.starts.append((now_ms(), *key))
            else:
                self.runs.discard(key)
                self.ends[key] = event["how"]
            self.lab.note(event.pop("what"), **event)


def free_port(ip: str) -> int:
    """Return a port that was free on an address a moment ago."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Process:
    """A process of the system, which the platform starts again when it ends."""

    def __init__(self, lab: "Lab", name: str, role: str, ip: str, zone: str) -> None:
        self.lab, self.name, self.role, self.ip, self.zone = lab, name, role, ip, zone
        self.popen: subprocess.Popen | None = None
        self.minion: MinionProcess | None = None
        self.deaths: list[str] = []
        self.peak_mb = 0.0
        self.is_held_down = False

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        lab = self.lab
        (lab.folder / f"{self.name}.toml").write_text(lab.settings_of(self))
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(lab.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "KINGCUPPOST_SETTINGS": str(lab.folder / f"{self.name}.toml"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        argv = lab.roles["entry" if self.role == "entry" else "sidecar"]["run"].split()
        with (lab.folder / f"{self.name}.log").open("a") as log:
            self.popen = subprocess.Popen(
                [sys.executable, *argv[1:]],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        lab.note("process started", name=self.name, pid=self.popen.pid)

    def memory_mb(self) -> float:
        """Return the resident memory of the process, in MB; 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.popen.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20

    def end(self) -> None:
        """End the process at once, if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()

    def kill(self, why: str) -> None:
        """End the process at once, and write down why."""
        self.end()
        self.deaths.append(why)
        self.lab.note("process killed", name=self.name, why=why)

    async def watch(self) -> None:
        """Kill the process if it exceeds its memory; start it again when it ends."""
        limit_mb = self.lab.memory_mb[self.role]
        while True:
            await asyncio.sleep(0.05)
            if self.popen.poll() is None:
                used_mb = self.memory_mb()
                self.peak_mb = max(self.peak_mb, used_mb)
                if used_mb <= limit_mb:
                    continue
                self.kill(f"{used_mb:.0f} MB of memory, the limit is {limit_mb} MB")
            elif not self.is_held_down and not (
                self.deaths and self.popen.returncode == -signal.SIGKILL
            ):
                self.deaths.append(f"ended with {self.popen.returncode}")
                self.lab.note("process ended", name=self.name, why=self.deaths[-1])
            if not self.is_held_down:
                await asyncio.sleep(RESTART_DELAY_S)
                self.start()


class Lab:
    """Entries, sidecars, minions and the store, and the record of what they did."""

    def __init__(self, case: Path, net: int, entries: int = 2, sides: int = 3) -> None:
        self.case = case
        self.folder = Path(tempfile.mkdtemp(prefix="kingcuppost-review-"))
        self.record = (case / "record.txt").open("w")
        self.begun_ms = now_ms()
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.memory_mb = {"entry": 300, "sidecar": 168}
        self.store = Store()
        self.store_ip = f"127.{net}.0.1"
        self.store_port = free_port(self.store_ip)
        names = ("callers", "ready", "control", "peers")
        self.ports = {name: free_port(f"127.{net}.1.1") for name in names}
        self.processes: dict[str, Process] = {}
        self.minions: dict[str, MinionProcess] = {}
        self.tasks: list[asyncio.Task] = []
        for number in range(1, entries + 1):
            zone = f"vid-{'abc'[(number - 1) % 3]}"
            name = f"entry-{number}"
            ip = f"127.{net}.1.{number}"
            self.processes[name] = Process(self, name, "entry", ip, zone)
        for number in range(1, sides + 1):
            zone = f"vid-{'abc'[(number - 1) % 3]}"
            name = f"side-{number}"
            ip = f"127.{net}.2.{number}"
            process = Process(self, name, "sidecar", ip, zone)
            rack = f"r{(number + 2) // 3}-1"
            process.minion = MinionProcess(self, name, ip, zone, rack)
            self.processes[name], self.minions[name] = process, process.minion
        self.routes = [
            {
                "name": "q",
                "host": HOST,
                "pathPrefix": "/q/",
                "service": "svc",
                "priority": 1,
                "maxAttempts": 3,
                "slackFactor": 3.0,
            }
        ]

    def note(self, what: str, **fields: object) -> None:
        """Write a line to the record."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.record.write(f"{(now_ms() - self.begun_ms) / 1000:8.3f} {what} {text}\n")
        self.record.flush()

    def settings_of(self, process: Process) -> str:
        """Return the settings file of a process."""
        is_entry = process.role == "entry"
        ports, ip = self.ports, process.ip
        listen = f'control = "{ip}:{ports["control"]}"'
        app = ""
        if is_entry:
            listen += f'\nfrontend = "{ip}:{ports["callers"]}"'
            listen += f'\nreadiness = "{ip}:{ports["ready"]}"'
        else:
            app = f'app = "{ip}:{process.minion.port}"\nservice = "svc"'
        seeds = [
            f"{other.ip}:{ports['control']}"
            for other in self.processes.values()
            if other.role == "entry"
        ]
        return SETTINGS.format(
            name=process.name,
            role=process.role,
            machine_class="frontend" if is_entry else "side",
            ip=ip,
            zone=process.zone,
            peers=ports["peers"],
            seeds=json.dumps(seeds[:3]),
            listen=listen,
            app=app,
            memory_mb=self.memory_mb[process.role],
            store=f"{self.store_ip}:{self.store_port}",
        )

    def put_configuration(self, version: int) -> None:
        """Write a configuration as the operator does."""
        value = {
            "version": version,
            "routes": self.routes,
            "services": [{"name": "svc", "rejectsOverload": True}],
            "tenants": [{"name": "t", "apiKeys": [KEY], "guaranteed": {"gpu": 8}}],
            "limits": {},
        }
        self.store.put("keyed.op", [("config", json.dumps(value).encode())])

    async def start(self) -> None:
        """Start everything, and wait until all entries are ready."""
        self.put_configuration(3)
        await serve(self.store_ip, self.store_port, self.store.handle)
        for minion in self.minions.values():
            await minion.start()
        for process in self.processes.values():
            process.start()
            self.spawn(process.watch())
        await self.wait_for(self._are_ready, 20)
        await asyncio.sleep(3)

    def spawn(self, coroutine: Awaitable) -> asyncio.Task:
        """Run a coroutine until the end."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def _are_ready(self) -> bool:
        return all([await self.is_ready(name) for name in self.entry_names()])

    def entry_names(self) -> list[str]:
        """Return the names of the entries."""
        return [name for name, row in self.processes.items() if row.role == "entry"]

    async def is_ready(self, name: str) -> bool:
        """Return whether an entry says that the balancer may use it."""
        address = (self.processes[name].ip, self.ports["ready"])
        return (await http(address, "GET", "/kingcuppost/ready", timeout_s=1))[0] == 200

    async def wait_for(
        self, condition: Callable[[], Awaitable[bool]], timeout_s: float
    ) -> bool:
        """Wait until a condition holds; return whether it does."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await condition():
                return True
            await asyncio.sleep(0.1)
        return False

    async def call(
        self,
        name: str,
        method: str,
        job: str,
        body: str = "",
        timeout_s: float = 3.0,
        prefix: str = "/q/",
    ) -> tuple[int, dict]:
        """Call an entry as a consumer, and write the call and its answer down."""
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": str(int(timeout_s * 1000)),
        }
        if body:
            headers["Content-Type"] = "application/json"
        address = (self.processes[name].ip, self.ports["callers"])
        begun = now_ms()
        status, text = await http(
            address, method, prefix + job, body.encode(), headers, timeout_s
        )
        reply = json.loads(text or b"{}") if status else {}
        self.note(
            "call",
            entry=name,
            method=method,
            job=job,
            bytes=len(body),
            status=status or "none",
            reply=json.dumps(reply),
            took_ms=now_ms() - begun,
        )
        return status, reply

    def log(self, name: str) -> str:
        """Return what a process has written."""
        path = self.folder / f"{name}.log"
        return path.read_text() if path.exists() else ""

    def holder(self) -> str:
        """Return the entry that opened the newest term."""
        value = self.store.topic("keyed.members").newest.get("claim")
        record = self.store.topic("keyed.members").records[value][1]
        return json.loads(record)["name"]

    async def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            process.end()
        for minion in self.minions.values():
            await minion.end()
        if os.environ.get("KEEP_LOGS") == "1":
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case: Path, play: Callable[[Lab, bool], Awaitable[int]], **options) -> None:
    """Play a case and exit with its result; 2 if it could not be played."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    lab = Lab(case, **options)

    async def run() -> int:
        try:
            async with asyncio.timeout(110):
                await lab.start()
                return await play(lab, trouble)
        except TimeoutError:
            lab.note("the case took too long")
            return 2
        finally:
            await lab.close()

    code = 2
    try:
        code = asyncio.run(run())
    except Exception as exc:
        lab.note("the case failed", error=repr(exc))
        raise
    finally:
        lab.note("result", exit_code=code)
        lab.record.close()
    sys.exit(code)


if __name__ == "__main__":
    asyncio.run(_run_minion(sys.argv[1:]))
