"""Plans: what a new term makes of progress records, and what ends change."""

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.plans import all_tasks, apply_end, progress_of, take_up
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.job import (
    Job,
    JobPolicy,
    JobState,
    Plan,
    PlanState,
    Progress,
    RunEnd,
    StepSpec,
    TaskPhase,
    TaskProgress,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

JOB = "0123456789abcdef"
GANG = StepSpec(3, gang=True)
WIDE = StepSpec(3)


@pytest.fixture
def world() -> BatchWorld:
    cfg = DaemonConfig(Role.ENTRY, "entry-0", "z", Address("10.0.0.1", 7000))
    return make_batch_world(cfg, ManualClock(start_ms=1_000), seed=1)


def planned(
    world: BatchWorld,
    spec: StepSpec,
    phases: str,
    state: JobState = JobState.RUNNING,
) -> Plan:
    """Take a job up whose record gives its tasks these phases."""
    rows = tuple(
        TaskProgress(0, index, TaskPhase(phase), 1, 0, "m", 1, "side", 0, "")
        for index, phase in enumerate(phases)
    )
    policy = JobPolicy("svc", 1, 2)
    job = Job(JOB, "q", "t", "", (spec,), 0, 0, policy, False, state, True)
    job.progress = Progress(state, True, rows)
    world.agreed.jobs.put(job)
    take_up(world, JOB)
    return world.schedule.plans[JOB]


def test_members_of_a_parted_gang_are_stopped(world: BatchWorld) -> None:
    plan = planned(world, GANG, "pww")
    assert plan.tasks[0][0].stopping


def test_a_whole_gang_and_single_tasks_run_on(world: BatchWorld) -> None:
    assert not any(task.stopping for task in all_tasks(planned(world, GANG, "ppp")))
    world.schedule.plans.clear()
    assert not any(task.stopping for task in all_tasks(planned(world, WIDE, "pwd")))


def test_runs_of_an_ended_job_are_stopped(world: BatchWorld) -> None:
    plan = planned(world, WIDE, "ppd", JobState.CANCELLED)
    assert plan.phase is PlanState.CLOSING
    assert [task.stopping for task in all_tasks(plan)] == [True, True, False]


def test_one_end_stands_for_a_gang(world: BatchWorld) -> None:
    plan = planned(world, GANG, "ppp")
    apply_end(world, plan, plan.tasks[0][1], RunEnd.DONE, "")
    assert plan.state is JobState.COMPLETED


def test_a_gangs_run_fails_once(world: BatchWorld) -> None:
    plan = planned(world, GANG, "ppp")
    for task in plan.tasks[0][:2]:
        apply_end(world, plan, task, RunEnd.FAILED, "")
    assert plan.tasks[0][0].failures == 1
    assert plan.state is JobState.RUNNING


def test_only_failed_ends_count_as_attempts(world: BatchWorld) -> None:
    plan = planned(world, WIDE, "pdd")
    task = plan.tasks[0][0]
    for how in (RunEnd.STOPPED, RunEnd.LAPSED, RunEnd.LOST, RunEnd.REFUSED):
        task.phase = TaskPhase.PLACED
        apply_end(world, plan, task, how, "")
    assert task.failures == 0
    for _ in range(2):
        task.phase = TaskPhase.PLACED
        apply_end(world, plan, task, RunEnd.FAILED, "")
    assert plan.state is JobState.FAILED


def test_a_record_gives_the_same_plan_again(world: BatchWorld) -> None:
    plan = planned(world, WIDE, "pwd")
    plan.tasks[0][1].checkpoint = "00ff"
    job = plan.job
    job.progress = progress_of(plan)
    world.schedule.plans.clear()
    take_up(world, JOB)
    assert progress_of(world.schedule.plans[JOB]) == job.progress
