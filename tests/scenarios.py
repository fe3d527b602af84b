"""Helpers shared by the tests of gangs, reclaims, recovery and zones."""

import json
import signal
import time
from collections import defaultdict

from standins.processes import Deployment, Site, wait_until

LEASE_MS = 2_000
ORDER_TIMEOUT_MS = 500
TIMER_SLACK_MS = 500
ZONE_OUT_LIMIT_MS = 3_000
TEAM = "design"
OPERATOR = "ilze"
ENTRIES = ("entry-0", "entry-1")
FINAL_STATES = ("done", "failed", "cancelled", "refused")
# Shorter than the defaults, so that timeouts expire during a test.
SETTINGS = {
    "job.lease_ms": LEASE_MS,
    "job.poll_ms": 100,
    "job.worker_timeout_ms": ORDER_TIMEOUT_MS,
    "job.reserve_timeout_ms": 1_500,
    "job.checkpoint_grace_ms": 200,
    "job.isolation_ms": 4_000,
    "job.lost_ms": 2_000,
    "heartbeat.period_ms": 300,
    "heartbeat.full_ms": 1_000,
    "lease.ping_ms": 200,
    "lease.lost_ms": 1_000,
    "operator.timeout_ms": 2_000,
}
MULTI_ZONE_SITE = Site(workers_per_rack=1)


def wall_ms() -> int:
    """Return the Unix time in ms."""
    return time.time_ns() // 1_000_000


def list_worker_numbers(deployment: Deployment) -> list[int]:
    """Return the numbers of all workers started so far."""
    return [
        int(name.removeprefix("worker-"))
        for name in deployment.processes
        if name.startswith("worker-")
    ]


def start_deployment(deployment: Deployment, workers: int = 3) -> None:
    """Start a log, two configured entries and some minions."""
    start_log_and_entries(deployment)
    deployment.start_minions(workers)
    wait_for_minions(deployment)


def start_log_and_entries(deployment: Deployment, zone: str = "") -> None:
    """Start a log and two entries, then configure zones, settings and a team.

    Sidecars that start later apply these settings from their first heartbeat.
    """
    deployment.start_log()
    for name in ENTRIES:
        deployment.start_entry(name, zone)
    for zone in deployment.site.zones:
        set_zone(deployment, zone, True)
    for key, value in SETTINGS.items():
        body = {"operator": OPERATOR, "key": key, "value": value}
        apply_change(deployment, "PUT", "/v1/settings", body)
    shape = {"members": 2, "accelerators": 8}
    body = {"operator": OPERATOR, "guarantees": [shape]}
    apply_change(deployment, "PUT", f"/v1/teams/{TEAM}", body)


def wait_for_minions(deployment: Deployment) -> None:
    """Wait until the entries list the minions of all started workers."""
    count = len(list_worker_numbers(deployment))
    wait_until(
        lambda: len(deployment.show("/v1/fleet").get("minions", ())) == count,
        "all minions are in the fleet view",
    )


def apply_change(
    deployment: Deployment, method: str, path: str, body: dict, entry: str = "entry-0"
) -> None:
    """Send an operator's change repeatedly until it is accepted."""

    def is_accepted() -> bool:
        status, answer = deployment.call(entry, "operators", method, path, body)
        assert status in (200, 409, 503, 504), answer
        # After a try that was accepted but not confirmed, the next one is a conflict.
        return status == 200 or (status == 409 and "already" in answer["reason"])

    wait_until(is_accepted, f"{method} {path}")


def set_zone(
    deployment: Deployment, zone: str, in_service: bool, entry: str = "entry-0"
) -> None:
    """Put an availability zone into service or take it out of service."""
    body = {
        "operator": OPERATOR,
        "region": deployment.site.region,
        "in_service": in_service,
    }
    apply_change(deployment, "PUT", f"/v1/availability-zones/{zone}", body, entry)


def submit_job(
    deployment: Deployment,
    name: str,
    members: int = 2,
    accelerators: int = 8,
    run_ms: int = 300,
    entry: str = "entry-0",
) -> None:
    """Submit a job; each member runs for `run_ms` and returns the job's name."""
    payload = json.dumps({"run_ms": run_ms, "result": name})
    body = {
        "operator": OPERATOR,
        "name": name,
        "team": TEAM,
        "members": members,
        "accelerators": accelerators,
        "payload": payload,
    }
    apply_change(deployment, "POST", "/v1/jobs", body, entry)


def get_job(deployment: Deployment, name: str, entry: str = "entry-0") -> dict:
    """Return an entry's view of a job; empty if it does not know the job."""
    return deployment.show(f"/v1/jobs/{name}", entry).get("job", {})


def wait_until_done(deployment: Deployment, name: str, entry: str = "entry-0") -> None:
    """Wait until a job ends; check that it is done and has its own result."""
    wait_until(
        lambda: get_job(deployment, name, entry).get("state") in FINAL_STATES,
        f"{name} has ended",
    )
    row = get_job(deployment, name, entry)
    assert (row["state"], row["result"]) == ("done", name), row


def collect_task_history(deployment: Deployment) -> dict[str, dict]:
    """Return the task records of all running workers, except paused ones, by task."""
    rows = {}
    for number in list_worker_numbers(deployment):
        process = deployment.processes[f"worker-{number}"]
        if process.popen.poll() is not None or process.name in list_paused_processes(
            deployment
        ):
            continue
        _, answer = deployment.call(process.name, "port", "GET", "/v1/history")
        for row in answer["tasks"]:
            rows[row["task_id"]] = {**row, "worker": number}
    return rows


def list_paused_processes(deployment: Deployment) -> set[str]:
    """Return the names of the paused processes."""
    return {
        name for name, process in deployment.processes.items() if is_paused(process)
    }


def is_paused(process: object) -> bool:
    """Return whether a process is paused."""
    return getattr(process, "paused", False)


def pause(deployment: Deployment, name: str) -> None:
    """Pause a process with SIGSTOP."""
    process = deployment.processes[name]
    process.paused = True
    process.send(signal.SIGSTOP)


def resume(deployment: Deployment, name: str) -> None:
    """Resume a paused process."""
    process = deployment.processes[name]
    process.paused = False
    process.send(signal.SIGCONT)


def restore_machine(deployment: Deployment, number: int) -> None:
    """Resume or restart the worker and the sidecar of one machine."""
    for name in (f"worker-{number}", f"minion-{number}"):
        if is_paused(deployment.processes[name]):
            resume(deployment, name)
    worker = deployment.processes[f"worker-{number}"]
    if worker.popen.poll() is not None:
        deployment.start_standin("worker", worker.name, worker.ports["port"])
    if deployment.processes[f"minion-{number}"].popen.poll() is not None:
        deployment.start_sidecar(number)


def wait_until_gang_ended(
    deployment: Deployment, key: str, entry: str = "entry-0"
) -> None:
    """Wait until a gang no longer holds accelerators."""
    name = key.rpartition("/")[0]

    def has_ended() -> bool:
        gangs = deployment.show(f"/v1/jobs/{name}", entry).get("gangs")
        return gangs is not None and key not in [gang["key"] for gang in gangs]

    wait_until(has_ended, f"gang {key} has ended")


def list_running_members(deployment: Deployment, name: str) -> list[dict]:
    """Return the task records of the running members of a job."""
    rows = collect_task_history(deployment).values()
    prefix = f"{name}/"
    return [
        row
        for row in rows
        if row["task_id"].startswith(prefix) and row["state"] == "running"
    ]


def wait_until_running(
    deployment: Deployment, name: str, members: int = 2
) -> list[dict]:
    """Wait until all members of a gang run; return their task records."""
    wait_until(
        lambda: len(list_running_members(deployment, name)) == members, f"{name} runs"
    )
    return list_running_members(deployment, name)


def get_lease_holder(deployment: Deployment, entry: str = "entry-0") -> str:
    """Wait until an entry holds the scheduling lease; return its name."""
    return wait_until(
        lambda: deployment.show("/v1/status", entry)["lease"]["holder"],
        "an entry holds the scheduling lease",
    )


def other_entry(name: str) -> str:
    """Return the name of the other of the two entries."""
    return next(entry for entry in ENTRIES if entry != name)


def group_members_by_gang(rows: dict[str, dict]) -> dict[str, dict[int, dict]]:
    """Return task records by gang key and member number."""
    gangs = defaultdict(dict)
    for task_id, row in rows.items():
        key, _, member = task_id.rpartition("/")
        gangs[key][int(member)] = row
    return gangs


def check_partial_runs(
    deployment: Deployment, members: int = 2, lost_wall_ms: int = 0
) -> None:
    """Check that no gang ran with only some of its members for longer than a lease.

    The limit also allows for the timeout of an order to a worker and for late timers.
    `lost_wall_ms` is the Unix time, in ms, at which a worker was lost together with its
    history; 0 if none was.
    """
    limit_ms = LEASE_MS + ORDER_TIMEOUT_MS + TIMER_SLACK_MS
    for key, rows in group_members_by_gang(collect_task_history(deployment)).items():
        started = [row for row in rows.values() if row["starts"]]
        if not started or all_finished(started, members):
            continue
        ends_ms = [row["ended_wall_ms"] or wall_ms() for row in started]
        early_ends_ms = [
            row["ended_wall_ms"] for row in started if row["state"] != "finished"
        ]
        # The other members never started, or their records were lost with a worker.
        if len(started) < members:
            last_start_ms = max(row["started_wall_ms"] for row in started)
            early_ends_ms.append(max(lost_wall_ms, last_start_ms))
        early_ends_ms = [end for end in early_ends_ms if end]
        partial_ms = max(ends_ms) - min(early_ends_ms, default=max(ends_ms))
        assert partial_ms <= limit_ms, (key, rows)


def all_finished(rows: list[dict], members: int) -> bool:
    """Return whether all members of a gang have finished."""
    return len(rows) == members and all(row["state"] == "finished" for row in rows)


def check_ran_once(deployment: Deployment, name: str, members: int) -> None:
    """Check that exactly one gang of a job finished and no task started twice."""
    rows = collect_task_history(deployment)
    assert all(row["starts"] <= 1 for row in rows.values()), rows
    gangs = group_members_by_gang(rows)
    finished_gangs = [
        key
        for key, gang in gangs.items()
        if key.startswith(f"{name}/") and all_finished(list(gang.values()), members)
    ]
    assert len(finished_gangs) == 1, gangs


def check_no_overlap(deployment: Deployment, name: str) -> None:
    """Check that no two gangs of a job ran at the same time."""
    run_spans = []
    for key, gang in group_members_by_gang(collect_task_history(deployment)).items():
        started = [row for row in gang.values() if row["starts"]]
        if key.startswith(f"{name}/") and started:
            start_ms = min(row["started_wall_ms"] for row in started)
            end_ms = max(row["ended_wall_ms"] or wall_ms() for row in started)
            run_spans.append((start_ms, end_ms, key))
    run_spans.sort()
    for (_, end_ms, first_key), (start_ms, _, second_key) in zip(
        run_spans, run_spans[1:], strict=False
    ):
        assert end_ms <= start_ms, (first_key, second_key)
