"""Measures the start latency of urgent work with real processes and default settings.

``python -m standins.urgent`` fills three workers with overnight work of one team, then
submits an interactive gang within the guarantee of another team. It measures the time
from the submission to the start of the last member at its worker, several times, and
prints a table. All processes share the clock of one machine.
"""

import argparse
import json
import statistics
import sys

from kingcuppost.utils import SystemClock
from standins.load import percentile
from standins.processes import Deployment, Site, wait_until
from standins.slopes import markdown

__all__ = ["main"]

WORKER_COUNT = 3
ROUND_COUNT = 20
GUARANTEED_TEAM = "owner"
BORROWING_TEAM = "guest"
LONG_RUN_MS = 600_000
SHORT_RUN_MS = 200
FILL_TIMEOUT_S = 180
MEMBERS = 2
ACCELERATORS = 8
STATUS_OK = 200


def put(deployment: Deployment, path: str, **fields: object) -> None:
    """Send a change as an operator.

    Raises
    ------
    RuntimeError
        If the entry refuses it.
    """
    body = {"operator": "measure", **fields}
    status, answer = deployment.call("entry-0", "operators", "PUT", path, body)
    if status != STATUS_OK:
        raise RuntimeError(f"{path} was refused: {answer}")


def submit(
    deployment: Deployment, name: str, team: str, run_ms: int, **fields: object
) -> None:
    """Submit a job.

    Raises
    ------
    RuntimeError
        If the entry refuses it.
    """
    payload = json.dumps({"run_ms": run_ms, "result": name})
    body = {
        "operator": "measure",
        "name": name,
        "team": team,
        "accelerators": ACCELERATORS,
        "payload": payload,
        **fields,
    }
    status, answer = deployment.call("entry-0", "operators", "POST", "/v1/jobs", body)
    if status != STATUS_OK:
        raise RuntimeError(f"{name} was refused: {answer}")


def list_tasks(deployment: Deployment) -> list[dict]:
    """Return the history of all tasks from all workers."""
    rows: list[dict] = []
    for number in range(WORKER_COUNT):
        path = "/v1/history"
        _, answer = deployment.call(f"worker-{number}", "port", "GET", path)
        rows.extend(answer["tasks"])
    return rows


def prepare(deployment: Deployment) -> None:
    """Start the deployment, create both teams and fill all workers with guest jobs."""
    deployment.start_log()
    deployment.start_entry("entry-0")
    deployment.start_entry("entry-1")
    deployment.start_minions(WORKER_COUNT)
    wait_until(
        lambda: len(deployment.show("/v1/fleet").get("minions", ())) == WORKER_COUNT,
        "minions announced",
    )
    for zone in deployment.site.zones:
        path = f"/v1/availability-zones/{zone}"
        put(deployment, path, region=deployment.site.region, in_service=True)
    shape = {"members": MEMBERS, "accelerators": ACCELERATORS}
    put(deployment, f"/v1/teams/{GUARANTEED_TEAM}", guarantees=[shape])
    put(deployment, f"/v1/teams/{BORROWING_TEAM}", guarantees=[])
    for number in range(WORKER_COUNT):
        submit(deployment, f"guest-{number}", BORROWING_TEAM, LONG_RUN_MS)


def are_workers_busy(deployment: Deployment) -> bool:
    """Return whether every worker is full.

    A task uses all accelerators of a worker, so a worker runs at most one.
    """
    running = [row for row in list_tasks(deployment) if row["state"] == "running"]
    return len(running) == WORKER_COUNT


def measure(deployment: Deployment, number: int) -> int:
    """Run an urgent gang and return its start latency, in ms."""
    wait_until(
        lambda: are_workers_busy(deployment),
        "guest jobs run on all workers",
        FILL_TIMEOUT_S,
    )
    name = f"urgent-{number}"
    begin_ms = SystemClock().wall_ms()
    submit(
        deployment,
        name,
        GUARANTEED_TEAM,
        SHORT_RUN_MS,
        members=MEMBERS,
        urgency="interactive",
    )
    wait_until(
        lambda: deployment.show(f"/v1/jobs/{name}")["job"]["state"] == "done",
        f"{name} is done",
    )
    started = [
        row["started_wall_ms"]
        for row in list_tasks(deployment)
        if row["task_id"].startswith(f"{name}/") and row["starts"]
    ]
    return max(started) - begin_ms


def main() -> int:
    """Run all rounds and print the table."""
    parser = argparse.ArgumentParser(prog="standins.urgent")
    parser.add_argument("--rounds", type=int, default=ROUND_COUNT)
    args = parser.parse_args()
    site = Site(workers=WORKER_COUNT, workers_per_rack=WORKER_COUNT)
    with Deployment(site=site) as deployment:
        prepare(deployment)
        times_ms = [measure(deployment, number) for number in range(args.rounds)]
    row = [
        len(times_ms),
        round(statistics.median(times_ms)),
        round(percentile([float(item) for item in times_ms], 0.99)),
        max(times_ms),
    ]
    print(markdown(["rounds", "p50, ms", "p99, ms", "max, ms"], [row]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
