"""Tests that the room check sees work that is left, and nothing else."""

import pytest

from kingcuppost.batch.systems.scheduling import schedule_units
from kingcuppost.batch.tables.job import JobState, StepSpec
from kingcuppost.tables.identity import Role
from standins.batch import Deployment
from standins.batch.fleets import RARE_KIND
from standins.batch.room_check import RoomCheck
from standins.batch.tests.test_jobs import make_ready_deployment

MINIONS = 8
LONG_MS = 120_000.0
SETTLED_MS = 12_000  # longer than a disturbance may have effects
WATCHED_MS = 8_000
HALF_A_MINION = StepSpec(1, cpu_millis=32_000, accelerators=4)
TASK = StepSpec(2, cpu_millis=64_000, accelerators=8)
GANG = StepSpec(4, cpu_millis=64_000, accelerators=8, gang=True, one_rack=True)
WIDE_GANG = StepSpec(5, cpu_millis=64_000, accelerators=8, gang=True)
LIMITED_GANG = StepSpec(5, accelerators=1, gang=True, most_per_minion=1)


def stop_scheduling(deployment: Deployment) -> None:
    """Let the entries accept jobs and place none."""
    for process in deployment.processes.values():
        if process.role is Role.ENTRY:
            process.systems = [
                item for item in process.systems if item.run is not schedule_units
            ]


def leave(
    step: StepSpec, busy_halves: int = 0, work_ms: float = 1_000.0
) -> tuple[Deployment, RoomCheck]:
    """Return a deployment that has left a job of one step, and the check.

    Parameters
    ----------
    busy_halves : int
        Number of half minions that are in use; they fill one minion after another.
    """
    deployment = Deployment(1, minions=MINIONS)
    deployment.run_for(3_000)
    for _ in range(busy_halves):
        deployment.submit((HALF_A_MINION,), [LONG_MS])
        deployment.run_for(100)
    check = RoomCheck(deployment)
    deployment.run_for(SETTLED_MS)
    stop_scheduling(deployment)
    job_id, exchange_id = deployment.submit((step,), [work_ms])
    check.watch(job_id, 1, exchange_id)
    return deployment, check


@pytest.mark.parametrize("step", [TASK, GANG], ids=["single tasks", "gang"])
def test_a_job_that_is_left_while_room_is_free_is_a_violation(step: StepSpec) -> None:
    deployment, check = leave(step)
    job = next(iter(check.jobs.values()))
    deployment.run_for(2_500)
    assert deployment.checks.violations == []
    deployment.run_for(1_500)
    assert len(deployment.checks.violations) == 1
    assert deployment.checks.violations[0].startswith(f"LOST {job.id}")
    deployment.run_for(WATCHED_MS)
    assert len(deployment.checks.violations) == 1


def test_a_violation_needs_room_twice_over() -> None:
    for step in (WIDE_GANG, LIMITED_GANG):
        deployment, _ = leave(step)
        deployment.run_for(WATCHED_MS)
        assert deployment.checks.violations == []


def test_a_violation_needs_less_than_half_in_use() -> None:
    for busy_halves, violations in ((6, 1), (8, 0)):
        deployment, _ = leave(TASK, busy_halves)
        deployment.run_for(WATCHED_MS)
        assert len(deployment.checks.violations) == violations


def test_minions_that_may_not_run_a_task_are_no_room() -> None:
    deployment, _ = leave(StepSpec(1, accelerators=1, label=RARE_KIND))
    deployment.run_for(WATCHED_MS)
    assert deployment.checks.violations == []
    for minion in list(deployment.minions.values())[:2]:
        minion.kind = RARE_KIND
    deployment.run_for(WATCHED_MS)
    assert len(deployment.checks.violations) == 1


@pytest.mark.parametrize("name", ["draining", "is_frozen", "loses_calls"])
def test_minions_that_take_no_work_are_no_room(name: str) -> None:
    deployment, _ = leave(TASK)
    for minion in list(deployment.minions.values())[1:]:
        setattr(minion, name, True)
    deployment.run_for(SETTLED_MS + WATCHED_MS)
    assert deployment.checks.violations == []


def test_a_disturbance_delays_the_judgement() -> None:
    deployment, check = leave(TASK)
    deployment.minions["m-0"].crash()
    deployment.run_for(WATCHED_MS)
    assert deployment.checks.violations == []
    check.note_disturbance()
    deployment.run_for(WATCHED_MS)
    assert deployment.checks.violations == []
    deployment.run_for(WATCHED_MS)
    assert len(deployment.checks.violations) == 1


def test_a_job_that_runs_is_not_left() -> None:
    deployment = Deployment(1, minions=MINIONS)
    deployment.run_for(3_000)
    check = RoomCheck(deployment)
    dependent = StepSpec(1, accelerators=1, needs=(0,))
    job_id, exchange_id = deployment.submit((TASK, dependent), [LONG_MS, 1_000.0])
    check.watch(job_id, 1, exchange_id)
    deployment.run_for(SETTLED_MS + WATCHED_MS)
    assert deployment.checks.violations == []


def test_a_job_that_is_cancelled_is_not_left() -> None:
    deployment, check = leave(TASK)
    check.forget(next(iter(check.jobs)))
    deployment.run_for(WATCHED_MS)
    assert deployment.checks.violations == []


@pytest.mark.parametrize("api_key", ["key-a", "key-b"])
def test_the_state_of_each_teams_job_is_answered(api_key: str) -> None:
    """The check asked with one team's key, and took the others' jobs for left."""
    deployment = make_ready_deployment()
    step = StepSpec(1, cpu_millis=1_000)
    job_id, _ = deployment.submit((step,), [500], api_key=api_key)
    deployment.run_for(2_000)
    assert deployment.state(job_id) is JobState.COMPLETED
