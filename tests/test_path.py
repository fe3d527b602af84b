"""End-to-end tests without faults: the executable with stand-ins around it."""

import json
import threading

from standins.processes import Deployment, wait_until

MINION_COUNT = 3
REGION = "vidzeme"
TEAM = "design"


def start_deployment(deployment: Deployment, minion_count: int = MINION_COUNT) -> None:
    deployment.start_log()
    deployment.start_entry("entry-0")
    deployment.start_entry("entry-1")
    deployment.start_minions(minion_count)
    wait_until(
        lambda: len(deployment.show("/v1/fleet")["minions"]) == minion_count,
        "all minions are in the fleet view",
    )
    wait_until(
        lambda: len(deployment.show("/v1/fleet")["entries"]) == 2,
        "both entries are in the fleet view",
    )
    for zone in deployment.site.zones:
        put_zone_in_service(deployment, zone)
    body = {"operator": "ilze", "guarantees": [{"members": 2, "accelerators": 4}]}
    status, _ = deployment.call(
        "entry-0", "operators", "PUT", f"/v1/teams/{TEAM}", body
    )
    assert status == 200


def put_zone_in_service(deployment: Deployment, zone: str) -> None:
    body = {"operator": "ilze", "region": REGION, "in_service": True}
    path = f"/v1/availability-zones/{zone}"
    status, _ = deployment.call("entry-0", "operators", "PUT", path, body)
    assert status == 200


def send_request(
    deployment: Deployment, entry: str, **fields: object
) -> tuple[int, dict]:
    body = {"team": TEAM, "service": deployment.site.service, **fields}
    return deployment.call(entry, "callers", "POST", "/v1/requests", body)


def submit_job(deployment: Deployment, name: str, **fields: object) -> None:
    body = {"operator": "ilze", "name": name, "team": TEAM, **fields}
    status, answer = deployment.call("entry-0", "operators", "POST", "/v1/jobs", body)
    assert status == 200, answer


def get_job_state(deployment: Deployment, name: str, entry: str = "entry-0") -> str:
    return deployment.show(f"/v1/jobs/{name}", entry)["job"]["state"]


def count_starts(
    deployment: Deployment, minion_count: int = MINION_COUNT
) -> dict[str, int]:
    """Return how many times each task was started, by task identifier."""
    counts = {}
    for number in range(minion_count):
        _, answer = deployment.call(f"worker-{number}", "port", "GET", "/v1/history")
        counts.update({row["task_id"]: row["starts"] for row in answer["tasks"]})
    return counts


def test_request_is_answered_through_either_entry(deployment: Deployment) -> None:
    start_deployment(deployment)
    for entry in ("entry-0", "entry-1"):
        wait_until(
            lambda entry=entry: send_request(deployment, entry, body=entry)[0] == 200,
            f"{entry} answers",
        )
        status, answer = send_request(deployment, entry, body=f"quote {entry}")
        assert status == 200
        assert answer["outcome"] == "answered"
        assert json.loads(answer["answer"])["echo"] == f"quote {entry}"


def test_keyed_request_runs_once_through_two_entries(deployment: Deployment) -> None:
    start_deployment(deployment)
    keyed_request = {"body": '{"id": "order-7"}', "idempotent": False, "key": "order-7"}
    keyed_request["issued_ms"] = 1
    answers = [
        send_request(deployment, entry, **keyed_request)
        for entry in ("entry-0", "entry-1")
    ]
    assert [status for status, _ in answers] == [200, 200]
    assert answers[0][1]["answer"] == answers[1][1]["answer"]
    runs = 0
    for number in range(MINION_COUNT):
        _, answer = deployment.call(
            f"minion-{number}-service", "port", "GET", "/v1/runs"
        )
        runs += answer["runs"].get("order-7", 0)
    assert runs == 1


def test_gang_runs_once_and_is_explained(deployment: Deployment) -> None:
    start_deployment(deployment)
    payload = json.dumps({"run_ms": 200, "result": "plan"})
    submit_job(deployment, "planning", members=2, accelerators=4, payload=payload)
    wait_until(
        lambda: get_job_state(deployment, "planning") == "done", "the job is done"
    )
    completed = deployment.run("explain", "job", "planning")
    assert completed.returncode == 0
    assert "job.lease_ms = 15000 from default" in completed.stdout
    assert count_starts(deployment) == {"planning/1/0": 1, "planning/1/1": 1}


def has_whole_gang(deployment: Deployment) -> bool:
    """Return whether both members of one run of the gang have started, each once.

    A first run may have lost a member before that, on a busy machine.
    """
    counts = count_starts(deployment)
    runs = {task.rpartition("/")[0] for task in counts}
    return any(counts.get(f"{run}/0") == counts.get(f"{run}/1") == 1 for run in runs)


def test_state_is_rebuilt_after_all_processes_were_killed(
    deployment: Deployment,
) -> None:
    start_deployment(deployment)
    payload = json.dumps({"run_ms": 1_500, "result": "plan"})
    submit_job(deployment, "planning", members=2, accelerators=8, payload=payload)
    wait_until(lambda: has_whole_gang(deployment), "both members have started")
    system_processes = [
        "entry-0",
        "entry-1",
        *(f"minion-{i}" for i in range(MINION_COUNT)),
    ]
    for name in system_processes:
        deployment.processes[name].kill()
    deployment.start_entry("entry-0")
    deployment.start_entry("entry-1")
    for number in range(MINION_COUNT):
        deployment.start_sidecar(number)
    wait_until(
        lambda: "job" in deployment.show("/v1/jobs/planning"),
        "entry-0 has restored the job",
    )
    for entry in ("entry-0", "entry-1"):
        wait_until(
            lambda entry=entry: (
                deployment.show("/v1/jobs/planning", entry).get("job", {}).get("state")
                == "done"
            ),
            f"the job is done at {entry}",
        )
    assert deployment.show(f"/v1/teams/{TEAM}")["guarantees"]
    assert deployment.show("/v1/jobs/planning", "entry-1")["job"]["result"] == "plan"


def test_leaving_sidecar_finishes_its_requests(deployment: Deployment) -> None:
    start_deployment(deployment, minion_count=1)
    body = json.dumps({"run_ms": 1_000, "id": "slow"})
    wait_until(
        lambda: send_request(deployment, "entry-0")[0] == 200,
        "the minion answers requests",
    )
    argv = ["--team", TEAM, "--service", deployment.site.service, "--body", body]

    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(deployment.request(*argv)), daemon=True
    )
    thread.start()
    wait_until(
        lambda: deployment.call("minion-0-service", "port", "GET", "/v1/runs")[1][
            "runs"
        ].get("slow"),
        "the request runs",
    )
    assert deployment.processes["minion-0"].stop() == 0
    thread.join()
    assert answers[0].returncode == 0
    status, answer = send_request(deployment, "entry-0", timeout_ms=500)
    assert (status, answer["outcome"]) == (503, "not_run")
