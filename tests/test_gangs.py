"""No gang runs with part of its members beyond the lease, whatever fails."""

from collections.abc import Callable

import pytest

from standins.processes import Deployment, wait_until
from tests.scenarios import (
    begin,
    begin_entries,
    check_no_overlap,
    check_partial_runs,
    check_ran_once,
    freeze,
    heal,
    history,
    holder,
    job,
    other_entry,
    running,
    submit,
    thaw,
    wait_announced,
    wait_done,
    wait_gang_over,
    wait_running,
    wall_ms,
)

Fault = Callable[[Deployment, int], None]


def kill_worker(deployment: Deployment, number: int) -> None:
    deployment.processes[f"worker-{number}"].kill()


def freeze_worker(deployment: Deployment, number: int) -> None:
    freeze(deployment, f"worker-{number}")


def kill_sidecar(deployment: Deployment, number: int) -> None:
    deployment.processes[f"minion-{number}"].kill()


def freeze_sidecar(deployment: Deployment, number: int) -> None:
    freeze(deployment, f"minion-{number}")


def begin_with_slow_worker(deployment: Deployment) -> None:
    """Start two minions, so that a gang of two needs both.

    Orders to worker 1 pass a proxy. A third minion's stand-ins run, but it joins
    only when its sidecar is started.
    """
    begin_entries(deployment)
    for number in range(2):
        deployment.start_minion_and_worker(number)
    port = deployment.processes["worker-1"].ports["port"]
    address = deployment.start_proxy("link-1", port)
    deployment.start_sidecar(0)
    deployment.start_sidecar(1, worker_address=address)
    wait_announced(deployment)
    deployment.start_minion_and_worker(2)


def half_reserved(deployment: Deployment) -> str:
    """Return the key of a gang that only worker 0 has reserved; empty if none."""
    workers: dict[str, list[int]] = {}
    for name, row in history(deployment).items():
        key = name.rpartition("/")[0]
        workers.setdefault(key, []).append(row["worker"])
        if row["state"] != "reserved":
            workers[key].append(-1)
    return next((key for key, at in workers.items() if at == [0]), "")


def test_refused_member_lets_no_other_start(deployment: Deployment) -> None:
    begin(deployment)
    deployment.set_faults("worker-1", refuse=True)
    deployment.set_faults("worker-2", refuse=True)
    submit(deployment, "flow")
    wait_until(lambda: job(deployment, "flow")["incarnation"] >= 3, "tried again")
    assert sum(row["starts"] for row in history(deployment).values()) == 0
    deployment.set_faults("worker-1", refuse=False)
    deployment.set_faults("worker-2", refuse=False)
    wait_done(deployment, "flow")
    check_ran_once(deployment, "flow", 2)


@pytest.mark.parametrize(
    "fault", [kill_worker, freeze_sidecar], ids=lambda fault: fault.__name__
)
def test_member_lost_between_reserve_and_release(
    deployment: Deployment, fault: Fault
) -> None:
    begin_with_slow_worker(deployment)
    deployment.set_faults("link-1", delay_ms=400)
    submit(deployment, "flow", run_ms=1_500)
    gang = wait_until(lambda: half_reserved(deployment), "only worker 0 has reserved")
    lost_ms = wall_ms()
    fault(deployment, 0)
    deployment.set_faults("link-1")
    deployment.start_sidecar(2)
    wait_gang_over(deployment, gang)
    heal(deployment, 0)
    wait_done(deployment, "flow")
    check_partial_runs(deployment, lost_wall_ms=lost_ms)
    check_ran_once(deployment, "flow", 2)


@pytest.mark.parametrize(
    ("fault", "member"),
    [
        (kill_worker, 0),
        (freeze_worker, 1),
        (kill_sidecar, 0),
        (freeze_sidecar, 0),
        (freeze_sidecar, 1),
    ],
    ids=lambda value: getattr(value, "__name__", str(value)),
)
def test_member_lost_while_the_gang_runs(
    deployment: Deployment, fault: Fault, member: int
) -> None:
    begin(deployment)
    submit(deployment, "flow", run_ms=2_500)
    rows = wait_running(deployment, "flow")
    lost = next(row for row in rows if row["task_id"] == f"flow/1/{member}")
    lost_ms = wall_ms()
    fault(deployment, lost["worker"])
    wait_gang_over(deployment, "flow/1")
    heal(deployment, lost["worker"])
    wait_done(deployment, "flow")
    check_partial_runs(deployment, lost_wall_ms=lost_ms)
    check_no_overlap(deployment, "flow")


def test_scheduler_paused_through_its_term(deployment: Deployment) -> None:
    begin(deployment)
    old = holder(deployment)
    rival = other_entry(old)
    submit(deployment, "before", run_ms=2_500, entry=rival)
    wait_running(deployment, "before")
    freeze(deployment, old)
    submit(deployment, "during", members=1, entry=rival)
    wait_done(deployment, "during", rival)
    assert holder(deployment, rival) == rival
    thaw(deployment, old)
    submit(deployment, "after", members=1, entry=old)
    for name in ("before", "during", "after"):
        wait_done(deployment, name, old)
        check_ran_once(deployment, name, 2 if name == "before" else 1)
    assert holder(deployment, old) == rival
    check_partial_runs(deployment)


def test_scheduler_paused_between_reserve_and_release(deployment: Deployment) -> None:
    begin_with_slow_worker(deployment)
    old = holder(deployment)
    rival = other_entry(old)
    deployment.set_faults("link-1", delay_ms=400)
    submit(deployment, "flow", entry=rival)
    wait_until(lambda: "flow/1/0" in history(deployment), "member 0 is reserved")
    freeze(deployment, old)
    deployment.set_faults("link-1")
    wait_done(deployment, "flow", rival)
    thaw(deployment, old)
    wait_done(deployment, "flow", old)
    check_partial_runs(deployment)
    check_ran_once(deployment, "flow", 2)


def test_scheduler_and_member_lost_together(deployment: Deployment) -> None:
    begin(deployment)
    old = holder(deployment)
    rival = other_entry(old)
    submit(deployment, "flow", run_ms=3_000, entry=rival)
    rows = wait_running(deployment, "flow")
    lost_ms = wall_ms()
    deployment.processes[old].kill()
    freeze_sidecar(deployment, rows[0]["worker"])
    wait_gang_over(deployment, "flow/1", rival)
    heal(deployment, rows[0]["worker"])
    wait_done(deployment, "flow", rival)
    check_partial_runs(deployment, lost_wall_ms=lost_ms)
    check_no_overlap(deployment, "flow")


def test_member_lost_while_the_log_is_down(deployment: Deployment) -> None:
    begin(deployment)
    submit(deployment, "flow", run_ms=6_000)
    rows = wait_running(deployment, "flow")
    deployment.set_faults("log", down=True)
    kill_worker(deployment, rows[0]["worker"])
    lost_ms = wall_ms()
    wait_until(lambda: not running(deployment, "flow"), "the other has stopped")
    check_partial_runs(deployment, lost_wall_ms=lost_ms)
    heal(deployment, rows[0]["worker"])
    deployment.set_faults("log")
    wait_done(deployment, "flow")
    check_no_overlap(deployment, "flow")
