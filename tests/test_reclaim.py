"""A team gets its guaranteed shape back after other teams borrowed it."""

import json

from standins.processes import Deployment, wait_until
from tests.scenarios import (
    MULTI_ZONE_SITE,
    OPERATOR,
    ZONE_OUT_LIMIT_MS,
    apply_change,
    check_partial_runs,
    check_ran_once,
    collect_task_history,
    get_lease_holder,
    list_worker_numbers,
    other_entry,
    set_zone,
    start_deployment,
    submit_job,
    wait_until_done,
    wall_ms,
)

BORROWER_TEAM = "guest"
BORROWER_JOBS = ("guest-0", "guest-1", "guest-2")


def borrow_all_workers(deployment: Deployment, entry: str = "entry-0") -> None:
    """Fill all workers with jobs of a team that has no guarantees."""
    body = {"operator": OPERATOR, "guarantees": []}
    apply_change(deployment, "PUT", f"/v1/teams/{BORROWER_TEAM}", body, entry)
    for name in BORROWER_JOBS:
        body = {
            "operator": OPERATOR,
            "name": name,
            "team": BORROWER_TEAM,
            "members": 1,
            "accelerators": 8,
            "payload": json.dumps({"run_ms": 120_000, "result": name}),
        }
        apply_change(deployment, "POST", "/v1/jobs", body, entry)
    wait_until(
        lambda: (
            sum(
                row["state"] == "running"
                for row in collect_task_history(deployment).values()
            )
            == len(BORROWER_JOBS)
        ),
        "borrowers run on all workers",
    )


def make_workers_ignore_stops(deployment: Deployment) -> None:
    for number in list_worker_numbers(deployment):
        deployment.set_faults(f"worker-{number}", ignore_stop=True)


def test_borrowers_that_ignore_checkpoint_and_stop(deployment: Deployment) -> None:
    start_deployment(deployment)
    borrow_all_workers(deployment)
    make_workers_ignore_stops(deployment)
    submit_job(deployment, "owner")
    wait_until_done(deployment, "owner")
    check_ran_once(deployment, "owner", 2)
    rows = collect_task_history(deployment)
    first_attempt_states = [rows[f"{name}/1/0"]["state"] for name in BORROWER_JOBS]
    assert sorted(first_attempt_states) == ["running", "stopped", "stopped"]


def test_scheduler_killed_half_way_through_a_reclaim(deployment: Deployment) -> None:
    start_deployment(deployment)
    old_holder = get_lease_holder(deployment)
    standby = other_entry(old_holder)
    borrow_all_workers(deployment, standby)
    make_workers_ignore_stops(deployment)
    submit_job(deployment, "owner", entry=standby)

    def is_borrower_stopping() -> bool:
        gangs = [
            gang
            for name in BORROWER_JOBS
            for gang in deployment.show(f"/v1/jobs/{name}", standby)["gangs"]
        ]
        return any(gang["state"] == "stopping" for gang in gangs)

    wait_until(is_borrower_stopping, "a borrower is being stopped")
    deployment.processes[old_holder].kill()
    wait_until_done(deployment, "owner", standby)
    check_ran_once(deployment, "owner", 2)
    check_partial_runs(deployment, members=1)


def test_zone_taken_out_of_service_during_a_reclaim(deployment: Deployment) -> None:
    deployment.site = MULTI_ZONE_SITE
    start_deployment(deployment)
    borrow_all_workers(deployment)
    make_workers_ignore_stops(deployment)
    submit_job(deployment, "owner")
    set_zone(deployment, MULTI_ZONE_SITE.zone_of(2), False)
    zone_out_ms = wall_ms()
    wait_until_done(deployment, "owner")
    check_ran_once(deployment, "owner", 2)
    late_starts = [
        row
        for row in collect_task_history(deployment).values()
        if row["worker"] == 2
        and row["started_wall_ms"] > zone_out_ms + ZONE_OUT_LIMIT_MS
    ]
    assert late_starts == []
