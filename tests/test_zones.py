"""No task starts in a zone more than 3 s after operators have taken it out."""

import json
import threading

from standins.processes import Deployment, wait_until
from tests.scenarios import (
    SPREAD,
    ZONE_BOUND_MS,
    begin_entries,
    freeze,
    holder,
    other_entry,
    set_zone,
    submit,
    thaw,
    wait_announced,
    wait_done,
    wall_ms,
)

ZONE = SPREAD.zone_of(0)
JOBS = 60
SPEED_MS = 300


def offer_work(deployment: Deployment, entry: str = "entry-0") -> None:
    """Submit more short jobs than the workers hold, so that starts go on."""
    for number in range(JOBS):
        name = f"check-{number}"
        submit(deployment, name, 1, 1, SPEED_MS, entry)


def wait_started(deployment: Deployment) -> None:
    wait_until(lambda: starts(deployment), "tasks start in the zone")


def starts(deployment: Deployment) -> list[int]:
    """Return when tasks of the zone's worker were started, Unix ms."""
    _, answer = deployment.call("worker-0", "port", "GET", "/v1/history")
    return [row["started_wall_ms"] for row in answer["tasks"] if row["starts"]]


def check_no_late_start(deployment: Deployment, out_ms: int) -> None:
    """Check the bound once any message on its way has long arrived."""
    late_ms = out_ms + 2 * ZONE_BOUND_MS
    wait_until(lambda: wall_ms() >= late_ms, "late messages have arrived")
    assert [
        ms - out_ms for ms in starts(deployment) if ms > out_ms + ZONE_BOUND_MS
    ] == []


def begin_with_proxies(deployment: Deployment) -> None:
    """Start three zones; the first one's log and worker links pass proxies."""
    deployment.site = SPREAD
    begin_entries(deployment, SPREAD.zone_of(1))
    log = deployment.processes["log"]
    for number in range(3):
        deployment.start_minion_and_worker(number)
    worker = deployment.processes["worker-0"]
    log_address = deployment.start_proxy("log-link", log.ports["port"])
    worker_address = deployment.start_proxy("order-link", worker.ports["port"])
    deployment.start_sidecar(0, worker_address=worker_address, log_address=log_address)
    for number in (1, 2):
        deployment.start_sidecar(number)
    wait_announced(deployment)


def take_out_during(deployment: Deployment, proxy: str, **faults: object) -> int:
    """Take the zone out while a proxy misbehaves; return when it was out."""
    offer_work(deployment)
    wait_started(deployment)
    deployment.set_faults(proxy, **faults)
    set_zone(deployment, ZONE, False)
    return wall_ms()


def test_zone_out_stops_starts_and_the_rest_finishes_elsewhere(
    deployment: Deployment,
) -> None:
    begin_with_proxies(deployment)
    out_ms = take_out_during(deployment, "log-link")
    check_no_late_start(deployment, out_ms)
    wait_done(deployment, f"check-{JOBS - 1}")


def test_log_cut_for_the_zones_sidecar_only(deployment: Deployment) -> None:
    begin_with_proxies(deployment)
    out_ms = take_out_during(deployment, "log-link", cut=True)
    check_no_late_start(deployment, out_ms)
    deployment.set_faults("log-link")
    wait_done(deployment, f"check-{JOBS - 1}")


def test_log_silent_for_the_zones_sidecar_only(deployment: Deployment) -> None:
    begin_with_proxies(deployment)
    out_ms = take_out_during(deployment, "log-link", silent=True)
    check_no_late_start(deployment, out_ms)


def test_start_orders_delayed_past_the_zone_out(deployment: Deployment) -> None:
    begin_with_proxies(deployment)
    out_ms = take_out_during(deployment, "order-link", delay_ms=ZONE_BOUND_MS + 500)
    check_no_late_start(deployment, out_ms)


def test_log_cut_and_start_orders_delayed_together(deployment: Deployment) -> None:
    begin_with_proxies(deployment)
    offer_work(deployment)
    wait_started(deployment)
    deployment.set_faults("order-link", delay_ms=1_200)
    deployment.set_faults("log-link", cut=True)
    set_zone(deployment, ZONE, False)
    check_no_late_start(deployment, wall_ms())


def out_offset(deployment: Deployment) -> int:
    """Return the offset of the record that took the zone out; 0 if none did."""
    path = "/v1/records?after=0&wait_ms=0&limit=100000"
    _, answer = deployment.call("log", "port", "GET", path)
    for row in answer.get("records", ()):
        body = json.loads(row["value"])["body"]
        if body["kind"] == "zone_put" and not body["in_service"]:
            return row["offset"]
    return 0


def test_log_down_right_after_the_append_took_effect(deployment: Deployment) -> None:
    begin_with_proxies(deployment)
    offer_work(deployment)
    wait_started(deployment)
    deployment.set_faults("log", lose_answers=1_000)
    operator = threading.Thread(
        target=set_zone, args=(deployment, ZONE, False), daemon=True
    )
    operator.start()
    wait_until(lambda: out_offset(deployment), "the record is in the log")
    deployment.set_faults("log", down=True)
    out_ms = wall_ms()
    check_no_late_start(deployment, out_ms)
    deployment.set_faults("log")
    operator.join()
    wait_done(deployment, f"check-{JOBS - 1}")
    check_no_late_start(deployment, out_ms)


def test_paused_scheduler_wakes_after_the_zone_out(deployment: Deployment) -> None:
    begin_with_proxies(deployment)
    old = holder(deployment)
    rival = other_entry(old)
    offer_work(deployment, rival)
    wait_started(deployment)
    freeze(deployment, old)
    set_zone(deployment, ZONE, False, rival)
    out_ms = wall_ms()
    wait_until(lambda: holder(deployment, rival) == rival, "the rival schedules")
    thaw(deployment, old)
    check_no_late_start(deployment, out_ms)
    wait_done(deployment, f"check-{JOBS - 1}", rival)


def test_paused_sidecar_wakes_after_the_zone_out(deployment: Deployment) -> None:
    begin_with_proxies(deployment)
    offer_work(deployment)
    wait_started(deployment)
    freeze(deployment, "minion-0")
    set_zone(deployment, ZONE, False)
    out_ms = wall_ms()
    wait_until(lambda: wall_ms() > out_ms + ZONE_BOUND_MS, "the bound is over")
    thaw(deployment, "minion-0")
    check_no_late_start(deployment, out_ms)
    wait_done(deployment, f"check-{JOBS - 1}")
