"""Operators' commands: time line, explanations and rejection of invalid input."""

import json
import random
import re
import urllib.error
import urllib.request

from kingcuppost.edges.routes import routes
from standins.processes import Deployment, wait_until
from tests.test_path import (
    TEAM,
    get_job_state,
    send_request,
    start_deployment,
    submit_job,
)


def read_timeline(deployment: Deployment, *filters: str) -> tuple[list[dict], str]:
    """Return the events and the standard error of the command `timeline`."""
    completed = deployment.run("timeline", "--json", *filters)
    assert completed.returncode == 0, completed.stderr
    return [
        json.loads(line) for line in completed.stdout.splitlines()
    ], completed.stderr


def test_timeline_merges_all_processes_and_names_unreachable_ones(
    deployment: Deployment,
) -> None:
    start_deployment(deployment, minion_count=2)
    keyed_request = {
        "body": '{"id": "o"}',
        "idempotent": False,
        "key": "o",
        "issued_ms": 1,
    }
    assert send_request(deployment, "entry-0", **keyed_request)[0] == 200
    payload = json.dumps({"run_ms": 100, "result": "plan"})
    submit_job(deployment, "planning", members=2, accelerators=4, payload=payload)
    wait_until(
        lambda: get_job_state(deployment, "planning") == "done", "the job is done"
    )
    rows, errors = read_timeline(deployment)
    assert errors == ""
    names = {row["process"] for row in rows}
    assert names == {"entry-0", "entry-1", "minion-0", "minion-1"}
    steps = [row["step"] for row in rows if row["job"] == "planning"]
    assert steps.index("propose.gang_release") < steps.index("member.start")
    assert steps.index("member.start") < steps.index("fold.gang_finish")
    send_positions = {
        row["sends"]: position for position, row in enumerate(rows) if row["sends"]
    }
    for position, row in enumerate(rows):
        assert send_positions.get(row["receives"], -1) < position
    rows, _ = read_timeline(deployment, "--request", f"{TEAM}/o")
    assert {"request.admit", "request.send"} <= {row["step"] for row in rows}
    deployment.processes["minion-1"].kill()
    port = deployment.processes["minion-1"].ports["operators"]
    _, errors = read_timeline(deployment)
    assert f"127.0.0.1:{port}" in errors


def test_request_is_explained_by_any_entry_after_a_restart(
    deployment: Deployment,
) -> None:
    start_deployment(deployment, minion_count=2)
    completed = deployment.run(
        "settings", "set", "request.attempts", "2", "--path", f"teams/{TEAM}"
    )
    assert completed.returncode == 0
    keyed_request = {
        "body": '{"id": "o"}',
        "idempotent": False,
        "key": "o",
        "issued_ms": 1,
    }
    assert send_request(deployment, "entry-0", **keyed_request)[0] == 200
    explain_arguments = ("explain", "request", f"{TEAM}/o")
    wait_until(
        lambda: (
            "answered" in deployment.run(*explain_arguments, entry="entry-1").stdout
        ),
        "the outcome is in the log",
    )
    for name in ("entry-0", "entry-1"):
        deployment.processes[name].kill()
        deployment.start_entry(name)
    for name in ("entry-0", "entry-1"):
        wait_until(
            lambda name=name: (
                deployment.show("/v1/jobs", name).get("rows") is not None
                and deployment.show("/v1/status", name)["fresh_age_ms"] >= 0
            ),
            "the entry has restored its state",
        )
        completed = deployment.run(*explain_arguments, entry=name)
        assert completed.returncode == 0, completed.stderr
        assert "answered" in completed.stdout
        assert f"request.attempts = 2 from teams/{TEAM}" in completed.stdout


def test_invalid_command_prints_one_line_and_changes_nothing(
    deployment: Deployment,
) -> None:
    start_deployment(deployment, minion_count=1)
    offset = deployment.show("/v1/status")["folded_offset"]
    for argv in (
        ("team", "put", "Bad Name!", "--guarantee", "2x4"),
        ("team", "put", "design", "--guarantee", "0x4"),
        ("availability-zone", "out", "nowhere"),
        ("settings", "set", "job.lease_ms", "soon"),
        ("settings", "set", "job.no_such_key", "1"),
        ("settings", "set", "job.lease_ms", "4000", "--path", "teams/nobody"),
        ("job", "submit", "--team", "nobody"),
        ("job", "show", "nothing"),
    ):
        completed = deployment.run(*argv)
        assert completed.returncode == 2, (argv, completed.stdout, completed.stderr)
        assert len(completed.stderr.splitlines()) == 1, completed.stderr
    assert deployment.show("/v1/status")["folded_offset"] == offset


def send_bytes(port: int, method: str, path: str, body: bytes) -> tuple[int, bytes]:
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", body, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=60) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.read()


def make_bad_bodies(rng: random.Random) -> list[bytes]:
    random_bytes = rng.randbytes(rng.randrange(1, 60))
    wrong_values = {
        "operator": rng.choice([1, None, "", "x" * 99]),
        "value": [random_bytes.hex()],
    }
    return [
        random_bytes,
        b"",
        b"[" * 2_000,
        b'{"operator": "x", "in_service": "perhaps"}',
        b'{"operator": "x", "key": "job.lease_ms", "value": NaN}',
        b'{"operator": "x", "key": "job.lease_ms", "value": 1e999}',
        b'{"operator": "x", "key": "job.lease_ms", "value": ' + b"9" * 400 + b"}",
        json.dumps(wrong_values).encode(),
    ]


def test_bad_input_is_refused_and_changes_nothing(deployment: Deployment) -> None:
    start_deployment(deployment, minion_count=1)
    entry = deployment.processes["entry-0"]
    offset = deployment.show("/v1/status")["folded_offset"]
    rng = random.Random(6)
    for route, _ in routes:
        if route.method == "GET":
            continue
        path = re.sub(r"\{\w+\}", "%00x%F0", route.path)
        for body in make_bad_bodies(rng):
            port = entry.ports[route.surface]
            status, answer = send_bytes(port, route.method, path, body)
            assert 400 <= status < 500, (route, body, status, answer)
            assert json.loads(answer)["outcome"] == "not_run"
    assert entry.popen.poll() is None
    assert deployment.show("/v1/status")["folded_offset"] == offset
