"""Jobs finish exactly once through kills, outages and changes of scheduler."""

from standins.processes import Deployment, wait_until
from tests.scenarios import (
    ENTRIES,
    FINAL_STATES,
    LEASE_MS,
    OPERATOR,
    begin,
    change,
    check_no_overlap,
    check_partial_runs,
    check_ran_once,
    freeze,
    heal,
    history,
    holder,
    job,
    other_entry,
    submit,
    thaw,
    wait_done,
    wait_gang_over,
    wait_running,
    wall_ms,
    workers_of,
)

WAVE = 24


def kill_ours(deployment: Deployment) -> None:
    """Kill every process of the system at once."""
    names = [*ENTRIES, *(f"minion-{number}" for number in workers_of(deployment))]
    for name in names:
        deployment.processes[name].popen.kill()
    for name in names:
        deployment.processes[name].popen.wait()


def start_ours(deployment: Deployment) -> None:
    for name in ENTRIES:
        deployment.start_entry(name)
    for number in workers_of(deployment):
        deployment.start_sidecar(number)


def test_all_killed_at_once_during_running_gangs(deployment: Deployment) -> None:
    begin(deployment)
    submit(deployment, "flow", run_ms=4_000)
    submit(deployment, "warp", members=1, run_ms=1_000)
    submit(deployment, "cooling", members=1, run_ms=200)
    wait_running(deployment, "flow")
    wait_running(deployment, "warp", 1)
    kill_ours(deployment)
    start_ours(deployment)
    for name, members in (("flow", 2), ("warp", 1), ("cooling", 1)):
        wait_done(deployment, name)
        check_ran_once(deployment, name, members)
        check_no_overlap(deployment, name)
        assert job(deployment, name, "entry-1")["result"] == name


def test_all_killed_while_the_log_is_down(deployment: Deployment) -> None:
    begin(deployment)
    submit(deployment, "flow", run_ms=2_500)
    wait_running(deployment, "flow")
    deployment.set_faults("log", down=True)
    kill_ours(deployment)
    start_ours(deployment)
    wait_until(
        lambda: all(row["ended_wall_ms"] for row in history(deployment).values()),
        "the tasks are over",
    )
    deployment.set_faults("log")
    wait_done(deployment, "flow")
    check_ran_once(deployment, "flow", 2)
    check_no_overlap(deployment, "flow")


def test_gang_runs_on_and_finishes_through_a_long_outage(
    deployment: Deployment,
) -> None:
    begin(deployment)
    submit(deployment, "flow", run_ms=3 * LEASE_MS)
    wait_running(deployment, "flow")
    deployment.set_faults("log", down=True)
    wait_until(
        lambda: all(row["state"] == "finished" for row in history(deployment).values()),
        "both members have finished without the log",
    )
    assert job(deployment, "flow")["state"] == "active"
    deployment.set_faults("log")
    wait_done(deployment, "flow")
    check_ran_once(deployment, "flow", 2)
    assert len(history(deployment)) == 2


def test_finish_survives_lost_answers_of_the_log(deployment: Deployment) -> None:
    begin(deployment)
    submit(deployment, "flow", run_ms=800)
    wait_running(deployment, "flow")
    deployment.set_faults("log", lose_answers=5)
    wait_done(deployment, "flow")
    check_ran_once(deployment, "flow", 2)


def test_leader_restarts_while_the_log_is_slow(deployment: Deployment) -> None:
    begin(deployment)
    submit(deployment, "flow", run_ms=3_000)
    rows = wait_running(deployment, "flow")
    leader = next(row for row in rows if row["task_id"] == "flow/1/0")
    deployment.set_faults("log", delay_ms=400)
    deployment.processes[f"minion-{leader['worker']}"].kill()
    deployment.start_sidecar(leader["worker"])
    wait_done(deployment, "flow")
    check_ran_once(deployment, "flow", 2)
    check_partial_runs(deployment)
    check_no_overlap(deployment, "flow")


def test_cancellation_wave_during_a_change_of_scheduler(
    deployment: Deployment,
) -> None:
    begin(deployment)
    names = [f"job-{number}" for number in range(WAVE)]
    old = holder(deployment)
    rival = other_entry(old)
    for name in names:
        submit(deployment, name, 1, 4, 60_000, rival)
    wait_until(lambda: len(history(deployment)) >= 6, "the workers are full")
    freeze(deployment, old)
    for name in names:
        body = {"operator": OPERATOR, "reason": "wave"}
        change(deployment, "POST", f"/v1/jobs/{name}/cancel", body, rival)
    submit(deployment, "urgent", run_ms=200, entry=rival)
    wait_done(deployment, "urgent", rival)
    thaw(deployment, old)
    wait_until(
        lambda: all(row["ended_wall_ms"] for row in history(deployment).values()),
        "nothing runs any more",
    )
    for name in names:
        assert job(deployment, name, old)["state"] == "cancelled"
    assert all(row["starts"] <= 1 for row in history(deployment).values())


def test_cancel_that_races_a_finish_has_one_outcome(deployment: Deployment) -> None:
    begin(deployment)
    names = [f"job-{number}" for number in range(12)]
    for name in names:
        submit(deployment, name, 1, 2, 300)
    for name in names:
        body = {"operator": OPERATOR, "reason": "late"}
        path = f"/v1/jobs/{name}/cancel"
        deployment.call("entry-1", "operators", "POST", path, body)
    wait_until(
        lambda: all(job(deployment, name)["state"] in FINAL_STATES for name in names),
        "all jobs have ended",
    )
    for name in names:
        here = job(deployment, name)
        there = wait_until(
            lambda name=name: job(deployment, name, "entry-1"), f"{name} is known"
        )
        assert (here["state"], here["result"]) == (there["state"], there["result"])
        assert here["result"] == (name if here["state"] == "done" else "")


def test_lost_worker_of_a_single_member_job(deployment: Deployment) -> None:
    begin(deployment)
    submit(deployment, "flow", members=1, run_ms=2_000)
    row = wait_running(deployment, "flow", 1)[0]
    deployment.processes[f"worker-{row['worker']}"].kill()
    deployment.processes[f"minion-{row['worker']}"].kill()
    begun_ms = wall_ms()
    wait_gang_over(deployment, "flow/1")
    heal(deployment, row["worker"])
    wait_done(deployment, "flow")
    assert job(deployment, "flow")["incarnation"] > 1
    assert job(deployment, "flow")["finished_wall_ms"] > begun_ms
