"""No task starts in a zone later than 3 s after it was taken out of service."""

import json
import threading

from standins.processes import Deployment, wait_until
from tests.scenarios import (
    MULTI_ZONE_SITE,
    ZONE_OUT_LIMIT_MS,
    get_lease_holder,
    other_entry,
    pause,
    resume,
    set_zone,
    start_log_and_entries,
    submit_job,
    wait_for_minions,
    wait_until_done,
    wall_ms,
)

ZONE = MULTI_ZONE_SITE.zone_of(0)
JOB_COUNT = 60
RUN_MS = 300


def submit_many_jobs(deployment: Deployment, entry: str = "entry-0") -> None:
    """Submit more short jobs than the workers can hold, so that starts continue."""
    for number in range(JOB_COUNT):
        name = f"check-{number}"
        submit_job(deployment, name, 1, 1, RUN_MS, entry)


def wait_for_first_start(deployment: Deployment) -> None:
    wait_until(lambda: list_start_times_ms(deployment), "tasks start in the zone")


def list_start_times_ms(deployment: Deployment) -> list[int]:
    """Return the start times of tasks on the zone's worker, as Unix ms."""
    _, answer = deployment.call("worker-0", "port", "GET", "/v1/history")
    return [row["started_wall_ms"] for row in answer["tasks"] if row["starts"]]


def check_no_late_starts(deployment: Deployment, zone_out_ms: int) -> None:
    """Check that no task started later than the limit after `zone_out_ms`, Unix ms.

    The check waits for twice the limit, so that all delayed messages have arrived.
    """
    check_ms = zone_out_ms + 2 * ZONE_OUT_LIMIT_MS
    wait_until(lambda: wall_ms() >= check_ms, "delayed messages have arrived")
    assert [
        start_ms - zone_out_ms
        for start_ms in list_start_times_ms(deployment)
        if start_ms > zone_out_ms + ZONE_OUT_LIMIT_MS
    ] == []


def start_with_proxies(deployment: Deployment) -> None:
    """Start one minion in each of three zones.

    The first zone's sidecar reaches the log and its worker through fault proxies.
    """
    deployment.site = MULTI_ZONE_SITE
    start_log_and_entries(deployment, MULTI_ZONE_SITE.zone_of(1))
    log = deployment.processes["log"]
    for number in range(3):
        deployment.start_minion_and_worker(number)
    worker = deployment.processes["worker-0"]
    log_address = deployment.start_proxy("log-link", log.ports["port"])
    worker_address = deployment.start_proxy("order-link", worker.ports["port"])
    deployment.start_sidecar(0, worker_address=worker_address, log_address=log_address)
    for number in (1, 2):
        deployment.start_sidecar(number)
    wait_for_minions(deployment)


def take_zone_out_during_fault(
    deployment: Deployment, proxy: str, **faults: object
) -> int:
    """Inject faults at a proxy and take the zone out of service.

    Returns
    -------
    int
        Unix time in ms after the change was accepted.
    """
    submit_many_jobs(deployment)
    wait_for_first_start(deployment)
    deployment.set_faults(proxy, **faults)
    set_zone(deployment, ZONE, False)
    return wall_ms()


def test_zone_out_of_service_gets_no_starts_and_jobs_finish_elsewhere(
    deployment: Deployment,
) -> None:
    start_with_proxies(deployment)
    zone_out_ms = take_zone_out_during_fault(deployment, "log-link")
    check_no_late_starts(deployment, zone_out_ms)
    wait_until_done(deployment, f"check-{JOB_COUNT - 1}")


def test_sidecar_of_the_zone_is_cut_off_from_the_log(deployment: Deployment) -> None:
    start_with_proxies(deployment)
    zone_out_ms = take_zone_out_during_fault(deployment, "log-link", cut=True)
    check_no_late_starts(deployment, zone_out_ms)
    deployment.set_faults("log-link")
    wait_until_done(deployment, f"check-{JOB_COUNT - 1}")


def test_log_does_not_answer_the_sidecar_of_the_zone(deployment: Deployment) -> None:
    start_with_proxies(deployment)
    zone_out_ms = take_zone_out_during_fault(deployment, "log-link", silent=True)
    check_no_late_starts(deployment, zone_out_ms)


def test_start_orders_delayed_past_the_limit(deployment: Deployment) -> None:
    start_with_proxies(deployment)
    zone_out_ms = take_zone_out_during_fault(
        deployment, "order-link", delay_ms=ZONE_OUT_LIMIT_MS + 500
    )
    check_no_late_starts(deployment, zone_out_ms)


def test_sidecar_cut_off_from_the_log_while_start_orders_are_delayed(
    deployment: Deployment,
) -> None:
    start_with_proxies(deployment)
    submit_many_jobs(deployment)
    wait_for_first_start(deployment)
    deployment.set_faults("order-link", delay_ms=1_200)
    deployment.set_faults("log-link", cut=True)
    set_zone(deployment, ZONE, False)
    check_no_late_starts(deployment, wall_ms())


def find_zone_out_offset(deployment: Deployment) -> int:
    """Return the offset of the record that took a zone out of service; 0 if none."""
    path = "/v1/records?after=0&wait_ms=0&limit=100000"
    _, answer = deployment.call("log", "port", "GET", path)
    for row in answer.get("records", ()):
        body = json.loads(row["value"])["body"]
        if body["kind"] == "zone_put" and not body["in_service"]:
            return row["offset"]
    return 0


def test_log_outage_right_after_the_append(deployment: Deployment) -> None:
    start_with_proxies(deployment)
    submit_many_jobs(deployment)
    wait_for_first_start(deployment)
    deployment.set_faults("log", lose_answers=1_000)
    change_thread = threading.Thread(
        target=set_zone, args=(deployment, ZONE, False), daemon=True
    )
    change_thread.start()
    wait_until(
        lambda: find_zone_out_offset(deployment),
        "the log has the record that takes the zone out of service",
    )
    deployment.set_faults("log", down=True)
    zone_out_ms = wall_ms()
    check_no_late_starts(deployment, zone_out_ms)
    deployment.set_faults("log")
    change_thread.join()
    wait_until_done(deployment, f"check-{JOB_COUNT - 1}")
    check_no_late_starts(deployment, zone_out_ms)


def test_paused_scheduler_resumes_after_zone_left_service(
    deployment: Deployment,
) -> None:
    start_with_proxies(deployment)
    old_holder = get_lease_holder(deployment)
    standby = other_entry(old_holder)
    submit_many_jobs(deployment, standby)
    wait_for_first_start(deployment)
    pause(deployment, old_holder)
    set_zone(deployment, ZONE, False, standby)
    zone_out_ms = wall_ms()
    wait_until(
        lambda: get_lease_holder(deployment, standby) == standby,
        "the standby holds the lease",
    )
    resume(deployment, old_holder)
    check_no_late_starts(deployment, zone_out_ms)
    wait_until_done(deployment, f"check-{JOB_COUNT - 1}", standby)


def test_paused_sidecar_resumes_after_zone_left_service(deployment: Deployment) -> None:
    start_with_proxies(deployment)
    submit_many_jobs(deployment)
    wait_for_first_start(deployment)
    pause(deployment, "minion-0")
    set_zone(deployment, ZONE, False)
    zone_out_ms = wall_ms()
    wait_until(
        lambda: wall_ms() > zone_out_ms + ZONE_OUT_LIMIT_MS, "the limit has passed"
    )
    resume(deployment, "minion-0")
    check_no_late_starts(deployment, zone_out_ms)
    wait_until_done(deployment, f"check-{JOB_COUNT - 1}")
