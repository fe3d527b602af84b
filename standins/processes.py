"""Starts stand-ins and the system's own processes, for tests and the demo."""

import functools
import json
import os
import select
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

__all__ = ["Deployment", "Process", "Site", "wait_until"]

ROOT = Path(__file__).parent.parent
SHIV_ROOT = Path(tempfile.gettempdir()) / "kingcuppost-shiv"
START_TIMEOUT_S = 60.0
WAIT_TIMEOUT_S = 60.0
POLL_PERIOD_S = 0.02
STATUS_OK = 200


def wait_until(
    condition: Callable[[], Any], description: str, timeout_s: float = WAIT_TIMEOUT_S
) -> Any:
    """Poll a condition and return its first true value.

    Raises
    ------
    TimeoutError
        If the condition is still false after `timeout_s`.
    """
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        value = condition()
        if value:
            return value
        time.sleep(POLL_PERIOD_S)
    raise TimeoutError(f"condition not met within {timeout_s} s: {description}")


@dataclass
class Process:
    """A running process, its ports and its log file."""

    name: str
    popen: subprocess.Popen
    log_path: Path

    @functools.cached_property
    def ports(self) -> dict[str, int]:
        """The ports that the process prints once it listens.

        Raises
        ------
        RuntimeError
            If the process ends or does not listen within `START_TIMEOUT_S`.
        """
        ready, _, _ = select.select([self.popen.stdout], [], [], START_TIMEOUT_S)
        line = self.popen.stdout.readline() if ready else b""
        if not line:
            raise RuntimeError(f"{self.name} did not start: {self.log_text()}")
        return json.loads(line)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(signal_number)

    def stop(self, timeout_s: float = WAIT_TIMEOUT_S) -> int:
        """Request a graceful stop and return the exit code.

        Raises
        ------
        subprocess.TimeoutExpired
            If the process has not ended after `timeout_s`.
        """
        self.send(signal.SIGTERM)
        return self.popen.wait(timeout_s)

    def log_text(self) -> str:
        """Return the text that the process has logged so far."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")


@dataclass(frozen=True)
class Site:
    """Names and sizes of a deployment.

    Attributes
    ----------
    region : str
        Name of the region.
    zones : tuple of str
        Availability zones.
    workers : int
        Number of workers, each with one minion.
    workers_per_rack : int
        Number of workers in a rack.
    accelerators, cores, memory_mb, slots, connections : int
        Capacity of each worker and of its minion.
    service : str
        Service that the minions offer.
    """

    region: str = "vidzeme"
    zones: tuple[str, ...] = ("vid-a", "vid-b", "vid-c")
    workers: int = 10
    workers_per_rack: int = 3
    accelerators: int = 8
    cores: int = 64
    memory_mb: int = 131_072
    slots: int = 8
    connections: int = 64
    service: str = "wreath-planner"

    def zone_of(self, number: int) -> str:
        """Return the zone of a worker; a rack lies within one zone."""
        rack = number // self.workers_per_rack
        return self.zones[rack % len(self.zones)]


@dataclass
class Deployment:
    """All processes of one deployment on loopback.

    As a context manager it kills all processes on exit.

    Attributes
    ----------
    command : tuple of str
        Command line of the system, to which a role or a command is appended.
    processes : dict of str to Process
        Newest process of each name.
    log_address : str
        Address of the log that new processes use.
    """

    site: Site = field(default_factory=Site)
    command: tuple[str, ...] = (sys.executable, "-m", "kingcuppost")
    processes: dict[str, Process] = field(default_factory=dict)
    log_address: str = ""

    def __enter__(self) -> "Deployment":
        self._folder = tempfile.TemporaryDirectory(prefix="kingcuppost-")
        self.folder = Path(self._folder.name)
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.popen.kill()
        for process in self.processes.values():
            process.popen.wait()
        self._folder.cleanup()

    def spawn(self, name: str, argv: list[str]) -> Process:
        """Start a process; its ports are read on first access."""
        log_path = self.folder / f"{name}.log"
        with log_path.open("a") as log:
            popen = subprocess.Popen(
                argv,
                stdout=subprocess.PIPE,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "SHIV_ROOT": str(SHIV_ROOT)},
            )
        process = Process(name, popen, log_path)
        self.processes[name] = process
        return process

    def start_standin(self, kind: str, name: str, port: int = 0) -> Process:
        """Start a stand-in process."""
        argv = [sys.executable, "-m", "standins", kind, "--name", name]
        return self.spawn(name, [*argv, "--port", str(port)])

    def start_log(self) -> Process:
        """Start the log; processes started later use it."""
        process = self.start_standin("log", "log")
        self.log_address = f"127.0.0.1:{process.ports['port']}"
        return process

    def start_proxy(self, name: str, target_port: int = 0) -> str:
        """Start a fault proxy and return the address that it listens on."""
        process = self.start_standin("proxy", name)
        if target_port:
            self.call(name, "port", "POST", "/v1/target", {"port": target_port})
        return f"127.0.0.1:{process.ports['proxy']}"

    def set_faults(self, name: str, **faults: Any) -> None:
        """Replace the faults of a proxy or the log, or update those of a worker.

        Raises
        ------
        RuntimeError
            If the stand-in refuses them.
        """
        status, answer = self.call(name, "port", "POST", "/v1/faults", faults)
        if status != STATUS_OK:
            raise RuntimeError(f"{name} refused {faults}: {answer}")

    def start_entry(self, name: str, zone: str = "", **options: Any) -> Process:
        """Start an entry; see `_common_settings` for the options."""
        text = self._common_settings(
            "entry", name, zone or self.site.zones[0], **options
        )
        text += '[entry]\ncallers = "127.0.0.1:0"\noperators = "127.0.0.1:0"\n'
        return self._start("entry", name, text)

    def start_sidecar(
        self,
        number: int,
        minion_address: str = "",
        worker_address: str = "",
        **options: Any,
    ) -> Process:
        """Start the sidecar of a minion.

        The stand-ins of its minion and worker must run already, unless their addresses
        are given.
        """
        name = f"minion-{number}"
        minion = self.processes.get(f"{name}-service")
        worker = self.processes.get(f"worker-{number}")
        minion_address = minion_address or f"127.0.0.1:{minion.ports['port']}"
        worker_address = worker_address or f"127.0.0.1:{worker.ports['port']}"
        site = self.site
        text = self._common_settings("sidecar", name, site.zone_of(number), **options)
        text += (
            f'[sidecar]\nservice = "{site.service}"\nminion = "{minion_address}"\n'
            f"slots = {site.slots}\nconnections = {site.connections}\n"
            f'operators = "127.0.0.1:0"\n[sidecar.worker]\n'
            f'name = "worker-{number}"\n'
            f'rack = "rack-{number // site.workers_per_rack}"\n'
            f'address = "{worker_address}"\ncores = {site.cores}\n'
            f"memory_mb = {site.memory_mb}\naccelerators = {site.accelerators}\n"
        )
        return self._start("sidecar", name, text)

    def start_minion_and_worker(self, number: int) -> None:
        """Start the stand-ins of a minion and of its worker."""
        self.start_standin("minion", f"minion-{number}-service")
        self.start_standin("worker", f"worker-{number}")

    def start_minions(self, count: int) -> None:
        """Start minions with their workers and sidecars in parallel."""
        for number in range(count):
            self.start_minion_and_worker(number)
        for number in range(count):
            self.start_sidecar(number)

    def _common_settings(
        self,
        role: str,
        name: str,
        zone: str,
        log_address: str = "",
        advertised: str = "",
    ) -> str:
        """Return the head of a settings file, shared by all roles.

        `log_address` and `advertised` allow a fault proxy between the process and
        the log, or between its peers and the process.
        """
        line = f'advertised = "{advertised}"\n' if advertised else ""
        return (
            f'role = "{role}"\nname = "{name}"\navailability_zone = "{zone}"\n'
            f'region = "{self.site.region}"\npeers = "127.0.0.1:0"\n{line}'
            f'[log]\naddress = "{log_address or self.log_address}"\n'
        )

    def _start(self, role: str, name: str, text: str) -> Process:
        path = self.folder / f"{name}.toml"
        path.write_text(text, encoding="utf-8")
        return self.spawn(name, [*self.command, role, str(path)])

    def run(
        self, *arguments: str, entry: str = "entry-0"
    ) -> subprocess.CompletedProcess:
        """Run an operator's command against an entry; return its result."""
        port = self.processes[entry].ports["operators"]
        argv = [*self.command, *arguments, "--entry", f"127.0.0.1:{port}"]
        return self._run(argv)

    def request(
        self, *arguments: str, entry: str = "entry-0"
    ) -> subprocess.CompletedProcess:
        """Send a caller's request by the command line; return its result."""
        port = self.processes[entry].ports["callers"]
        argv = [*self.command, "request", "--callers", f"127.0.0.1:{port}"]
        return self._run([*argv, *arguments])

    def _run(self, argv: list[str]) -> subprocess.CompletedProcess:
        return subprocess.run(
            argv,
            capture_output=True,
            text=True,
            cwd=ROOT,
            timeout=WAIT_TIMEOUT_S,
            check=False,
            env={**os.environ, "SHIV_ROOT": str(SHIV_ROOT)},
        )

    def call(
        self, name: str, port_name: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Send an HTTP request to a named port of a process; return status and body."""
        port = self.processes[name].ports[port_name]
        url = f"http://127.0.0.1:{port}{path}"
        data = json.dumps(body).encode() if body is not None else None
        request = urllib.request.Request(url, data, method=method)
        try:
            with urllib.request.urlopen(request, timeout=WAIT_TIMEOUT_S) as response:
                return response.status, json.loads(response.read())
        except urllib.error.HTTPError as exc:
            return exc.code, json.loads(exc.read())

    def show(self, path: str, entry: str = "entry-0") -> Any:
        """Return the answer to a GET on the operators port of an entry or sidecar."""
        return self.call(entry, "operators", "GET", path)[1]

    def ended_logs(self) -> str:
        """Return the logs of the processes that have ended, with their exit codes."""
        texts = []
        for process in self.processes.values():
            code = process.popen.poll()
            if code is not None:
                texts.append(f"{process.name} ended: {code}\n{process.log_text()}")
        return "\n".join(texts)

    def timeline(self) -> str:
        """Return the merged time line of all running processes.

        A process that does not answer has a row with its name only.
        """
        rows = []
        for process in self.processes.values():
            if process.popen.poll() is not None or "operators" not in process.ports:
                continue
            try:
                rows.extend(self.show("/v1/events", process.name)["events"])
            except (OSError, ValueError):
                rows.append({"offset": 0, "wall_ms": 0, "process": process.name})
        rows.sort(key=lambda row: (row["offset"], row["wall_ms"]))
        return "\n".join(json.dumps(row) for row in rows)
