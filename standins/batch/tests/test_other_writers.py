"""Heartbeats and leave notices that do not come from the minion beside a sidecar."""

from dataclasses import replace

import pytest

from kingcuppost.batch.tables.job import JobState, MinionIncarnation, StepSpec
from kingcuppost.batch.tables.messages import MinionHeartbeat
from kingcuppost.tables.config import Address
from standins.batch import Deployment
from standins.batch.process import Process
from standins.batch.tests.test_jobs import make_ready_deployment

STEP = StepSpec(2, cpu_millis=40_000, accelerators=4)
OTHER_ADDRESS = Address("10.1.0.9", 7001)
HIGH_SEQUENCE = 10**9


def run_two() -> tuple[Deployment, str, Process]:
    """Return a deployment with two runs, their job, and a sidecar of one of them."""
    deployment = make_ready_deployment(minions=3)
    job_id, _ = deployment.submit((STEP,), [12_000])
    deployment.run_for(1_500)
    sidecar = next(
        process
        for process in deployment.processes.values()
        if process.minion is not None and process.minion.runs
    )
    return deployment, job_id, sidecar


def make_foreign(deployment: Deployment, sidecar: Process, kind: str) -> object:
    """Return a well-formed heartbeat that the minion beside a sidecar has not sent."""
    sidecar_state = sidecar.world.sidecar_state
    report = sidecar_state.minion
    address = sidecar_state.address
    born_ms = deployment.clock.now_ms()
    if kind == "other minion at another address":
        report = replace(report, incarnation=MinionIncarnation("m-9", born_ms))
        address = OTHER_ADDRESS
    elif kind == "other minion at the same address":
        report = replace(report, incarnation=MinionIncarnation("m-9", born_ms))
    elif kind == "later start":
        minion = report.incarnation.minion
        report = replace(report, incarnation=MinionIncarnation(minion, born_ms))
    elif kind == "other service":
        report = replace(report, service="other")
    elif kind == "same start at another address":
        address = OTHER_ADDRESS
    return MinionHeartbeat(address, report, HIGH_SEQUENCE)


@pytest.mark.parametrize(
    "kind",
    [
        "other minion at another address",
        "other minion at the same address",
        "later start",
        "other service",
        "same start at another address",
    ],
)
def test_a_heartbeat_of_another_writer_does_not_replace_the_minion(kind: str) -> None:
    """The minion's runs counted as ended at once, and ran twice."""
    deployment, job_id, sidecar = run_two()
    incarnation = sidecar.minion.incarnation
    deployment.deliver(sidecar, make_foreign(deployment, sidecar, kind))
    deployment.run_for(25_000)
    assert deployment.state(job_id) is JobState.COMPLETED
    assert deployment.checks.starts == 2
    assert not deployment.checks.violations
    minion = sidecar.world.sidecar_state.minion
    assert (minion.incarnation, minion.service) == (incarnation, "svc")


def test_a_first_heartbeat_of_another_writer_does_not_shut_the_minion_out() -> None:
    """Heartbeats with an earlier start were ignored for good."""
    deployment, _, sidecar = run_two()
    foreign = make_foreign(deployment, sidecar, "other minion at another address")
    deployment.kill(sidecar.name)
    deployment.start(sidecar.name)
    deployment.deliver(sidecar, foreign)
    deployment.run_for(3_000)
    minion = sidecar.world.sidecar_state.minion
    assert minion.incarnation == sidecar.minion.incarnation
    assert not deployment.checks.violations


def test_a_leave_notice_of_another_writer_does_not_remove_the_minion() -> None:
    deployment, job_id, sidecar = run_two()
    report = sidecar.world.sidecar_state.minion
    notice = MinionHeartbeat(Address("", 0), report, 0, has_left=True)
    deployment.deliver(sidecar, notice)
    deployment.run_for(5)
    assert sidecar.world.sidecar_state.minion is not None
    deployment.run_for(25_000)
    assert deployment.state(job_id) is JobState.COMPLETED
    assert deployment.checks.starts == 2
    assert not deployment.checks.violations


def test_a_minion_that_has_left_is_removed_at_its_first_failed_call() -> None:
    deployment, job_id, sidecar = run_two()
    report = sidecar.world.sidecar_state.minion
    notice = MinionHeartbeat(Address("", 0), report, 0, has_left=True)
    deployment.deliver(sidecar, notice)
    sidecar.minion.crash()
    deployment.run_for(1_500)
    assert sidecar.world.sidecar_state.minion is None
    deployment.run_for(30_000)
    assert deployment.state(job_id) is JobState.COMPLETED
    assert not deployment.checks.violations
