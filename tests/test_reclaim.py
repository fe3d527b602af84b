"""A team's guaranteed shape comes back though others have borrowed it."""

import json

from standins.processes import Deployment, wait_until
from tests.scenarios import (
    OPERATOR,
    SPREAD,
    ZONE_BOUND_MS,
    begin,
    change,
    check_partial_runs,
    check_ran_once,
    history,
    holder,
    other_entry,
    set_zone,
    submit,
    wait_done,
    wall_ms,
    workers_of,
)

GUEST = "guest"
GUESTS = ("guest-0", "guest-1", "guest-2")


def lend_everything(deployment: Deployment, entry: str = "entry-0") -> None:
    """Let jobs of a team without guarantees take every worker."""
    body = {"operator": OPERATOR, "guarantees": []}
    change(deployment, "PUT", f"/v1/teams/{GUEST}", body, entry)
    for name in GUESTS:
        body = {
            "operator": OPERATOR,
            "name": name,
            "team": GUEST,
            "members": 1,
            "accelerators": 8,
            "payload": json.dumps({"run_ms": 120_000, "result": name}),
        }
        change(deployment, "POST", "/v1/jobs", body, entry)
    wait_until(
        lambda: (
            sum(row["state"] == "running" for row in history(deployment).values())
            == len(GUESTS)
        ),
        "all workers are borrowed",
    )


def ignore_stops(deployment: Deployment) -> None:
    for number in workers_of(deployment):
        deployment.set_faults(f"worker-{number}", ignore_stop=True)


def test_borrowers_that_ignore_checkpoint_and_stop(deployment: Deployment) -> None:
    begin(deployment)
    lend_everything(deployment)
    ignore_stops(deployment)
    submit(deployment, "owner")
    wait_done(deployment, "owner")
    check_ran_once(deployment, "owner", 2)
    rows = history(deployment)
    first_tries = [rows[f"{name}/1/0"]["state"] for name in GUESTS]
    assert sorted(first_tries) == ["running", "stopped", "stopped"]


def test_scheduler_killed_half_way_through_a_reclaim(deployment: Deployment) -> None:
    begin(deployment)
    old = holder(deployment)
    rival = other_entry(old)
    lend_everything(deployment, rival)
    ignore_stops(deployment)
    submit(deployment, "owner", entry=rival)

    def stopping() -> bool:
        gangs = [
            gang
            for name in GUESTS
            for gang in deployment.show(f"/v1/jobs/{name}", rival)["gangs"]
        ]
        return any(gang["state"] == "stopping" for gang in gangs)

    wait_until(stopping, "a borrower is being stopped")
    deployment.processes[old].kill()
    wait_done(deployment, "owner", rival)
    check_ran_once(deployment, "owner", 2)
    check_partial_runs(deployment, members=1)


def test_zone_leaves_during_a_reclaim(deployment: Deployment) -> None:
    deployment.site = SPREAD
    begin(deployment)
    lend_everything(deployment)
    ignore_stops(deployment)
    submit(deployment, "owner")
    set_zone(deployment, SPREAD.zone_of(2), False)
    out_ms = wall_ms()
    wait_done(deployment, "owner")
    check_ran_once(deployment, "owner", 2)
    late = [
        row
        for row in history(deployment).values()
        if row["worker"] == 2 and row["started_wall_ms"] > out_ms + ZONE_BOUND_MS
    ]
    assert late == []
