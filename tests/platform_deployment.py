"""Processes of the platform's roles beside a stand-in for the store and the minions."""

import http.client
import json
import os
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
SPEC = json.dumps([{"count": 2, "saves": True, "work_ms": 800}])
BODY = json.dumps(
    {"spec": SPEC, "steps": [{"count": 2, "cpu": 1_000, "gpu": 1, "estimateMs": 800}]}
)
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "q",
            "host": "desk.example",
            "pathPrefix": "/q/",
            "service": "svc",
            "priority": 1,
            "maxAttempts": 3,
        }
    ],
    "tenants": [{"name": "t", "apiKeys": ["key-1"], "guaranteed": {"gpu": 8}}],
}
START_TIMEOUT_S = 20
SETTINGS_TEMPLATE = """
nodeName = "{name}"
ip = "{ip}"
zone = "zone-a"
internalPorts = [{peers}, {peers}]
seeds = {seeds}
[listen]
frontend = "{ip}:{callers}"
readiness = "{ip}:{ready}"
control = "{ip}:{control}"
[bounds]
holdMaxMs = 6000
graceS = 6
[platform]
address = "{store}"
"""


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that were free on an address a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((ip, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def wait_until(
    condition: Callable[[], bool], description: str, timeout_s: float = START_TIMEOUT_S
) -> None:
    end_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end_s, description
        time.sleep(0.05)


@dataclass(frozen=True)
class PlatformSite:
    """Addresses and settings of a deployment.

    Attributes
    ----------
    store_ip : str
        Address of the stand-in's store.
    ips : dict[str, str]
        Address of each entry and sidecar by its name.
    extra_settings : str
        Further sections of each process's settings.
    built : bool
        Whether to run the package in `target/deps` rather than the sources.
    """

    store_ip: str = "127.0.0.90"
    ips: dict[str, str] = field(
        default_factory=lambda: {
            "entry-1": "127.0.0.91",
            "entry-2": "127.0.0.92",
            "side-1": "127.0.0.93",
            "side-2": "127.0.0.94",
        }
    )
    extra_settings: str = ""
    built: bool = True


class PlatformDeployment:
    """Entries, sidecars, and one stand-in for the store and the minions.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    job_ids : Sequence[str]
        Identifiers of the jobs that the tests submit.
    site : PlatformSite, optional
        Addresses and settings of the processes.
    """

    def __init__(
        self, folder: Path, job_ids: Sequence[str], site: PlatformSite | None = None
    ) -> None:
        self.folder = folder
        self.job_ids = job_ids
        self.site = site or PlatformSite()
        self.ips = self.site.ips
        names = ("store", "callers", "ready", "control", "peers", "app")
        ports = free_ports(self.site.store_ip, len(names))
        self.ports = dict(zip(names, ports, strict=True))
        self.processes: dict[str, subprocess.Popen] = {}
        self.roles = tomllib.loads(DEPLOY_FILE.read_text())["roles"]
        self._start_stand_in()
        for name in self.ips:
            self.start(name)

    def _start_stand_in(self) -> None:
        minions = [
            {
                "id": f"m-{name}",
                "zone": "zone-a",
                "rack": "r1-1",
                "address": f"{ip}:{self.ports['app']}",
                "sidecar": f"{ip}:{self.ports['control']}",
            }
            for name, ip in self.ips.items()
            if name.startswith("side")
        ]
        host_config = {
            "store": self._store,
            "configuration": CONFIGURATION,
            "minions": minions,
            "jobs": self.job_ids,
        }
        path = self.folder / "host.json"
        path.write_text(json.dumps(host_config))
        with (self.folder / "host.log").open("w") as log:
            self.processes["host"] = subprocess.Popen(
                [sys.executable, "-m", "standins.batch.host", str(path)],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        wait_until(lambda: "ready" in self.log("host"), "the stand-in is ready")

    @property
    def _store(self) -> str:
        return f"{self.site.store_ip}:{self.ports['store']}"

    def _list_seeds(self) -> list[str]:
        return [
            f"{ip}:{self.ports['control']}"
            for name, ip in self.ips.items()
            if name.startswith("entry")
        ]

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    def start(self, name: str) -> None:
        """Start a role with the command of the deploy file."""
        role = self.roles["entry" if name.startswith("entry") else "sidecar"]
        settings_path = self.folder / f"{name}.toml"
        values = {key: port for key, port in self.ports.items() if key != "store"}
        settings_path.write_text(
            SETTINGS_TEMPLATE.format(
                name=name,
                ip=self.ips[name],
                store=self._store,
                seeds=json.dumps(self._list_seeds()),
                **values,
            )
            + self.site.extra_settings
        )
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps" if self.site.built else ROOT),
            "KINGCUPPOST_SETTINGS": str(settings_path),
        }
        argv = role["run"].split()
        if not self.site.built:
            # The libraries are then those of the tests' environment.
            argv.remove("-S")
        with (self.folder / f"{name}.log").open("a") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *argv[1:]],
                cwd=self.folder,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def call(
        self,
        name: str,
        method: str,
        path: str,
        body: str = "",
        port: str = "callers",
        key: str = "key-1",
    ) -> tuple[int, dict]:
        """Send a request; the status is 0 if no answer arrives."""
        status, text = self.call_raw(name, method, path, body, port, key)
        return status, json.loads(text or b"{}")

    def call_raw(
        self,
        name: str,
        method: str,
        path: str,
        body: str = "",
        port: str = "callers",
        key: str = "key-1",
    ) -> tuple[int, bytes]:
        """Send a request; the status is 0 if no answer arrives, the body any text."""
        conn = http.client.HTTPConnection(self.ips[name], self.ports[port], timeout=5)
        headers = {"Host": "desk.example", "Authorization": f"Bearer {key}"}
        try:
            conn.request(method, path, body or None, headers)
            response = conn.getresponse()
            text = response.read()
        except OSError:
            return 0, b""
        finally:
            conn.close()
        return response.status, text

    def is_ready(self, name: str) -> bool:
        return self.call(name, "GET", "/kingcuppost/ready", port="ready")[0] == 200

    def get_job_state(self, name: str, job_id: str) -> str:
        return self.call(name, "GET", f"/q/{job_id}")[1].get("state", "")

    def stop(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(timeout=10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
