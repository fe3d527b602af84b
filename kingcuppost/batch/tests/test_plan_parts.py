"""Parts of plans: which tasks they have, and how they are read back."""

import random

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.models import decode_record, encode_record
from kingcuppost.batch.systems.checkpoint_parts import mark_checkpoint_parts
from kingcuppost.batch.systems.fold import fold_streams
from kingcuppost.batch.systems.plan_parts import (
    PART_TASKS,
    count_parts,
    make_part_record,
    make_progress,
    mark_task_changed,
    take_changed_parts,
)
from kingcuppost.batch.systems.plans import adopt_job, apply_run_end
from kingcuppost.batch.systems.task_phases import change_phase
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.fleet import HolderView
from kingcuppost.batch.tables.job import (
    Job,
    JobPolicy,
    JobState,
    MinionIncarnation,
    RunEnd,
    StepSpec,
    TaskPhase,
)
from kingcuppost.batch.tables.messages import (
    JobRecord,
    ProgressPartRecord,
    ProgressRecord,
    Record,
    RecordsRead,
    Stream,
)
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

JOB = "0123456789abcdef"
STEPS = (StepSpec(3), StepSpec(25, gang=True), StepSpec(1), StepSpec(14))
INCARNATION = MinionIncarnation("m", 1)


def make_world(*records: tuple[int, Record]) -> BatchWorld:
    """Return the world of the holder, which has read the records at their offsets."""
    cfg = DaemonConfig(Role.ENTRY, "entry-0", "z", Address("10.0.0.1", 7000))
    world = make_batch_world(cfg, ManualClock(start_ms=1_000), seed=1)
    world.agreed.holder = HolderView(1, cfg.name, world.incarnation)
    world.schedule.is_loaded = True
    job = Job(JOB, "q", "t", "", STEPS, 0, 0, JobPolicy("svc", 1, 2))
    read(world, (0, JobRecord(job)), *records)
    return world


def read(world: BatchWorld, *records: tuple[int, Record]) -> None:
    end = world.agreed.views[Stream.JOBS].end
    world.inbox.put(RecordsRead(Stream.JOBS, list(records), 1_000, end))
    fold_streams(world, 1_000)


def adopt(world: BatchWorld) -> Plan:
    world.schedule.plans.clear()
    world.schedule.loads.clear()
    adopt_job(world, JOB)
    return world.schedule.plans[JOB]


def place(world: BatchWorld, plan: Plan, task: Task) -> None:
    plan.state = JobState.RUNNING
    plan.begun = True
    change_phase(world.schedule, plan, task, TaskPhase.PLACED, INCARNATION)
    task.run += 1
    task.sidecar = "side"


def test_parts_have_every_task_once() -> None:
    world = make_world()
    plan = adopt(world)
    for step in plan.tasks:
        for task in step:
            place(world, plan, task)
    records = [make_part_record(plan, part) for part in range(count_parts(STEPS))]
    rows = [row for record in records for row in record.progress.tasks]
    assert tuple(rows) == make_progress(plan).tasks
    assert max(len(record.progress.tasks) for record in records) == PART_TASKS


@pytest.mark.parametrize("step", range(4))
def test_a_task_is_in_the_part_that_its_change_marks(step: int) -> None:
    plan = adopt(make_world())
    for task in plan.tasks[step]:
        task.run = 7
        mark_task_changed(plan, task)
        (part,) = take_changed_parts(plan, 100)
        (row,) = make_part_record(plan, part).progress.tasks
        assert (row.step, row.index) == (task.name.step, task.name.index)
        task.run = 0


@pytest.mark.parametrize("seed", range(20))
def test_what_is_written_in_parts_is_read_back(seed: int) -> None:
    """Random changes, and what a new holder loads after each of them."""
    rng = random.Random(seed)
    world = make_world()
    plan = adopt(world)
    offset = 1
    for _ in range(60):
        task = rng.choice(rng.choice(plan.tasks))
        if task.phase is TaskPhase.WAITING:
            place(world, plan, task)
        elif task.phase is TaskPhase.PLACED:
            run_end = rng.choice([RunEnd.DONE, RunEnd.FAILED, RunEnd.STOPPED])
            apply_run_end(world, plan, task, run_end, rng.choice(["", "00ff"]))
        records: list[Record] = [
            make_part_record(plan, part) for part in take_changed_parts(plan, 100)
        ]
        if rng.random() < 0.1:
            records = [ProgressRecord(JOB, make_progress(plan))]
        for record in records:
            decoded = decode_record(*encode_record(record), "log").ok
            read(world, (offset, decoded))
            offset += 1
        loaded = adopt(make_copy(world))
        assert make_progress(loaded) == make_progress(plan)
        assert (loaded.state, loaded.begun) == (plan.state, plan.begun)
        if plan.state is not JobState.RUNNING:
            break


def make_copy(world: BatchWorld) -> BatchWorld:
    """Return the world of another holder with the same agreed state."""
    copy = make_world()
    copy.agreed = world.agreed
    return copy


def part_record(part: int, state: JobState) -> ProgressPartRecord:
    plan = adopt(make_world())
    plan.state = state
    return make_part_record(plan, part)


def test_the_newest_part_has_the_state_whatever_the_order_of_reads() -> None:
    """A listing runs ahead of the reads that follow it."""
    world = make_world()
    read(world, (9, part_record(2, JobState.COMPLETED)))
    read(world, (7, part_record(1, JobState.RUNNING)))
    assert world.agreed.jobs.get(JOB).state is JobState.COMPLETED


def test_a_whole_record_replaces_earlier_parts_and_no_later_ones() -> None:
    world = make_world()
    plan = adopt(world)
    place(world, plan, plan.tasks[0][0])
    read(world, (1, make_part_record(plan, 0)))
    change_phase(world.schedule, plan, plan.tasks[0][0], TaskPhase.WAITING)
    read(world, (2, ProgressRecord(JOB, make_progress(plan))))
    assert adopt(make_copy(world)).tasks[0][0].phase is TaskPhase.WAITING
    change_phase(world.schedule, plan, plan.tasks[0][0], TaskPhase.DONE)
    read(world, (3, make_part_record(plan, 0)))
    assert adopt(make_copy(world)).tasks[0][0].phase is TaskPhase.DONE


def test_a_part_of_an_unknown_or_narrower_job_is_skipped() -> None:
    world = make_world()
    plan = adopt(world)
    place(world, plan, plan.tasks[3][13])
    record = make_part_record(plan, 4)
    world.agreed.jobs.get(JOB).steps = STEPS[:2]
    read(world, (1, record), (2, ProgressPartRecord("f" * 16, 0, record.progress)))
    assert not world.agreed.progress_parts


def test_parts_of_a_removed_job_are_forgotten() -> None:
    world = make_world((1, part_record(0, JobState.RUNNING)))
    assert world.agreed.progress_parts
    world.inbox.put(RecordsRead(Stream.JOBS, [], 1_000, 5, is_complete=True))
    fold_streams(world, 1_000)
    assert not world.agreed.progress_parts


def test_a_new_checkpoint_marks_the_part_of_its_task() -> None:
    """The monitor of runs marks the plan only."""
    world = make_world()
    plan = adopt(world)
    task = plan.tasks[3][13]
    place(world, plan, task)
    take_changed_parts(plan, 100)
    task.checkpoint = "00ff"
    plan.has_new_checkpoint = True
    mark_checkpoint_parts(world, 1_000)
    assert take_changed_parts(plan, 100) == (4,)
    assert make_part_record(plan, 4).progress.tasks[0].checkpoint == "00ff"
