"""Views of single rows and of whole tables."""

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
    """A job with the gangs that hold accelerators for it."""

    job: Job
    gangs: tuple[Gang, ...]


@dataclass(frozen=True, slots=True)
class BranchView:
    """A branch with the keys set on it and the values that hold there."""

    path: str
    settings: tuple[Setting, ...]
    effective: tuple[EffectiveValue, ...]


@dataclass(frozen=True, slots=True)
class FleetView:
    """Entries, minions and workers as the log knows them."""

    entries: tuple[Entry, ...]
    minions: tuple[Minion, ...]
    workers: tuple[Worker, ...]


@dataclass(frozen=True, slots=True)
class StatusView:
    """How far a process has followed the log, and what it has open.

    Attributes
    ----------
    identity : Identity
        Who answers.
    folded_offset, head_offset : int
        Log offsets.
    fresh_age_ms : int
        Age of the last read at the head; -1 before any.
    lease : SchedulingLease
        The present scheduling term.
    proposals, requests, attempts : int
        Rows that are open.
    stopping : bool
        Whether a graceful stop is under way.
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
    """A process's part of the time line."""

    events: tuple[Event, ...]


@views.register("team")
def show_team(world: World, argument: str) -> Team | None:
    """Return a team."""
    return world.agreed.teams.get(argument)


@views.register("teams")
def show_teams(world: World, argument: str) -> RowList:
    """Return all teams."""
    return RowList(tuple(world.agreed.teams))


@views.register("availability_zone")
def show_zone(world: World, argument: str) -> AvailabilityZone | None:
    """Return an availability zone."""
    return world.agreed.availability_zones.get(argument)


@views.register("availability_zones")
def show_zones(world: World, argument: str) -> RowList:
    """Return all availability zones."""
    return RowList(tuple(world.agreed.availability_zones))


@views.register("job")
def show_job(world: World, argument: str) -> JobView | None:
    """Return a job with its gangs."""
    job = world.agreed.jobs.get(argument)
    if job is None:
        return None
    return JobView(job, tuple(world.agreed.gangs.find("job", argument)))


@views.register("jobs")
def show_jobs(world: World, argument: str) -> RowList:
    """Return all jobs."""
    return RowList(tuple(world.agreed.jobs))


@views.register("settings")
def show_branch(world: World, argument: str) -> BranchView:
    """Return a branch of the settings tree."""
    rows = [
        row
        for branch in list_ancestors(argument)
        for row in world.agreed.settings.find("path", branch)
    ]
    values = tuple(resolve_setting(world.agreed, argument, key) for key in sorted(KEYS))
    return BranchView(argument, tuple(rows), values)


@views.register("fleet")
def show_fleet(world: World, argument: str) -> FleetView:
    """Return entries, minions and workers."""
    agreed = world.agreed
    return FleetView(
        tuple(agreed.entries), tuple(agreed.minions), tuple(agreed.workers)
    )


@views.register("status")
def show_status(world: World, argument: str) -> StatusView:
    """Return how far this process is."""
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
    """Return this process's part of the time line."""
    return EventList(tuple(world.events))
