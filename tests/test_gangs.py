"""No failure lets a gang run with only some members for longer than a lease."""

from collections.abc import Callable

import pytest

from standins.processes import Deployment, wait_until
from tests.scenarios import (
    check_no_overlap,
    check_partial_runs,
    check_ran_once,
    collect_task_history,
    get_job,
    get_lease_holder,
    list_running_members,
    other_entry,
    pause,
    restore_machine,
    resume,
    start_deployment,
    start_log_and_entries,
    submit_job,
    wait_for_minions,
    wait_until_done,
    wait_until_gang_ended,
    wait_until_running,
    wall_ms,
)

Fault = Callable[[Deployment, int], None]


def kill_worker(deployment: Deployment, number: int) -> None:
    deployment.processes[f"worker-{number}"].kill()


def pause_worker(deployment: Deployment, number: int) -> None:
    pause(deployment, f"worker-{number}")


def kill_sidecar(deployment: Deployment, number: int) -> None:
    deployment.processes[f"minion-{number}"].kill()


def pause_sidecar(deployment: Deployment, number: int) -> None:
    pause(deployment, f"minion-{number}")


def start_with_proxied_worker(deployment: Deployment) -> None:
    """Start two minions, so that a gang of two members needs both.

    Orders to worker 1 pass through a fault proxy. The stand-ins of a third minion
    run, but it joins only after its sidecar has started.
    """
    start_log_and_entries(deployment)
    for number in range(2):
        deployment.start_minion_and_worker(number)
    port = deployment.processes["worker-1"].ports["port"]
    address = deployment.start_proxy("link-1", port)
    deployment.start_sidecar(0)
    deployment.start_sidecar(1, worker_address=address)
    wait_for_minions(deployment)
    deployment.start_minion_and_worker(2)


def find_half_reserved_gang(deployment: Deployment) -> str:
    """Return the key of a gang reserved at worker 0 only; empty if there is none."""
    workers_by_gang: dict[str, list[int]] = {}
    for task_id, row in collect_task_history(deployment).items():
        key = task_id.rpartition("/")[0]
        workers_by_gang.setdefault(key, []).append(row["worker"])
        if row["state"] != "reserved":
            workers_by_gang[key].append(-1)  # excludes the gang from the result
    return next((key for key, numbers in workers_by_gang.items() if numbers == [0]), "")


def test_refused_reservation_prevents_all_starts(deployment: Deployment) -> None:
    start_deployment(deployment)
    deployment.set_faults("worker-1", refuse=True)
    deployment.set_faults("worker-2", refuse=True)
    submit_job(deployment, "flow")
    wait_until(
        lambda: get_job(deployment, "flow")["incarnation"] >= 3, "the job was retried"
    )
    assert sum(row["starts"] for row in collect_task_history(deployment).values()) == 0
    deployment.set_faults("worker-1", refuse=False)
    deployment.set_faults("worker-2", refuse=False)
    wait_until_done(deployment, "flow")
    check_ran_once(deployment, "flow", 2)


@pytest.mark.parametrize(
    "fault", [kill_worker, pause_sidecar], ids=lambda fault: fault.__name__
)
def test_member_lost_between_reserve_and_release(
    deployment: Deployment, fault: Fault
) -> None:
    start_with_proxied_worker(deployment)
    deployment.set_faults("link-1", delay_ms=400)
    submit_job(deployment, "flow", run_ms=1_500)
    gang_key = wait_until(
        lambda: find_half_reserved_gang(deployment), "only worker 0 has a reservation"
    )
    lost_ms = wall_ms()
    fault(deployment, 0)
    deployment.set_faults("link-1")
    deployment.start_sidecar(2)
    wait_until_gang_ended(deployment, gang_key)
    restore_machine(deployment, 0)
    wait_until_done(deployment, "flow")
    check_partial_runs(deployment, lost_wall_ms=lost_ms)
    check_ran_once(deployment, "flow", 2)


@pytest.mark.parametrize(
    ("fault", "member"),
    [
        (kill_worker, 0),
        (pause_worker, 1),
        (kill_sidecar, 0),
        (pause_sidecar, 0),
        (pause_sidecar, 1),
    ],
    ids=lambda value: getattr(value, "__name__", str(value)),
)
def test_member_lost_while_the_gang_runs(
    deployment: Deployment, fault: Fault, member: int
) -> None:
    start_deployment(deployment)
    submit_job(deployment, "flow", run_ms=2_500)
    rows = wait_until_running(deployment, "flow")
    lost_member = next(row for row in rows if row["task_id"] == f"flow/1/{member}")
    lost_ms = wall_ms()
    fault(deployment, lost_member["worker"])
    wait_until_gang_ended(deployment, "flow/1")
    restore_machine(deployment, lost_member["worker"])
    wait_until_done(deployment, "flow")
    check_partial_runs(deployment, lost_wall_ms=lost_ms)
    check_no_overlap(deployment, "flow")


def test_scheduler_paused_through_its_term(deployment: Deployment) -> None:
    start_deployment(deployment)
    old_holder = get_lease_holder(deployment)
    standby = other_entry(old_holder)
    submit_job(deployment, "before", run_ms=2_500, entry=standby)
    wait_until_running(deployment, "before")
    pause(deployment, old_holder)
    submit_job(deployment, "during", members=1, entry=standby)
    wait_until_done(deployment, "during", standby)
    assert get_lease_holder(deployment, standby) == standby
    resume(deployment, old_holder)
    submit_job(deployment, "after", members=1, entry=old_holder)
    for name in ("before", "during", "after"):
        wait_until_done(deployment, name, old_holder)
        check_ran_once(deployment, name, 2 if name == "before" else 1)
    assert get_lease_holder(deployment, old_holder) == standby
    check_partial_runs(deployment)


def test_scheduler_paused_between_reserve_and_release(deployment: Deployment) -> None:
    start_with_proxied_worker(deployment)
    old_holder = get_lease_holder(deployment)
    standby = other_entry(old_holder)
    deployment.set_faults("link-1", delay_ms=400)
    submit_job(deployment, "flow", entry=standby)
    wait_until(
        lambda: "flow/1/0" in collect_task_history(deployment),
        "member 0 has a reservation",
    )
    pause(deployment, old_holder)
    deployment.set_faults("link-1")
    wait_until_done(deployment, "flow", standby)
    resume(deployment, old_holder)
    wait_until_done(deployment, "flow", old_holder)
    check_partial_runs(deployment)
    check_ran_once(deployment, "flow", 2)


def test_scheduler_and_member_lost_together(deployment: Deployment) -> None:
    start_deployment(deployment)
    old_holder = get_lease_holder(deployment)
    standby = other_entry(old_holder)
    submit_job(deployment, "flow", run_ms=3_000, entry=standby)
    rows = wait_until_running(deployment, "flow")
    lost_ms = wall_ms()
    deployment.processes[old_holder].kill()
    pause_sidecar(deployment, rows[0]["worker"])
    wait_until_gang_ended(deployment, "flow/1", standby)
    restore_machine(deployment, rows[0]["worker"])
    wait_until_done(deployment, "flow", standby)
    check_partial_runs(deployment, lost_wall_ms=lost_ms)
    check_no_overlap(deployment, "flow")


def test_member_lost_while_the_log_is_down(deployment: Deployment) -> None:
    start_deployment(deployment)
    submit_job(deployment, "flow", run_ms=6_000)
    rows = wait_until_running(deployment, "flow")
    deployment.set_faults("log", down=True)
    kill_worker(deployment, rows[0]["worker"])
    lost_ms = wall_ms()
    wait_until(
        lambda: not list_running_members(deployment, "flow"),
        "the other member has stopped",
    )
    check_partial_runs(deployment, lost_wall_ms=lost_ms)
    restore_machine(deployment, rows[0]["worker"])
    deployment.set_faults("log")
    wait_until_done(deployment, "flow")
    check_no_overlap(deployment, "flow")
