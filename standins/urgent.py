"""Measure the start of urgent work with real processes and default settings.

``python -m standins.urgent`` lends every accelerator of three workers to overnight
work of another team, submits an interactive gang within its team's guarantee, and
takes the time from the submission to the start of its last member as the workers saw
it. It does so several times and prints a table. Clocks are those of one machine.
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

WORKERS = 3
ROUNDS = 20
OWNER = "owner"
GUEST = "guest"
LONG_RUN_MS = 600_000
SHORT_RUN_MS = 200
MEMBERS = 2
ACCELERATORS = 8
STATUS_OK = 200


def put(deployment: Deployment, path: str, **fields: object) -> None:
    """Make an operator's change."""
    body = {"operator": "measure", **fields}
    status, answer = deployment.call("entry-0", "operators", "PUT", path, body)
    if status != STATUS_OK:
        raise RuntimeError(f"{path} was refused: {answer}")


def submit(
    deployment: Deployment, name: str, team: str, run_ms: int, **fields: object
) -> None:
    """Submit a job."""
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
    """Return what all workers know of every task."""
    rows: list[dict] = []
    for number in range(WORKERS):
        path = "/v1/history"
        _, answer = deployment.call(f"worker-{number}", "port", "GET", path)
        rows.extend(answer["tasks"])
    return rows


def prepare(deployment: Deployment) -> None:
    """Start everything, create both teams, and lend all accelerators."""
    deployment.start_log()
    deployment.start_entry("entry-0")
    deployment.start_entry("entry-1")
    deployment.start_minions(WORKERS)
    wait_until(
        lambda: len(deployment.show("/v1/fleet").get("minions", ())) == WORKERS,
        "minions announced",
    )
    for zone in deployment.site.zones:
        path = f"/v1/availability-zones/{zone}"
        put(deployment, path, region=deployment.site.region, in_service=True)
    shape = {"members": MEMBERS, "accelerators": ACCELERATORS}
    put(deployment, f"/v1/teams/{OWNER}", guarantees=[shape])
    put(deployment, f"/v1/teams/{GUEST}", guarantees=[])
    for number in range(WORKERS):
        submit(deployment, f"guest-{number}", GUEST, LONG_RUN_MS)


def is_lent(deployment: Deployment) -> bool:
    """Return whether overnight work runs on every worker."""
    running = [row for row in list_tasks(deployment) if row["state"] == "running"]
    return len(running) == WORKERS


def measure(deployment: Deployment, number: int) -> int:
    """Run one urgent gang and return the time to its start, in ms."""
    wait_until(lambda: is_lent(deployment), "all workers are lent", 180)
    name = f"urgent-{number}"
    begin_ms = SystemClock().wall_ms()
    submit(
        deployment,
        name,
        OWNER,
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
    """Measure and print."""
    parser = argparse.ArgumentParser(prog="standins.urgent")
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    args = parser.parse_args()
    site = Site(workers=WORKERS, workers_per_rack=WORKERS)
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
