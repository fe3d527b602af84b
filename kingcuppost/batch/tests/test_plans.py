"""Tests of plans: loading from progress records, and effects of run ends."""

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.gang_checkpoints import (
    newest_checkpoint,
    note_listed_checkpoint,
)
from kingcuppost.batch.systems.plans import (
    adopt_job,
    apply_run_end,
    iter_tasks,
    load_plan,
    make_progress,
)
from kingcuppost.batch.systems.task_phases import change_phase
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.job import (
    Job,
    JobPolicy,
    JobState,
    MinionIncarnation,
    Progress,
    RunEnd,
    StepSpec,
    TaskPhase,
    TaskProgress,
)
from kingcuppost.batch.tables.plan import Plan, PlanPhase
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

JOB = "0123456789abcdef"
GANG = StepSpec(3, gang=True)
WIDE = StepSpec(3)
INCARNATION = MinionIncarnation("m", 1)


@pytest.fixture
def world() -> BatchWorld:
    cfg = DaemonConfig(Role.ENTRY, "entry-0", "z", Address("10.0.0.1", 7000))
    return make_batch_world(cfg, ManualClock(start_ms=1_000), seed=1)


def adopt_with_progress(
    world: BatchWorld,
    spec: StepSpec,
    phases: str,
    state: JobState = JobState.RUNNING,
) -> Plan:
    """Adopt a job whose progress record has `phases`, one letter for each task."""
    rows = tuple(
        TaskProgress(0, index, TaskPhase(phase), 1, 0, "m", 1, "side", 0, "")
        for index, phase in enumerate(phases)
    )
    policy = JobPolicy("svc", 1, 2)
    job = Job(JOB, "q", "t", "", (spec,), 0, 0, policy, False, state, True)
    job.progress = Progress(state, True, rows)
    world.agreed.jobs.put(job)
    adopt_job(world, JOB)
    return world.schedule.plans[JOB]


def test_placed_members_of_incomplete_gang_are_stopped(world: BatchWorld) -> None:
    plan = adopt_with_progress(world, GANG, "pww")
    assert plan.tasks[0][0].stopping


def test_complete_gang_and_independent_tasks_keep_running(world: BatchWorld) -> None:
    assert not any(
        task.stopping for task in iter_tasks(adopt_with_progress(world, GANG, "ppp"))
    )
    world.schedule.plans.clear()
    assert not any(
        task.stopping for task in iter_tasks(adopt_with_progress(world, WIDE, "pwd"))
    )


def test_runs_of_an_ended_job_are_stopped(world: BatchWorld) -> None:
    plan = adopt_with_progress(world, WIDE, "ppd", JobState.CANCELLED)
    assert plan.phase is PlanPhase.CLOSING
    assert [task.stopping for task in iter_tasks(plan)] == [True, True, False]


def test_end_of_one_member_completes_the_gang(world: BatchWorld) -> None:
    plan = adopt_with_progress(world, GANG, "ppp")
    apply_run_end(world, plan, plan.tasks[0][1], RunEnd.DONE, "")
    assert plan.state is JobState.COMPLETED


def test_failed_run_of_a_gang_counts_once(world: BatchWorld) -> None:
    plan = adopt_with_progress(world, GANG, "ppp")
    for task in plan.tasks[0][:2]:
        apply_run_end(world, plan, task, RunEnd.FAILED, "")
    assert plan.tasks[0][0].failures == 1
    assert plan.state is JobState.RUNNING


def test_only_failed_ends_count_as_attempts(world: BatchWorld) -> None:
    plan = adopt_with_progress(world, WIDE, "pdd")
    task = plan.tasks[0][0]
    for run_end in (RunEnd.STOPPED, RunEnd.LAPSED, RunEnd.LOST, RunEnd.REFUSED):
        change_phase(world.schedule, plan, task, TaskPhase.PLACED, INCARNATION)
        apply_run_end(world, plan, task, run_end, "")
    assert task.failures == 0
    for _ in range(2):
        change_phase(world.schedule, plan, task, TaskPhase.PLACED, INCARNATION)
        apply_run_end(world, plan, task, RunEnd.FAILED, "")
    assert plan.state is JobState.FAILED


def test_a_gang_loaded_with_unequal_checkpoints_has_one(world: BatchWorld) -> None:
    """Earlier builds stored one for each member, and each started from its own."""
    plan = adopt_with_progress(world, GANG, "www")
    rows = (
        TaskProgress(0, index, TaskPhase.WAITING, 1, 0, "", 0, "", 0, checkpoint)
        for index, checkpoint in enumerate(["", "00aa", "00bb"])
    )
    plan.job.progress = Progress(plan.state, True, tuple(rows))
    loaded = load_plan(plan.job)
    assert {newest_checkpoint(loaded, task) for task in loaded.tasks[0]} == {"00aa"}


def test_a_placed_gang_keeps_its_start_when_a_member_saves(world: BatchWorld) -> None:
    """A new holder may send the start of a member again."""
    plan = adopt_with_progress(world, GANG, "ppp")
    for task in plan.tasks[0]:
        task.checkpoint = "00aa"
    assert note_listed_checkpoint(plan, plan.tasks[0][2], "00cc", read_ms=9)
    assert not note_listed_checkpoint(plan, plan.tasks[0][1], "00bb", read_ms=8)
    plan.job.progress = make_progress(plan)
    for held in (plan, load_plan(plan.job)):
        assert {task.checkpoint for task in held.tasks[0]} == {"00aa"}
        assert newest_checkpoint(held, held.tasks[0][0]) == "00cc"


def test_plan_survives_its_progress_record(world: BatchWorld) -> None:
    plan = adopt_with_progress(world, WIDE, "pwd")
    plan.tasks[0][1].checkpoint = "00ff"
    job = plan.job
    job.progress = make_progress(plan)
    world.schedule.plans.clear()
    adopt_job(world, JOB)
    assert make_progress(world.schedule.plans[JOB]) == job.progress
