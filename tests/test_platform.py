"""The roles of the deploy file, built and started by its commands."""

import http.client
import signal
import subprocess
import tomllib
from collections.abc import Iterator

import pytest

from tests.platform_deployment import (
    BODY,
    DEPLOY_FILE,
    ROOT,
    PlatformDeployment,
    wait_until,
)

JOB_IDS = ("0123456789abcdef", "0123456789abcde0", "0123456789abcde1")


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformDeployment]:
    build = tomllib.loads(DEPLOY_FILE.read_text())["build"]
    subprocess.run(build, shell=True, cwd=ROOT, check=True, capture_output=True)
    running = PlatformDeployment(tmp_path_factory.mktemp("fleet"), JOB_IDS)
    try:
        wait_until(
            lambda: running.is_ready("entry-1") and running.is_ready("entry-2"),
            "both entries are ready",
        )
        yield running
    finally:
        running.stop()


def test_a_job_is_done_and_both_entries_show_it(system: PlatformDeployment) -> None:
    assert system.call("entry-1", "POST", f"/q/{JOB_IDS[0]}", BODY)[0] == 200
    assert system.call("entry-2", "POST", f"/q/{JOB_IDS[0]}", BODY)[0] == 200
    for name in ("entry-1", "entry-2"):
        wait_until(
            lambda name=name: system.get_job_state(name, JOB_IDS[0]) == "completed",
            "the entry shows the job as completed",
        )


def test_invalid_calls_get_the_matching_status(system: PlatformDeployment) -> None:
    assert system.call("entry-1", "POST", f"/q/{JOB_IDS[1]}", BODY, key="odd")[0] == 401
    assert system.call("entry-1", "GET", f"/other/{JOB_IDS[1]}")[0] == 404
    assert system.call("entry-1", "GET", "/q/fedcba9876543210")[0] == 410
    assert system.call("entry-1", "POST", f"/q/{JOB_IDS[1]}", "{")[0] == 400
    assert system.call("entry-1", "GET", "/q/") == (200, {"pending": 0})


def test_jobs_complete_after_the_lease_holder_is_killed(
    system: PlatformDeployment,
) -> None:
    assert system.call("entry-1", "POST", f"/q/{JOB_IDS[1]}", BODY)[0] == 200
    holder = next(
        name
        for name in ("entry-1", "entry-2")
        if "The term is open" in system.log(name)
    )
    standby = "entry-2" if holder == "entry-1" else "entry-1"
    system.processes[holder].kill()
    system.processes[holder].wait()
    wait_until(
        lambda: system.get_job_state(standby, JOB_IDS[1]) == "completed",
        "the standby shows the job as completed",
    )
    system.start(holder)
    wait_until(lambda: system.is_ready(holder), "the killed entry is ready again")
    wait_until(
        lambda: system.get_job_state(holder, JOB_IDS[1]) == "completed",
        "the restarted entry shows the job as completed",
    )


def test_settings_reload_and_graceful_stop(system: PlatformDeployment) -> None:
    process = system.processes["entry-2"]
    process.send_signal(signal.SIGHUP)
    wait_until(
        lambda: "The settings are read again" in system.log("entry-2"),
        "the settings are reloaded",
    )
    process.terminate()
    assert process.wait(timeout=8) == 0
    system.start("entry-2")
    wait_until(lambda: system.is_ready("entry-2"), "the restarted entry is ready")


def test_metrics_are_served(system: PlatformDeployment) -> None:
    conn = http.client.HTTPConnection(system.ips["entry-1"], system.ports["peers"])
    conn.request("GET", "/metrics")
    text = conn.getresponse().read().decode()
    conn.close()
    assert "kingcuppost_jobs" in text
    assert "kingcuppost_tick_seconds_bucket" in text


def test_minions_recorded_no_violations(system: PlatformDeployment) -> None:
    host = system.processes["host"]
    host.terminate()
    host.wait(timeout=10)
    # The list need not be the last line: a heartbeat interrupted by the shutdown may
    # be logged after it.
    violation_lists = [
        line for line in system.log("host").splitlines() if line.startswith("[")
    ]
    assert violation_lists == ["[]"]
