"""Callers' requests under faults of links, processes and the log.

All tests share one deployment: two entries and two minions, with a fault proxy in
front of each entry's peer port, each sidecar and each minion, and one between the
sidecars and the log. Each test clears its faults at the end.
"""

import json
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from standins.processes import ROOT, Deployment, Process, Site, wait_until

TEAM = "design"
MINION_COUNT = 2
ENTRIES = ("entry-0", "entry-1")
REQUEST_SILENCE_MS = 1_000  # default of request.silence_ms
MARGIN_MS = 2_000
LEAVE_LIMIT_S = 3
LOAD_RATE_PER_S = 25
LOAD_S = 4
BODY_BYTES = 20_000
STOP_LOG_TEXT = "A graceful stop begins."


class ProxiedDeployment:
    """A deployment with fault proxies, and the actions of the tests on it."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.pool = ThreadPoolExecutor(8)

    def start(self) -> None:
        deployment = self.deployment
        for name in ("peers", "service"):
            for number in range(MINION_COUNT):
                deployment.start_standin("proxy", f"{name}-{number}")
        for name in ("heartbeats-0", "heartbeats-1", "log-proxy"):
            deployment.start_standin("proxy", name)
        for number in range(MINION_COUNT):
            deployment.start_minion_and_worker(number)
        deployment.start_log()
        self.set_target("log-proxy", deployment.processes["log"].ports["port"])
        for number, name in enumerate(ENTRIES):
            deployment.start_entry(
                name, advertised=self.proxy_address(f"heartbeats-{number}")
            )
        for number in range(MINION_COUNT):
            self.start_sidecar(number)
        for number, name in enumerate(ENTRIES):
            self.set_target(
                f"heartbeats-{number}", deployment.processes[name].ports["peers"]
            )
        self.configure()

    def start_sidecar(self, number: int) -> None:
        deployment = self.deployment
        service = f"minion-{number}-service"
        self.set_target(
            f"service-{number}", deployment.processes[service].ports["port"]
        )
        process = deployment.start_sidecar(
            number,
            minion_address=self.proxy_address(f"service-{number}"),
            advertised=self.proxy_address(f"peers-{number}"),
            log_address=self.proxy_address("log-proxy"),
        )
        self.set_target(f"peers-{number}", process.ports["peers"])

    def start_entry(self, number: int) -> None:
        name = ENTRIES[number]
        address = self.proxy_address(f"heartbeats-{number}")
        process = self.deployment.start_entry(name, advertised=address)
        self.set_target(f"heartbeats-{number}", process.ports["peers"])
        self.wait_until_settled()

    def configure(self) -> None:
        for zone in self.deployment.site.zones:
            body = {"operator": "ilze", "region": "vidzeme", "in_service": True}
            path = f"/v1/availability-zones/{zone}"
            wait_until(
                lambda p=path, b=body: self.put(p, b) == 200, f"{zone} is in service"
            )
        body = {"operator": "ilze", "guarantees": []}
        assert self.put(f"/v1/teams/{TEAM}", body) == 200
        self.wait_until_settled()

    def put(self, path: str, body: dict) -> int:
        return self.deployment.call("entry-0", "operators", "PUT", path, body)[0]

    def proxy_address(self, proxy: str) -> str:
        return f"127.0.0.1:{self.deployment.processes[proxy].ports['proxy']}"

    def set_target(self, proxy: str, port: int) -> None:
        self.deployment.call(proxy, "port", "POST", "/v1/target", {"port": port})

    def wait_until_settled(self) -> None:
        """Wait until both entries know all minions and answer requests."""
        for name in ENTRIES:
            wait_until(
                lambda n=name: self.knows_all_minions(n), f"{name} knows the minions"
            )
            wait_until(
                lambda n=name: self.send_request(n)[0] == 200,
                f"{name} answers requests",
            )

    def knows_all_minions(self, entry: str) -> bool:
        """Return whether an entry lists all minions, and none of them as leaving."""
        rows = self.deployment.show("/v1/fleet", entry)["minions"]
        rows_text = json.dumps(rows)
        return len(rows) == MINION_COUNT and "leaving" not in rows_text.replace(
            '"leaving": false', ""
        )

    def send_request(self, entry: str, **fields: object) -> tuple[int, dict]:
        body = {"team": TEAM, "service": self.deployment.site.service, **fields}
        return self.deployment.call(entry, "callers", "POST", "/v1/requests", body)

    def send_request_in_thread(self, entry: str, **fields: object) -> Future:
        return self.pool.submit(self.send_request, entry, **fields)

    def make_request(self, run_id: str, run_ms: int = 0, **fields: object) -> dict:
        return {"body": json.dumps({"id": run_id, "run_ms": run_ms}), **fields}

    def make_keyed_request(
        self, run_id: str, run_ms: int = 0, **fields: object
    ) -> dict:
        keyed = {"idempotent": False, "key": run_id, "issued_ms": 1, **fields}
        return self.make_request(run_id, run_ms, **keyed)

    def count_runs(self, run_id: str) -> list[int]:
        """Return how many times each minion ran a request."""
        counts = []
        for number in range(MINION_COUNT):
            name = f"minion-{number}-service"
            _, answer = self.deployment.call(name, "port", "GET", "/v1/runs")
            counts.append(answer["runs"].get(run_id, 0))
        return counts

    def wait_for_run(self, run_id: str) -> None:
        wait_until(lambda: sum(self.count_runs(run_id)), f"{run_id} runs")

    def set_link_faults(self, kind: str, **faults: object) -> None:
        for number in range(MINION_COUNT):
            self.deployment.set_faults(f"{kind}-{number}", **faults)

    def start_load(self, *entries: str, body: str = "") -> subprocess.Popen:
        argv = [sys.executable, "-m", "standins.load", "--team", TEAM]
        argv += ["--service", self.deployment.site.service, "--body", body]
        argv += ["--rate", str(LOAD_RATE_PER_S), "--seconds", str(LOAD_S)]
        for entry in entries:
            port = self.deployment.processes[entry].ports["callers"]
            argv += ["--callers", f"127.0.0.1:{port}"]
        return subprocess.Popen(argv, stdout=subprocess.PIPE, cwd=ROOT)

    def read_report(self, load: subprocess.Popen) -> dict:
        output, _ = load.communicate(timeout=60)
        return json.loads(output)


@pytest.fixture(scope="module")
def shared_system(command: tuple[str, ...]) -> Iterator[ProxiedDeployment]:
    with Deployment(site=Site(workers=MINION_COUNT), command=command) as deployment:
        system = ProxiedDeployment(deployment)
        system.start()
        yield system
        system.pool.shutdown()


@pytest.fixture
def system(
    shared_system: ProxiedDeployment, request: pytest.FixtureRequest
) -> Iterator[ProxiedDeployment]:
    yield shared_system
    report = getattr(request.node, "report_call", None)
    if report is not None and report.failed:
        print(shared_system.deployment.timeline())


@pytest.mark.parametrize("link", ["peers", "service"])
def test_truncated_answer_is_never_a_200(system: ProxiedDeployment, link: str) -> None:
    system.set_link_faults(link, cut_answer_after=150)
    answers = [
        system.send_request(name, body="x" * BODY_BYTES, timeout_ms=1_500)
        for name in ENTRIES
    ]
    system.set_link_faults(link)
    assert [status for status, _ in answers] == [504, 504]
    assert {answer["outcome"] for _, answer in answers} == {"unknown"}
    system.wait_until_settled()


def test_request_with_lost_answer_is_retried_and_runs_once(
    system: ProxiedDeployment,
) -> None:
    system.set_link_faults("peers", lose_answers=1)
    status, answer = system.send_request(
        "entry-0", **system.make_keyed_request("lost", timeout_ms=8_000)
    )
    system.set_link_faults("peers")
    assert (status, answer["outcome"]) == (200, "answered")
    assert sum(system.count_runs("lost")) == 1


def test_link_cut_after_sending_is_unknown(system: ProxiedDeployment) -> None:
    pending = system.send_request_in_thread(
        "entry-0", **system.make_keyed_request("cut", 800, timeout_ms=2_500)
    )
    system.wait_for_run("cut")
    system.set_link_faults("peers", cut=True)
    status, answer = pending.result()
    system.set_link_faults("peers")
    assert (status, answer["outcome"]) == (504, "unknown")
    status, answer = system.send_request(
        "entry-1", **system.make_keyed_request("cut", 800)
    )
    assert status == 200
    assert sum(system.count_runs("cut")) == 1
    system.wait_until_settled()


def test_link_cut_before_sending_is_never_reported_as_run(
    system: ProxiedDeployment,
) -> None:
    system.set_link_faults("peers", cut=True)
    status, answer = system.send_request(
        "entry-0", **system.make_request("none", timeout_ms=600)
    )
    system.set_link_faults("peers")
    assert answer["outcome"] in ("not_run", "unknown")
    assert status == {"not_run": 503, "unknown": 504}[answer["outcome"]]
    assert sum(system.count_runs("none")) == 0
    system.wait_until_settled()


def test_same_key_through_two_entries_at_once(system: ProxiedDeployment) -> None:
    pending = [
        system.send_request_in_thread(name, **system.make_keyed_request("both", 200))
        for name in ENTRIES * 2
    ]
    answers = [future.result() for future in pending]
    assert [status for status, _ in answers] == [200] * 4
    assert len({answer["answer"] for _, answer in answers}) == 1
    assert sum(system.count_runs("both")) == 1


def test_sidecar_killed_during_the_run_is_unknown(system: ProxiedDeployment) -> None:
    pending = system.send_request_in_thread(
        "entry-0", **system.make_keyed_request("killed", 5_000)
    )
    system.wait_for_run("killed")
    number = system.count_runs("killed").index(1)
    system.deployment.processes[f"minion-{number}"].kill()
    system.start_sidecar(number)
    status, answer = pending.result()
    assert (status, answer["outcome"]) == (504, "unknown")
    system.wait_until_settled()
    status, answer = system.send_request(
        "entry-1", **system.make_keyed_request("killed", 5_000)
    )
    assert (status, answer["outcome"]) == (504, "unknown")
    assert sum(system.count_runs("killed")) == 1


def test_entry_killed_then_retried_elsewhere(system: ProxiedDeployment) -> None:
    pending = system.send_request_in_thread(
        "entry-0", **system.make_keyed_request("retried", 700)
    )
    system.wait_for_run("retried")
    system.deployment.processes["entry-0"].kill()
    status, _ = system.send_request(
        "entry-1", **system.make_keyed_request("retried", 700)
    )
    assert status == 200
    assert sum(system.count_runs("retried")) == 1
    assert pending.exception() is not None
    system.start_entry(0)


def test_log_outage_refuses_only_keyed_requests(system: ProxiedDeployment) -> None:
    system.deployment.set_faults("log", down=True)

    def is_refused() -> bool:
        _, answer = system.send_request(
            "entry-0", **system.make_keyed_request("outage", timeout_ms=1_000)
        )
        return answer["outcome"] == "not_run"

    wait_until(is_refused, "keyed requests are refused")
    assert system.send_request("entry-0", **system.make_request("plain"))[0] == 200
    assert sum(system.count_runs("outage")) == 0
    system.deployment.set_faults("log")
    wait_until(
        lambda: (
            system.send_request("entry-0", **system.make_keyed_request("after"))[0]
            == 200
        ),
        "keyed requests are answered again",
    )


def test_silent_connections_under_load(system: ProxiedDeployment) -> None:
    load = system.start_load(*ENTRIES, body='{"run_ms": 30, "id": "silent"}')
    system.wait_for_run("silent")
    wait_until(
        lambda: sum(system.count_runs("silent")) > LOAD_RATE_PER_S, "the load runs"
    )
    frozen_connections = 0
    for number in range(MINION_COUNT):
        path = "/v1/freeze"
        _, answer = system.deployment.call(f"peers-{number}", "port", "POST", path, {})
        frozen_connections += answer["frozen"]
    report = system.read_report(load)
    assert frozen_connections > 0
    assert report["outcomes"] == {"answered": LOAD_RATE_PER_S * LOAD_S}
    assert report["worst_ms"] < 2 * REQUEST_SILENCE_MS + MARGIN_MS


def test_leaving_minion_gets_no_new_work_though_messages_are_lost(
    system: ProxiedDeployment,
) -> None:
    pending = [
        system.send_request_in_thread(name, **system.make_request("held", 3_500))
        for name in ENTRIES * 4
    ]
    wait_until(
        lambda: sum(system.count_runs("held")) == len(pending), "the requests run"
    )
    number = max(range(MINION_COUNT), key=system.count_runs("held").__getitem__)
    system.deployment.set_faults("log-proxy", cut=True)
    system.set_link_faults("heartbeats", cut=True)
    process = system.deployment.processes[f"minion-{number}"]
    begin_stop(process)
    for name in ENTRIES * 10:
        assert system.send_request(name, **system.make_request("new"))[0] == 200
    assert system.count_runs("new")[number] == 0
    assert [future.result()[0] for future in pending] == [200] * len(pending)
    assert process.popen.wait(60) == 0
    system.deployment.set_faults("log-proxy")
    system.set_link_faults("heartbeats")
    system.start_sidecar(number)
    system.wait_until_settled()


def test_sidecar_stopped_under_load_drops_no_requests(
    system: ProxiedDeployment,
) -> None:
    load = system.start_load(*ENTRIES, body='{"run_ms": 60, "id": "stop"}')
    wait_until(
        lambda: sum(system.count_runs("stop")) > LOAD_RATE_PER_S, "the load runs"
    )
    assert system.deployment.processes["minion-0"].stop() == 0
    report = system.read_report(load)
    assert report["outcomes"] == {"answered": LOAD_RATE_PER_S * LOAD_S}
    system.start_sidecar(0)
    system.wait_until_settled()


def test_entry_stopped_during_a_log_outage_drops_no_requests(
    system: ProxiedDeployment,
) -> None:
    pending = [
        system.send_request_in_thread("entry-1", **system.make_request("slow", 1_500))
        for _ in range(6)
    ]
    wait_until(
        lambda: sum(system.count_runs("slow")) == len(pending), "the requests run"
    )
    system.deployment.set_faults("log", down=True)
    process = system.deployment.processes["entry-1"]
    process.send(signal.SIGTERM)
    answers = [future.result() for future in pending]
    assert [status for status, _ in answers] == [200] * len(pending)
    assert process.popen.wait(20) == 0
    system.deployment.set_faults("log")
    system.start_entry(1)


def test_second_stop_signal_ends_the_process_immediately(
    system: ProxiedDeployment,
) -> None:
    pending = system.send_request_in_thread(
        "entry-1", **system.make_request("endless", 9_000)
    )
    system.wait_for_run("endless")
    process = system.deployment.processes["entry-1"]
    begin_stop(process)
    process.send(signal.SIGTERM)
    assert process.popen.wait(5) == 1
    assert pending.exception() is not None
    system.start_entry(1)


def begin_stop(process: Process) -> None:
    """Send SIGTERM and wait until the process logs a graceful stop."""
    earlier_count = process.log_text().count(STOP_LOG_TEXT)
    process.send(signal.SIGTERM)
    wait_until(
        lambda: process.log_text().count(STOP_LOG_TEXT) > earlier_count,
        "the graceful stop begins",
    )


def exchange_bytes(
    system: ProxiedDeployment, send: Callable[[socket.socket], None]
) -> bytes:
    """Return all bytes that entry-0 sends before it closes the connection."""
    port = system.deployment.processes["entry-0"].ports["callers"]
    with socket.create_connection(("127.0.0.1", port), timeout=30) as conn:
        send(conn)
        received = b""
        while chunk := conn.recv(65_536):
            received += chunk
    return received


def make_request_head(length_bytes: int) -> bytes:
    lines = ("POST /v1/requests HTTP/1.1", "Host: x", f"Content-Length: {length_bytes}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def test_too_large_body_is_refused_before_it_is_read(system: ProxiedDeployment) -> None:
    answer = exchange_bytes(
        system, lambda conn: conn.sendall(make_request_head(10**9) + b"x" * 100)
    )
    assert answer.startswith(b"HTTP/1.1 413 ")
    assert b"not_run" in answer


def test_slow_sender_is_disconnected(system: ProxiedDeployment) -> None:
    stop = threading.Event()

    def send_slowly(conn: socket.socket) -> None:
        def send_bytes() -> None:
            while not stop.wait(0.5):
                try:
                    conn.sendall(b"x")
                except OSError:
                    return

        conn.sendall(make_request_head(1_000))
        threading.Thread(target=send_bytes, daemon=True).start()

    try:
        answer = exchange_bytes(system, send_slowly)
    except ConnectionResetError:
        answer = b""
    stop.set()
    assert answer == b""


@pytest.mark.parametrize(
    "text",
    [b"{", b"[" * 100_000, b"\xff\xfe", b'{"team": 1}', b'{"team": "design"}', b""],
)
def test_bad_input_is_a_400(system: ProxiedDeployment, text: bytes) -> None:
    answer = exchange_bytes(
        system,
        lambda conn: conn.sendall(
            make_request_head(len(text)).replace(b"Host", b"Connection: close\r\nHost")
            + text
        ),
    )
    assert answer.startswith(b"HTTP/1.1 400 ")


def test_callers_do_not_reach_the_operators_surface(system: ProxiedDeployment) -> None:
    for path in ("/v1/teams", "/v1/settings", "/peer/attempts", "/metrics"):
        status, _ = system.deployment.call("entry-0", "callers", "GET", path)
        assert status == 404
