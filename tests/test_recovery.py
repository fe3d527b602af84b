"""Jobs finish exactly once despite crashes, outages and changes of scheduler."""

from standins.processes import Deployment, wait_until
from tests.scenarios import (
    ENTRIES,
    FINAL_STATES,
    LEASE_MS,
    OPERATOR,
    apply_change,
    check_no_overlap,
    check_partial_runs,
    check_ran_once,
    collect_task_history,
    get_job,
    get_lease_holder,
    list_worker_numbers,
    other_entry,
    pause,
    restore_machine,
    resume,
    start_deployment,
    submit_job,
    wait_until_done,
    wait_until_gang_ended,
    wait_until_running,
    wall_ms,
)

CANCELLED_JOB_COUNT = 24


def kill_system_processes(deployment: Deployment) -> None:
    """Kill all entries and sidecars at the same time; stand-ins keep running."""
    names = [
        *ENTRIES,
        *(f"minion-{number}" for number in list_worker_numbers(deployment)),
    ]
    for name in names:
        deployment.processes[name].popen.kill()
    for name in names:
        deployment.processes[name].popen.wait()


def start_system_processes(deployment: Deployment) -> None:
    for name in ENTRIES:
        deployment.start_entry(name)
    for number in list_worker_numbers(deployment):
        deployment.start_sidecar(number)


def test_all_killed_at_once_during_running_gangs(deployment: Deployment) -> None:
    start_deployment(deployment)
    submit_job(deployment, "flow", run_ms=4_000)
    submit_job(deployment, "warp", members=1, run_ms=1_000)
    submit_job(deployment, "cooling", members=1, run_ms=200)
    wait_until_running(deployment, "flow")
    wait_until_running(deployment, "warp", 1)
    kill_system_processes(deployment)
    start_system_processes(deployment)
    for name, members in (("flow", 2), ("warp", 1), ("cooling", 1)):
        wait_until_done(deployment, name)
        check_ran_once(deployment, name, members)
        check_no_overlap(deployment, name)
        assert get_job(deployment, name, "entry-1")["result"] == name


def test_all_killed_while_the_log_is_down(deployment: Deployment) -> None:
    start_deployment(deployment)
    submit_job(deployment, "flow", run_ms=2_500)
    wait_until_running(deployment, "flow")
    deployment.set_faults("log", down=True)
    kill_system_processes(deployment)
    start_system_processes(deployment)
    wait_until(
        lambda: all(
            row["ended_wall_ms"] for row in collect_task_history(deployment).values()
        ),
        "all tasks have ended",
    )
    deployment.set_faults("log")
    wait_until_done(deployment, "flow")
    check_ran_once(deployment, "flow", 2)
    check_no_overlap(deployment, "flow")


def test_gang_keeps_running_and_finishes_through_a_long_outage(
    deployment: Deployment,
) -> None:
    start_deployment(deployment)
    submit_job(deployment, "flow", run_ms=3 * LEASE_MS)
    wait_until_running(deployment, "flow")
    deployment.set_faults("log", down=True)
    wait_until(
        lambda: all(
            row["state"] == "finished"
            for row in collect_task_history(deployment).values()
        ),
        "both members have finished without the log",
    )
    assert get_job(deployment, "flow")["state"] == "active"
    deployment.set_faults("log")
    wait_until_done(deployment, "flow")
    check_ran_once(deployment, "flow", 2)
    assert len(collect_task_history(deployment)) == 2


def test_finish_survives_lost_answers_of_the_log(deployment: Deployment) -> None:
    start_deployment(deployment)
    submit_job(deployment, "flow", run_ms=800)
    wait_until_running(deployment, "flow")
    deployment.set_faults("log", lose_answers=5)
    wait_until_done(deployment, "flow")
    check_ran_once(deployment, "flow", 2)


def test_leader_restarts_while_the_log_is_slow(deployment: Deployment) -> None:
    """The sidecar of member 0 leads the gang."""
    start_deployment(deployment)
    submit_job(deployment, "flow", run_ms=3_000)
    rows = wait_until_running(deployment, "flow")
    leader = next(row for row in rows if row["task_id"] == "flow/1/0")
    deployment.set_faults("log", delay_ms=400)
    deployment.processes[f"minion-{leader['worker']}"].kill()
    deployment.start_sidecar(leader["worker"])
    wait_until_done(deployment, "flow")
    check_ran_once(deployment, "flow", 2)
    check_partial_runs(deployment)
    check_no_overlap(deployment, "flow")


def test_mass_cancellation_during_a_change_of_scheduler(
    deployment: Deployment,
) -> None:
    start_deployment(deployment)
    names = [f"job-{number}" for number in range(CANCELLED_JOB_COUNT)]
    old_holder = get_lease_holder(deployment)
    standby = other_entry(old_holder)
    for name in names:
        submit_job(deployment, name, 1, 4, 60_000, standby)
    # Each of the 3 workers has 8 accelerators, enough for 2 jobs.
    wait_until(
        lambda: len(collect_task_history(deployment)) >= 6, "the workers are full"
    )
    pause(deployment, old_holder)
    for name in names:
        body = {"operator": OPERATOR, "reason": "wave"}
        apply_change(deployment, "POST", f"/v1/jobs/{name}/cancel", body, standby)
    submit_job(deployment, "urgent", run_ms=200, entry=standby)
    wait_until_done(deployment, "urgent", standby)
    resume(deployment, old_holder)
    wait_until(
        lambda: all(
            row["ended_wall_ms"] for row in collect_task_history(deployment).values()
        ),
        "all tasks have ended",
    )
    for name in names:
        assert get_job(deployment, name, old_holder)["state"] == "cancelled"
    assert all(row["starts"] <= 1 for row in collect_task_history(deployment).values())


def test_cancellation_concurrent_with_completion_has_one_outcome(
    deployment: Deployment,
) -> None:
    start_deployment(deployment)
    names = [f"job-{number}" for number in range(12)]
    for name in names:
        submit_job(deployment, name, 1, 2, 300)
    for name in names:
        body = {"operator": OPERATOR, "reason": "late"}
        path = f"/v1/jobs/{name}/cancel"
        deployment.call("entry-1", "operators", "POST", path, body)
    wait_until(
        lambda: all(
            get_job(deployment, name)["state"] in FINAL_STATES for name in names
        ),
        "all jobs have ended",
    )
    for name in names:
        first_view = get_job(deployment, name)
        second_view = wait_until(
            lambda name=name: get_job(deployment, name, "entry-1"),
            f"entry-1 knows {name}",
        )
        assert (first_view["state"], first_view["result"]) == (
            second_view["state"],
            second_view["result"],
        )
        assert first_view["result"] == (name if first_view["state"] == "done" else "")


def test_job_of_one_member_is_placed_again_after_its_worker_is_lost(
    deployment: Deployment,
) -> None:
    start_deployment(deployment)
    submit_job(deployment, "flow", members=1, run_ms=2_000)
    row = wait_until_running(deployment, "flow", 1)[0]
    deployment.processes[f"worker-{row['worker']}"].kill()
    deployment.processes[f"minion-{row['worker']}"].kill()
    killed_ms = wall_ms()
    wait_until_gang_ended(deployment, "flow/1")
    restore_machine(deployment, row["worker"])
    wait_until_done(deployment, "flow")
    assert get_job(deployment, "flow")["incarnation"] > 1
    assert get_job(deployment, "flow")["finished_wall_ms"] > killed_ms
