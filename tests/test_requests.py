"""Callers' requests with real processes, behind fault-injecting proxies.

One deployment serves the whole file: two entries, two minions, a proxy before each
sidecar and before each minion. Each test ends with all faults cleared.
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
MINIONS = 2
ENTRIES = ("entry-0", "entry-1")
SILENCE_BOUND_MS = 1_000
MARGIN_MS = 2_000
LEAVE_BOUND_S = 3
LOAD_RATE = 25
LOAD_SECONDS = 4
BODY_BYTES = 20_000
STOP_TEXT = "A graceful stop begins."


class Fleet:
    """The deployment and what the tests ask of it."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.pool = ThreadPoolExecutor(8)

    def start(self) -> None:
        d = self.deployment
        for name in ("peers", "service"):
            for number in range(MINIONS):
                d.start_standin("proxy", f"{name}-{number}")
        for name in ("beats-0", "beats-1", "log-proxy"):
            d.start_standin("proxy", name)
        for number in range(MINIONS):
            d.start_minion_and_worker(number)
        d.start_log()
        self.aim("log-proxy", d.processes["log"].ports["port"])
        for number, name in enumerate(ENTRIES):
            d.start_entry(name, advertised=self.address(f"beats-{number}"))
        for number in range(MINIONS):
            self.start_sidecar(number)
        for number, name in enumerate(ENTRIES):
            self.aim(f"beats-{number}", d.processes[name].ports["peers"])
        self.prepare()

    def start_sidecar(self, number: int) -> None:
        d = self.deployment
        service = f"minion-{number}-service"
        self.aim(f"service-{number}", d.processes[service].ports["port"])
        process = d.start_sidecar(
            number,
            minion_address=self.address(f"service-{number}"),
            advertised=self.address(f"peers-{number}"),
            log_address=self.address("log-proxy"),
        )
        self.aim(f"peers-{number}", process.ports["peers"])

    def start_entry(self, number: int) -> None:
        name = ENTRIES[number]
        address = self.address(f"beats-{number}")
        process = self.deployment.start_entry(name, advertised=address)
        self.aim(f"beats-{number}", process.ports["peers"])
        self.settle()

    def prepare(self) -> None:
        for zone in self.deployment.site.zones:
            body = {"operator": "ilze", "region": "vidzeme", "in_service": True}
            path = f"/v1/availability-zones/{zone}"
            wait_until(lambda p=path, b=body: self.put(p, b) == 200, f"{zone} is put")
        body = {"operator": "ilze", "guarantees": []}
        assert self.put(f"/v1/teams/{TEAM}", body) == 200
        self.settle()

    def put(self, path: str, body: dict) -> int:
        return self.deployment.call("entry-0", "operators", "PUT", path, body)[0]

    def address(self, proxy: str) -> str:
        return f"127.0.0.1:{self.deployment.processes[proxy].ports['proxy']}"

    def aim(self, proxy: str, port: int) -> None:
        self.deployment.call(proxy, "port", "POST", "/v1/target", {"port": port})

    def settle(self) -> None:
        """Wait until both entries know all minions and each answers."""
        for name in ENTRIES:
            wait_until(lambda n=name: self.knows_all(n), f"{name} knows the minions")
            wait_until(lambda n=name: self.ask(n)[0] == 200, f"{name} answers")

    def knows_all(self, entry: str) -> bool:
        rows = self.deployment.show("/v1/fleet", entry)["minions"]
        shown = json.dumps(rows)
        return len(rows) == MINIONS and "leaving" not in shown.replace(
            '"leaving": false', ""
        )

    def ask(self, entry: str, **fields: object) -> tuple[int, dict]:
        body = {"team": TEAM, "service": self.deployment.site.service, **fields}
        return self.deployment.call(entry, "callers", "POST", "/v1/requests", body)

    def ask_later(self, entry: str, **fields: object) -> Future:
        return self.pool.submit(self.ask, entry, **fields)

    def order(self, run_id: str, run_ms: int = 0, **fields: object) -> dict:
        return {"body": json.dumps({"id": run_id, "run_ms": run_ms}), **fields}

    def charge(self, run_id: str, run_ms: int = 0, **fields: object) -> dict:
        keyed = {"idempotent": False, "key": run_id, "issued_ms": 1, **fields}
        return self.order(run_id, run_ms, **keyed)

    def runs(self, run_id: str) -> list[int]:
        """Return how often each minion ran an order."""
        counts = []
        for number in range(MINIONS):
            name = f"minion-{number}-service"
            _, answer = self.deployment.call(name, "port", "GET", "/v1/runs")
            counts.append(answer["runs"].get(run_id, 0))
        return counts

    def started(self, run_id: str) -> None:
        wait_until(lambda: sum(self.runs(run_id)), f"{run_id} runs")

    def fault(self, kind: str, **faults: object) -> None:
        for number in range(MINIONS):
            self.deployment.set_faults(f"{kind}-{number}", **faults)

    def load(self, *entries: str, body: str = "") -> subprocess.Popen:
        argv = [sys.executable, "-m", "standins.load", "--team", TEAM]
        argv += ["--service", self.deployment.site.service, "--body", body]
        argv += ["--rate", str(LOAD_RATE), "--seconds", str(LOAD_SECONDS)]
        for entry in entries:
            port = self.deployment.processes[entry].ports["callers"]
            argv += ["--callers", f"127.0.0.1:{port}"]
        return subprocess.Popen(argv, stdout=subprocess.PIPE, cwd=ROOT)

    def report(self, load: subprocess.Popen) -> dict:
        output, _ = load.communicate(timeout=60)
        return json.loads(output)


@pytest.fixture(scope="module")
def shared(command: tuple[str, ...]) -> Iterator[Fleet]:
    with Deployment(site=Site(workers=MINIONS), command=command) as deployment:
        fleet = Fleet(deployment)
        fleet.start()
        yield fleet
        fleet.pool.shutdown()


@pytest.fixture
def fleet(shared: Fleet, request: pytest.FixtureRequest) -> Iterator[Fleet]:
    yield shared
    report = getattr(request.node, "report_call", None)
    if report is not None and report.failed:
        print(shared.deployment.timeline())


@pytest.mark.parametrize("link", ["peers", "service"])
def test_truncated_answer_is_never_a_200(fleet: Fleet, link: str) -> None:
    fleet.fault(link, cut_answer_after=150)
    answers = [
        fleet.ask(name, body="x" * BODY_BYTES, timeout_ms=1_500) for name in ENTRIES
    ]
    fleet.fault(link)
    assert [status for status, _ in answers] == [504, 504]
    assert {answer["outcome"] for _, answer in answers} == {"unknown"}
    fleet.settle()


def test_lost_answer_is_asked_for_again_and_runs_once(fleet: Fleet) -> None:
    fleet.fault("peers", lose_answers=1)
    status, answer = fleet.ask("entry-0", **fleet.charge("lost", timeout_ms=8_000))
    fleet.fault("peers")
    assert (status, answer["outcome"]) == (200, "answered")
    assert sum(fleet.runs("lost")) == 1


def test_link_cut_after_sending_is_unknown(fleet: Fleet) -> None:
    asked = fleet.ask_later("entry-0", **fleet.charge("cut", 800, timeout_ms=2_500))
    fleet.started("cut")
    fleet.fault("peers", cut=True)
    status, answer = asked.result()
    fleet.fault("peers")
    assert (status, answer["outcome"]) == (504, "unknown")
    status, answer = fleet.ask("entry-1", **fleet.charge("cut", 800))
    assert status == 200
    assert sum(fleet.runs("cut")) == 1
    fleet.settle()


def test_link_cut_before_sending_is_never_told_as_run(fleet: Fleet) -> None:
    fleet.fault("peers", cut=True)
    status, answer = fleet.ask("entry-0", **fleet.order("none", timeout_ms=600))
    fleet.fault("peers")
    assert answer["outcome"] in ("not_run", "unknown")
    assert status == {"not_run": 503, "unknown": 504}[answer["outcome"]]
    assert sum(fleet.runs("none")) == 0
    fleet.settle()


def test_same_key_through_two_entries_at_once(fleet: Fleet) -> None:
    asked = [fleet.ask_later(name, **fleet.charge("both", 200)) for name in ENTRIES * 2]
    answers = [item.result() for item in asked]
    assert [status for status, _ in answers] == [200] * 4
    assert len({answer["answer"] for _, answer in answers}) == 1
    assert sum(fleet.runs("both")) == 1


def test_sidecar_killed_during_the_run_is_unknown(fleet: Fleet) -> None:
    asked = fleet.ask_later("entry-0", **fleet.charge("killed", 5_000))
    fleet.started("killed")
    number = fleet.runs("killed").index(1)
    fleet.deployment.processes[f"minion-{number}"].kill()
    fleet.start_sidecar(number)
    status, answer = asked.result()
    assert (status, answer["outcome"]) == (504, "unknown")
    fleet.settle()
    status, answer = fleet.ask("entry-1", **fleet.charge("killed", 5_000))
    assert (status, answer["outcome"]) == (504, "unknown")
    assert sum(fleet.runs("killed")) == 1


def test_entry_killed_then_retried_elsewhere(fleet: Fleet) -> None:
    asked = fleet.ask_later("entry-0", **fleet.charge("retried", 700))
    fleet.started("retried")
    fleet.deployment.processes["entry-0"].kill()
    status, _ = fleet.ask("entry-1", **fleet.charge("retried", 700))
    assert status == 200
    assert sum(fleet.runs("retried")) == 1
    assert asked.exception() is not None
    fleet.start_entry(0)


def test_log_outage_refuses_keys_and_serves_the_rest(fleet: Fleet) -> None:
    fleet.deployment.set_faults("log", down=True)

    def refused() -> bool:
        _, answer = fleet.ask("entry-0", **fleet.charge("outage", timeout_ms=1_000))
        return answer["outcome"] == "not_run"

    wait_until(refused, "keys are refused")
    assert fleet.ask("entry-0", **fleet.order("plain"))[0] == 200
    assert sum(fleet.runs("outage")) == 0
    fleet.deployment.set_faults("log")
    wait_until(
        lambda: fleet.ask("entry-0", **fleet.charge("after"))[0] == 200, "keys again"
    )


def test_silent_connections_under_load(fleet: Fleet) -> None:
    load = fleet.load(*ENTRIES, body='{"run_ms": 30, "id": "silent"}')
    fleet.started("silent")
    wait_until(lambda: sum(fleet.runs("silent")) > LOAD_RATE, "the load runs")
    frozen = 0
    for number in range(MINIONS):
        path = "/v1/freeze"
        _, answer = fleet.deployment.call(f"peers-{number}", "port", "POST", path, {})
        frozen += answer["frozen"]
    report = fleet.report(load)
    assert frozen > 0
    assert report["outcomes"] == {"answered": LOAD_RATE * LOAD_SECONDS}
    assert report["worst_ms"] < 2 * SILENCE_BOUND_MS + MARGIN_MS


def test_leaving_minion_gets_no_new_work_though_messages_are_lost(
    fleet: Fleet,
) -> None:
    held = [fleet.ask_later(name, **fleet.order("held", 3_500)) for name in ENTRIES * 4]
    wait_until(lambda: sum(fleet.runs("held")) == len(held), "the requests run")
    number = max(range(MINIONS), key=fleet.runs("held").__getitem__)
    fleet.deployment.set_faults("log-proxy", cut=True)
    fleet.fault("beats", cut=True)
    process = fleet.deployment.processes[f"minion-{number}"]
    begin_stop(process)
    for name in ENTRIES * 10:
        assert fleet.ask(name, **fleet.order("new"))[0] == 200
    assert fleet.runs("new")[number] == 0
    assert [item.result()[0] for item in held] == [200] * len(held)
    assert process.popen.wait(60) == 0
    fleet.deployment.set_faults("log-proxy")
    fleet.fault("beats")
    fleet.start_sidecar(number)
    fleet.settle()


def test_sidecar_stops_under_load_and_cuts_nothing(fleet: Fleet) -> None:
    load = fleet.load(*ENTRIES, body='{"run_ms": 60, "id": "stop"}')
    wait_until(lambda: sum(fleet.runs("stop")) > LOAD_RATE, "the load runs")
    assert fleet.deployment.processes["minion-0"].stop() == 0
    report = fleet.report(load)
    assert report["outcomes"] == {"answered": LOAD_RATE * LOAD_SECONDS}
    fleet.start_sidecar(0)
    fleet.settle()


def test_entry_stops_during_a_log_outage_and_cuts_nothing(fleet: Fleet) -> None:
    asked = [fleet.ask_later("entry-1", **fleet.order("slow", 1_500)) for _ in range(6)]
    wait_until(lambda: sum(fleet.runs("slow")) == len(asked), "the requests run")
    fleet.deployment.set_faults("log", down=True)
    process = fleet.deployment.processes["entry-1"]
    process.send(signal.SIGTERM)
    answers = [item.result() for item in asked]
    assert [status for status, _ in answers] == [200] * len(asked)
    assert process.popen.wait(20) == 0
    fleet.deployment.set_faults("log")
    fleet.start_entry(1)


def test_second_stop_signal_ends_at_once(fleet: Fleet) -> None:
    asked = fleet.ask_later("entry-1", **fleet.order("endless", 9_000))
    fleet.started("endless")
    process = fleet.deployment.processes["entry-1"]
    begin_stop(process)
    process.send(signal.SIGTERM)
    assert process.popen.wait(5) == 1
    assert asked.exception() is not None
    fleet.start_entry(1)


def begin_stop(process: Process) -> None:
    """Send the first signal and wait until the process has taken it."""
    before = process.log_text().count(STOP_TEXT)
    process.send(signal.SIGTERM)
    wait_until(lambda: process.log_text().count(STOP_TEXT) > before, "a stop begins")


def raw_exchange(fleet: Fleet, send: Callable[[socket.socket], None]) -> bytes:
    port = fleet.deployment.processes["entry-0"].ports["callers"]
    with socket.create_connection(("127.0.0.1", port), timeout=30) as conn:
        send(conn)
        received = b""
        while chunk := conn.recv(65_536):
            received += chunk
    return received


def head(length: int) -> bytes:
    lines = ("POST /v1/requests HTTP/1.1", "Host: x", f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def test_too_large_body_is_refused_before_it_is_read(fleet: Fleet) -> None:
    answer = raw_exchange(fleet, lambda conn: conn.sendall(head(10**9) + b"x" * 100))
    assert answer.startswith(b"HTTP/1.1 413 ")
    assert b"not_run" in answer


def test_slow_sender_is_cut_off(fleet: Fleet) -> None:
    stop = threading.Event()

    def drip(conn: socket.socket) -> None:
        def run() -> None:
            while not stop.wait(0.5):
                try:
                    conn.sendall(b"x")
                except OSError:
                    return

        conn.sendall(head(1_000))
        threading.Thread(target=run, daemon=True).start()

    try:
        answer = raw_exchange(fleet, drip)
    except ConnectionResetError:
        answer = b""
    stop.set()
    assert answer == b""


@pytest.mark.parametrize(
    "text",
    [b"{", b"[" * 100_000, b"\xff\xfe", b'{"team": 1}', b'{"team": "design"}', b""],
)
def test_bad_input_is_a_400(fleet: Fleet, text: bytes) -> None:
    answer = raw_exchange(
        fleet,
        lambda conn: conn.sendall(
            head(len(text)).replace(b"Host", b"Connection: close\r\nHost") + text
        ),
    )
    assert answer.startswith(b"HTTP/1.1 400 ")


def test_callers_do_not_reach_the_operators_surface(fleet: Fleet) -> None:
    for path in ("/v1/teams", "/v1/settings", "/peer/attempts", "/metrics"):
        status, _ = fleet.deployment.call("entry-0", "callers", "GET", path)
        assert status == 404
