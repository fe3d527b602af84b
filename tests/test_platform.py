"""The roles of the deploy file, built and started by its commands."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
STORE_IP = "127.0.0.90"
JOB_IDS = ("0123456789abcdef", "0123456789abcde0", "0123456789abcde1")
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
seeds = ["127.0.0.91:{control}", "127.0.0.92:{control}"]
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


def free_ports(count: int) -> list[int]:
    """Return ports that were free on the store's address a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((STORE_IP, 0))
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


class PlatformDeployment:
    """Two entries, two sidecars, and one stand-in for the store and the minions."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        names = ("store", "callers", "ready", "control", "peers", "app")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.processes: dict[str, subprocess.Popen] = {}
        self.roles = tomllib.loads(DEPLOY_FILE.read_text())["roles"]
        self.ips = {
            "entry-1": "127.0.0.91",
            "entry-2": "127.0.0.92",
            "side-1": "127.0.0.93",
            "side-2": "127.0.0.94",
        }
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
            "store": f"{STORE_IP}:{self.ports['store']}",
            "configuration": CONFIGURATION,
            "minions": minions,
            "jobs": JOB_IDS,
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

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    def start(self, name: str) -> None:
        """Start a role with the command of the deploy file."""
        role = self.roles["entry" if name.startswith("entry") else "sidecar"]
        settings_path = self.folder / f"{name}.toml"
        store = f"{STORE_IP}:{self.ports['store']}"
        values = {key: port for key, port in self.ports.items() if key != "store"}
        settings_path.write_text(
            SETTINGS_TEMPLATE.format(
                name=name, ip=self.ips[name], store=store, **values
            )
        )
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "KINGCUPPOST_SETTINGS": str(settings_path),
        }
        argv = role["run"].split()
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
        conn = http.client.HTTPConnection(self.ips[name], self.ports[port], timeout=5)
        headers = {"Host": "desk.example", "Authorization": f"Bearer {key}"}
        try:
            conn.request(method, path, body or None, headers)
            response = conn.getresponse()
            text = response.read()
        except OSError:
            return 0, {}
        finally:
            conn.close()
        return response.status, json.loads(text or b"{}")

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


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformDeployment]:
    build = tomllib.loads(DEPLOY_FILE.read_text())["build"]
    subprocess.run(build, shell=True, cwd=ROOT, check=True, capture_output=True)
    running = PlatformDeployment(tmp_path_factory.mktemp("fleet"))
    try:
        wait_until(
            lambda: running.is_ready("entry-1") and running.is_ready("entry-2"),
            "both entries are ready",
        )
        yield running
    finally:
        running.stop()


def test_a_job_is_done_and_both_entries_show_it(system: PlatformDeployment) -> None:
    assert system.call("entry-1", "POST", f"/q/{JOB_IDS[0]}", BODY)[0] == 200
    assert system.call("entry-2", "POST", f"/q/{JOB_IDS[0]}", BODY)[0] == 200
    for name in ("entry-1", "entry-2"):
        wait_until(
            lambda name=name: system.get_job_state(name, JOB_IDS[0]) == "completed",
            "the entry shows the job as completed",
        )


def test_invalid_calls_get_the_matching_status(system: PlatformDeployment) -> None:
    assert system.call("entry-1", "POST", f"/q/{JOB_IDS[1]}", BODY, key="odd")[0] == 401
    assert system.call("entry-1", "GET", f"/other/{JOB_IDS[1]}")[0] == 404
    assert system.call("entry-1", "GET", "/q/fedcba9876543210")[0] == 410
    assert system.call("entry-1", "POST", f"/q/{JOB_IDS[1]}", "{")[0] == 400
    assert system.call("entry-1", "GET", "/q/") == (200, {"pending": 0})


def test_jobs_complete_after_the_lease_holder_is_killed(
    system: PlatformDeployment,
) -> None:
    assert system.call("entry-1", "POST", f"/q/{JOB_IDS[1]}", BODY)[0] == 200
    holder = next(
        name
        for name in ("entry-1", "entry-2")
        if "The term is open" in system.log(name)
    )
    standby = "entry-2" if holder == "entry-1" else "entry-1"
    system.processes[holder].kill()
    system.processes[holder].wait()
    wait_until(
        lambda: system.get_job_state(standby, JOB_IDS[1]) == "completed",
        "the standby shows the job as completed",
    )
    system.start(holder)
    wait_until(lambda: system.is_ready(holder), "the killed entry is ready again")
    wait_until(
        lambda: system.get_job_state(holder, JOB_IDS[1]) == "completed",
        "the restarted entry shows the job as completed",
    )


def test_settings_reload_and_graceful_stop(system: PlatformDeployment) -> None:
    process = system.processes["entry-2"]
    process.send_signal(signal.SIGHUP)
    wait_until(
        lambda: "The settings are read again" in system.log("entry-2"),
        "the settings are reloaded",
    )
    process.terminate()
    assert process.wait(timeout=8) == 0
    system.start("entry-2")
    wait_until(lambda: system.is_ready("entry-2"), "the restarted entry is ready")


def test_metrics_are_served(system: PlatformDeployment) -> None:
    conn = http.client.HTTPConnection(system.ips["entry-1"], system.ports["peers"])
    conn.request("GET", "/metrics")
    text = conn.getresponse().read().decode()
    conn.close()
    assert "kingcuppost_jobs" in text
    assert "kingcuppost_tick_seconds_bucket" in text


def test_minions_recorded_no_violations(system: PlatformDeployment) -> None:
    host = system.processes["host"]
    host.terminate()
    host.wait(timeout=10)
    # The list need not be the last line: a heartbeat interrupted by the shutdown may
    # be logged after it.
    violation_lists = [
        line for line in system.log("host").splitlines() if line.startswith("[")
    ]
    assert violation_lists == ["[]"]
