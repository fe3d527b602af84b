"""Tests of the fold, which applies records of the streams to the agreed state.

Records that are read again change nothing.
"""

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.fold import fold_streams
from kingcuppost.batch.systems.freshness import is_fresh
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.fleet import Configuration
from kingcuppost.batch.tables.job import (
    Job,
    JobState,
    Progress,
    StepSpec,
    TaskPhase,
    TaskProgress,
)
from kingcuppost.batch.tables.messages import (
    CancelRecord,
    ClaimRecord,
    ConfigRecord,
    JobRecord,
    ProgressRecord,
    Record,
    RecordsRead,
    RemovalRecord,
    RenewRecord,
    Stream,
    ZoneRecord,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

ADDRESS = Address("10.0.0.1", 7000)
JOB = "0123456789abcdef"


@pytest.fixture
def world() -> BatchWorld:
    cfg = DaemonConfig(Role.ENTRY, "entry-0", "zone-a", ADDRESS)
    return make_batch_world(cfg, ManualClock(start_ms=1_000), seed=1)


def fold_records(
    world: BatchWorld,
    stream: Stream,
    *records: Record,
    first_offset: int = 0,
    is_complete: bool = False,
) -> None:
    now_ms = world.clock.now_ms()
    rows = list(enumerate(records, first_offset))
    end = first_offset + len(records)
    world.inbox.put(RecordsRead(stream, rows, now_ms, end, is_complete))
    fold_streams(world, now_ms)


def make_job_record(spec: str = "text") -> JobRecord:
    return JobRecord(Job(JOB, "q", "t", spec, (StepSpec(1),), 0, -1))


def test_later_records_of_a_job_are_ignored(world: BatchWorld) -> None:
    fold_records(world, Stream.JOBS, make_job_record("one"), make_job_record("two"))
    assert world.agreed.jobs.get(JOB).spec == "one"
    assert world.agreed.jobs.get(JOB).offset == 0


def test_complete_listing_removes_missing_rows(world: BatchWorld) -> None:
    fold_records(world, Stream.JOBS, make_job_record())
    fold_records(world, Stream.JOBS, first_offset=9, is_complete=True)
    assert len(world.agreed.jobs) == 0


def test_progress_and_cancellation_are_applied(world: BatchWorld) -> None:
    progress = Progress(JobState.RUNNING, True, ())
    fold_records(
        world,
        Stream.JOBS,
        make_job_record(),
        ProgressRecord(JOB, progress),
        CancelRecord(JOB),
    )
    row = world.agreed.jobs.get(JOB)
    assert (row.state, row.begun, row.cancelled) == (JobState.RUNNING, True, True)


def test_older_configuration_is_ignored(world: BatchWorld) -> None:
    for version in (3, 2):
        fold_records(
            world, Stream.OPERATORS, ConfigRecord(Configuration(version, (), {}, {}))
        )
    assert world.agreed.configuration.version == 3


def test_zones_are_closed_and_reopened(world: BatchWorld) -> None:
    fold_records(world, Stream.OPERATORS, ZoneRecord("a"), ZoneRecord("b"))
    fold_records(world, Stream.OPERATORS, RemovalRecord("zone/a"), first_offset=2)
    assert set(world.agreed.closed_zones) == {"b"}
    fold_records(world, Stream.OPERATORS, first_offset=3, is_complete=True)
    assert not world.agreed.closed_zones


def test_only_the_newest_term_is_renewed(world: BatchWorld) -> None:
    fold_records(
        world,
        Stream.MEMBERS,
        ClaimRecord("entry-0", ADDRESS, "one"),
        ClaimRecord("entry-1", ADDRESS, "two"),
        RenewRecord(1, released=True),
    )
    holder = world.agreed.holder
    assert (holder.term, holder.name, holder.released) == (2, "entry-1", False)


def test_stream_freshness_expires(world: BatchWorld) -> None:
    assert not is_fresh(world, Stream.JOBS, 1_000)
    fold_records(world, Stream.JOBS)
    assert is_fresh(world, Stream.JOBS, 3_000)
    assert not is_fresh(world, Stream.JOBS, 3_001)


def test_a_read_that_stops_before_the_end_does_not_make_the_view_fresh(
    world: BatchWorld,
) -> None:
    now_ms = world.clock.now_ms()
    rows = [(0, make_job_record())]
    world.inbox.put(RecordsRead(Stream.JOBS, rows, now_ms, 1, reaches_end=False))
    fold_streams(world, now_ms)
    assert JOB in world.agreed.jobs
    assert not is_fresh(world, Stream.JOBS, now_ms)


def test_a_listing_from_before_the_view_removes_nothing(world: BatchWorld) -> None:
    fold_records(world, Stream.OPERATORS, ZoneRecord("zone-a"), first_offset=7)
    fold_records(world, Stream.OPERATORS, first_offset=5, is_complete=True)
    assert "zone-a" in world.agreed.closed_zones


def test_a_record_that_is_read_again_does_not_bring_back_an_older_state(
    world: BatchWorld,
) -> None:
    closed, opened = ZoneRecord("zone-a"), RemovalRecord("zone/zone-a")
    fold_records(world, Stream.OPERATORS, closed, opened)
    fold_records(world, Stream.OPERATORS, closed)
    assert not world.agreed.closed_zones


def test_a_job_missing_from_a_listing_is_reported_as_changed(
    world: BatchWorld,
) -> None:
    fold_records(world, Stream.JOBS, make_job_record())
    world.schedule.changed_jobs.clear()
    fold_records(world, Stream.JOBS, first_offset=2, is_complete=True)
    assert JOB not in world.agreed.jobs
    assert JOB in world.schedule.changed_jobs


def test_progress_of_a_task_that_the_job_lacks_is_skipped(world: BatchWorld) -> None:
    row = TaskProgress(0, 5, TaskPhase.PLACED, 1, 0, "m", 1, "side", 0, "")
    progress = Progress(JobState.RUNNING, True, (row,))
    fold_records(world, Stream.JOBS, make_job_record(), ProgressRecord(JOB, progress))
    assert world.agreed.jobs.get(JOB).progress is None
