"""The fold: records in order to rows; what is read twice changes nothing."""

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.fold import fold_streams, is_fresh
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.fleet import Configuration
from kingcuppost.batch.tables.job import Job, JobState, Progress, StepSpec
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

HERE = Address("10.0.0.1", 7000)
JOB = "0123456789abcdef"


@pytest.fixture
def world() -> BatchWorld:
    cfg = DaemonConfig(Role.ENTRY, "entry-0", "zone-a", HERE)
    return make_batch_world(cfg, ManualClock(start_ms=1_000), seed=1)


def read(
    world: BatchWorld,
    stream: Stream,
    *records: Record,
    first: int = 0,
    whole: bool = False,
) -> None:
    now_ms = world.clock.now_ms()
    rows = list(enumerate(records, first))
    end = first + len(records)
    world.inbox.put(RecordsRead(stream, rows, now_ms, end, whole))
    fold_streams(world, now_ms)


def job(spec: str = "text") -> JobRecord:
    return JobRecord(Job(JOB, "q", "t", spec, (StepSpec(1),), 0, -1))


def test_the_first_record_of_a_job_counts(world: BatchWorld) -> None:
    read(world, Stream.JOBS, job("one"), job("two"))
    assert world.agreed.jobs.get(JOB).spec == "one"
    assert world.agreed.jobs.get(JOB).offset == 0


def test_a_whole_listing_drops_what_it_does_not_name(world: BatchWorld) -> None:
    read(world, Stream.JOBS, job())
    read(world, Stream.JOBS, first=9, whole=True)
    assert len(world.agreed.jobs) == 0


def test_progress_and_cancelling_are_kept(world: BatchWorld) -> None:
    progress = Progress(JobState.RUNNING, True, ())
    read(world, Stream.JOBS, job(), ProgressRecord(JOB, progress), CancelRecord(JOB))
    row = world.agreed.jobs.get(JOB)
    assert (row.state, row.begun, row.cancelled) == (JobState.RUNNING, True, True)


def test_a_configuration_never_goes_back(world: BatchWorld) -> None:
    for version in (3, 2):
        read(world, Stream.OPERATORS, ConfigRecord(Configuration(version, (), {}, {})))
    assert world.agreed.configuration.version == 3


def test_zones_go_out_and_come_back(world: BatchWorld) -> None:
    read(world, Stream.OPERATORS, ZoneRecord("a"), ZoneRecord("b"))
    read(world, Stream.OPERATORS, RemovalRecord("zone/a"), first=2)
    assert set(world.agreed.closed_zones) == {"b"}
    read(world, Stream.OPERATORS, first=3, whole=True)
    assert not world.agreed.closed_zones


def test_only_the_newest_term_is_renewed(world: BatchWorld) -> None:
    read(
        world,
        Stream.MEMBERS,
        ClaimRecord("entry-0", HERE, "one"),
        ClaimRecord("entry-1", HERE, "two"),
        RenewRecord(1, released=True),
    )
    holder = world.agreed.holder
    assert (holder.term, holder.name, holder.released) == (2, "entry-1", False)


def test_a_stream_stays_fresh_for_a_while_only(world: BatchWorld) -> None:
    assert not is_fresh(world, Stream.JOBS, 1_000)
    read(world, Stream.JOBS)
    assert is_fresh(world, Stream.JOBS, 3_000)
    assert not is_fresh(world, Stream.JOBS, 3_001)
