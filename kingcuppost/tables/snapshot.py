"""The rows that one part of a snapshot contains."""

from dataclasses import dataclass

from kingcuppost.tables.agreed_rows import (
    EndedJob,
    ExplainedKey,
    KeyClaim,
    LowerBounds,
    RecentRecord,
    SchedulingLease,
)
from kingcuppost.tables.fleet import AvailabilityZone, Entry, Minion, Worker
from kingcuppost.tables.job import Gang, Job
from kingcuppost.tables.setting import Setting
from kingcuppost.tables.team import Team

__all__ = ["AgreedSlice"]


@dataclass(frozen=True, slots=True)
class AgreedSlice:
    """A subset of the rows of the agreed tables, each table in its order.

    The attributes are those of `Agreed`. Only the first part of a snapshot contains
    `lease` and `floors`, which are single rows and not tables.
    """

    teams: tuple[Team, ...] = ()
    availability_zones: tuple[AvailabilityZone, ...] = ()
    workers: tuple[Worker, ...] = ()
    minions: tuple[Minion, ...] = ()
    entries: tuple[Entry, ...] = ()
    jobs: tuple[Job, ...] = ()
    gangs: tuple[Gang, ...] = ()
    ended_gangs: tuple[Gang, ...] = ()
    settings: tuple[Setting, ...] = ()
    key_claims: tuple[KeyClaim, ...] = ()
    recent: tuple[RecentRecord, ...] = ()
    ended_jobs: tuple[EndedJob, ...] = ()
    explained_keys: tuple[ExplainedKey, ...] = ()
    lease: SchedulingLease | None = None
    floors: LowerBounds | None = None
