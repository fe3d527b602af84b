"""Views of single rows, of whole tables and of the state of the process."""

from dataclasses import dataclass

from kingcuppost.settings import KEYS, list_ancestors, resolve_setting
from kingcuppost.systems.views.registry import views
from kingcuppost.tables.agreement import SchedulingLease
from kingcuppost.tables.event import Event
from kingcuppost.tables.fleet import AvailabilityZone, Entry, Minion, Worker
from kingcuppost.tables.identity import Identity
from kingcuppost.tables.job import EffectiveValue, Gang, Job
from kingcuppost.tables.setting import Setting
from kingcuppost.tables.team import Team
from kingcuppost.tables.world import World

__all__ = ["BranchView", "EventList", "FleetView", "JobView", "RowList", "StatusView"]


@dataclass(frozen=True, slots=True)
class RowList:
    """Rows of one table."""

    rows: tuple[Team | AvailabilityZone | Job | Setting, ...]


@dataclass(frozen=True, slots=True)
class JobView:
    """A job with its gangs that have not ended."""

    job: Job
    gangs: tuple[Gang, ...]


@dataclass(frozen=True, slots=True)
class BranchView:
    """Settings on a branch and its ancestors, with its effective values."""

    path: str
    settings: tuple[Setting, ...]
    effective: tuple[EffectiveValue, ...]


@dataclass(frozen=True, slots=True)
class FleetView:
    """Entries, minions and workers that the log has recorded."""

    entries: tuple[Entry, ...]
    minions: tuple[Minion, ...]
    workers: tuple[Worker, ...]


@dataclass(frozen=True, slots=True)
class StatusView:
    """How far a process has read the log, and its work in progress.

    Attributes
    ----------
    identity : Identity
        The process that answers.
    folded_offset, head_offset : int
        Log offset applied last, and the newest one known.
    fresh_age_ms : int
        Time since the last read at the head of the log; -1 before the first one.
    lease : SchedulingLease
        Holder and term of the scheduling lease.
    proposals, requests, attempts : int
        Number of those that are open.
    stopping : bool
        Whether a graceful stop is in progress.
    """

    identity: Identity
    folded_offset: int
    head_offset: int
    fresh_age_ms: int
    lease: SchedulingLease
    proposals: int
    requests: int
    attempts: int
    stopping: bool


@dataclass(frozen=True, slots=True)
class EventList:
    """Events of the time line that one process has recorded."""

    events: tuple[Event, ...]


@views.register("team")
def show_team(world: World, name: str) -> Team | None:
    """Return a team by name."""
    return world.agreed.teams.get(name)


@views.register("teams")
def show_teams(world: World, argument: str) -> RowList:
    """Return all teams."""
    return RowList(tuple(world.agreed.teams))


@views.register("availability_zone")
def show_zone(world: World, name: str) -> AvailabilityZone | None:
    """Return an availability zone by name."""
    return world.agreed.availability_zones.get(name)


@views.register("availability_zones")
def show_zones(world: World, argument: str) -> RowList:
    """Return all availability zones."""
    return RowList(tuple(world.agreed.availability_zones))


@views.register("job")
def show_job(world: World, name: str) -> JobView | None:
    """Return a job by name, with its gangs that have not ended."""
    job = world.agreed.jobs.get(name)
    if job is None:
        return None
    return JobView(job, tuple(world.agreed.gangs.find("job", name)))


@views.register("jobs")
def show_jobs(world: World, argument: str) -> RowList:
    """Return all jobs."""
    return RowList(tuple(world.agreed.jobs))


@views.register("settings")
def show_branch(world: World, path: str) -> BranchView:
    """Return the settings on a branch and its ancestors, and its effective values."""
    rows = [
        row
        for branch in list_ancestors(path)
        for row in world.agreed.settings.find("path", branch)
    ]
    values = tuple(resolve_setting(world.agreed, path, key) for key in sorted(KEYS))
    return BranchView(path, tuple(rows), values)


@views.register("fleet")
def show_fleet(world: World, argument: str) -> FleetView:
    """Return entries, minions and workers."""
    agreed = world.agreed
    return FleetView(
        tuple(agreed.entries), tuple(agreed.minions), tuple(agreed.workers)
    )


@views.register("status")
def show_status(world: World, argument: str) -> StatusView:
    """Return the log offsets and open work of this process."""
    view = world.log_view
    now_ms = world.clock.now_ms()
    return StatusView(
        world.identity,
        view.folded_offset,
        view.head_offset,
        now_ms - view.fresh_as_of_ms if view.fresh_as_of_ms >= 0 else -1,
        world.agreed.lease,
        len(world.proposals),
        len(world.requests),
        len(world.attempts),
        world.stopping,
    )


@views.register("events")
def show_events(world: World, argument: str) -> EventList:
    """Return the events that this process has recorded."""
    return EventList(tuple(world.events))
