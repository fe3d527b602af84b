"""Tests of the reasons that the holder gives for work that waits."""

from kingcuppost.batch.systems.wait_ages import longest_waits_ms
from kingcuppost.batch.tables.job import StepSpec
from kingcuppost.batch.tables.waiting import Wait, WaitReason
from kingcuppost.batch.tables.world import BatchWorld, LogLine
from standins.batch import Deployment
from standins.batch.tests.test_jobs import make_ready_deployment

WHOLE = StepSpec(1, cpu_millis=60_000, accelerators=8)
LONG_MS = 60_000.0


def find_wait(deployment: Deployment, job_id: str) -> Wait | None:
    waits = deployment.holder().world.schedule.waits
    return next((wait for wait in waits if wait.step.job == job_id), None)


def collect_lines(world: BatchWorld) -> list[LogLine]:
    return [line for line in world.log_lines if line.part == "wait"]


def test_work_that_finds_no_capacity_waits_for_it() -> None:
    deployment = make_ready_deployment(minions=1)
    deployment.submit((WHOLE,), [LONG_MS])
    deployment.run_for(500)
    job_id, _ = deployment.submit((WHOLE,), [LONG_MS])
    deployment.run_for(500)
    wait = find_wait(deployment, job_id)
    assert wait.reason is WaitReason.NO_CAPACITY
    assert wait.fits_since_ms is None
    assert wait.tasks == 1


def test_work_without_a_minion_of_its_label_waits_for_one() -> None:
    deployment = make_ready_deployment(minions=1)
    job_id, _ = deployment.submit((StepSpec(2, label="none"),), [LONG_MS])
    deployment.run_for(500)
    assert find_wait(deployment, job_id).reason is WaitReason.NO_MINION


def test_work_that_is_placed_does_not_wait_any_more() -> None:
    deployment = make_ready_deployment(minions=1)
    deployment.submit((WHOLE,), [500.0])
    deployment.run_for(200)
    job_id, _ = deployment.submit((WHOLE,), [500.0])
    deployment.run_for(200)
    assert find_wait(deployment, job_id) is not None
    deployment.run_for(2_000)
    assert find_wait(deployment, job_id) is None


def test_a_long_wait_is_logged_with_its_reason() -> None:
    deployment = make_ready_deployment(minions=1)
    job_id, _ = deployment.submit((StepSpec(2, label="none"),), [LONG_MS])
    deployment.run_for(5_000)
    lines = collect_lines(deployment.holder().world)
    assert {line.fields["job"] for line in lines} == {job_id}
    assert {line.fields["reason"] for line in lines} == {WaitReason.NO_MINION}
    assert 2 <= len(lines) <= 4


def test_a_start_that_no_minion_confirms_counts_as_waiting() -> None:
    deployment = make_ready_deployment(minions=1)
    deployment.minions["m-0"].is_frozen = True
    deployment.submit((WHOLE,), [LONG_MS])
    deployment.run_for(2_500)
    world = deployment.holder().world
    assert longest_waits_ms(world)[WaitReason.START] >= 2_000
    assert any(line.text == "An order has no result." for line in collect_lines(world))
