"""All tables of one process."""

import random
from collections import deque
from dataclasses import dataclass, field

from kingcuppost.tables.agreement import (
    HolderWatch,
    KeyClaim,
    LogView,
    Proposal,
    RecentRecord,
    SchedulingLease,
    Verdict,
)
from kingcuppost.tables.announcement import Announcement
from kingcuppost.tables.capacity import Capacity
from kingcuppost.tables.config import ProcessConfig
from kingcuppost.tables.deadlines import Deadlines
from kingcuppost.tables.event import Event
from kingcuppost.tables.fleet import AvailabilityZone, Entry, Minion, Worker
from kingcuppost.tables.identity import Identity
from kingcuppost.tables.job import Gang, GangState, Job
from kingcuppost.tables.mailbox import Mailbox
from kingcuppost.tables.request import Attempt, Health, Request, ServedAttempt
from kingcuppost.tables.setting import Setting
from kingcuppost.tables.table import Table
from kingcuppost.tables.task import GangWatch, MemberTask, Reservation
from kingcuppost.tables.team import Team
from kingcuppost.utils.clock import Clock

__all__ = ["Agreed", "World"]

EVENTS_KEPT = 4096


@dataclass
class Agreed:
    """Tables that are a fold of the log, the same in every process.

    Only the fold writes them.
    """

    teams: Table[Team] = field(
        default_factory=lambda: Table("name", watchers=("occupancy",))
    )
    availability_zones: Table[AvailabilityZone] = field(
        default_factory=lambda: Table("name", watchers=("zones", "occupancy"))
    )
    workers: Table[Worker] = field(
        default_factory=lambda: Table(
            "name", ("availability_zone", "rack"), watchers=("fleet", "occupancy")
        )
    )
    minions: Table[Minion] = field(
        default_factory=lambda: Table(
            "name", ("service", "worker"), ("health", "occupancy")
        )
    )
    entries: Table[Entry] = field(default_factory=lambda: Table("name"))
    jobs: Table[Job] = field(
        default_factory=lambda: Table(
            "name", ("state", "team"), ("placement", "faults")
        )
    )
    gangs: Table[Gang] = field(
        default_factory=lambda: Table(
            "key", ("state", "team", "job"), ("occupancy", "members", "placement")
        )
    )
    ended_gangs: Table[Gang] = field(default_factory=lambda: Table("key", ("job",)))
    settings: Table[Setting] = field(
        default_factory=lambda: Table("setting_id", ("path",))
    )
    key_claims: Table[KeyClaim] = field(default_factory=lambda: Table("key"))
    recent: Table[RecentRecord] = field(default_factory=lambda: Table("record_id"))
    lease: SchedulingLease = field(default_factory=SchedulingLease)


@dataclass
class World:
    """Everything that the systems of one process read and write.

    Attributes
    ----------
    cfg : ProcessConfig
        Settings of the process, from its file.
    identity : Identity
        Who the process is.
    clock : Clock
        Source of wall time for records and events; systems get monotonic time
        as an argument.
    rng : random.Random
        The only source of randomness.
    agreed : Agreed
        The fold of the log.
    verdicts : dict of str to Verdict
        What the last fold made of records that this process proposed.
    gang_stages : dict of str to tuple
        State of each gang and when this process first saw it, in ms.
    service_ms : float
        Smoothed service time of the minion beside a sidecar, in ms.
    renew_ms, gang_report_ms, beat_ms : int
        When a sidecar next renews leases, reports to leaders, sends heartbeats.
    adopted : bool
        Whether a sidecar knows the tasks that an earlier process left.
    entry_heard_ms : int
        When a sidecar last heard an entry.
    stopping : bool
        Whether a graceful stop is under way.
    capacity : Capacity
        What an entry knows of free accelerators, shares and the queue.
    """

    cfg: ProcessConfig
    identity: Identity
    clock: Clock
    rng: random.Random
    agreed: Agreed = field(default_factory=Agreed)
    log_view: LogView = field(default_factory=LogView)
    holder_watch: HolderWatch = field(default_factory=HolderWatch)
    announcement: Announcement = field(default_factory=Announcement)
    inbox: Mailbox = field(default_factory=Mailbox)
    outbox: Mailbox = field(default_factory=Mailbox)
    deadlines: Deadlines = field(default_factory=Deadlines)
    proposals: Table[Proposal] = field(
        default_factory=lambda: Table("record_id", ("state",))
    )
    verdicts: dict[str, Verdict] = field(default_factory=dict)
    requests: Table[Request] = field(
        default_factory=lambda: Table("request_id", ("state", "exchange_id", "team"))
    )
    attempts: Table[Attempt] = field(
        default_factory=lambda: Table("attempt_id", ("request_id", "minion"))
    )
    health: Table[Health] = field(default_factory=lambda: Table("minion"))
    served: Table[ServedAttempt] = field(
        default_factory=lambda: Table("attempt_id", ("state",))
    )
    tasks: Table[MemberTask] = field(
        default_factory=lambda: Table("task_id", ("state", "job"))
    )
    gang_watches: Table[GangWatch] = field(default_factory=lambda: Table("key"))
    reservations: Table[Reservation] = field(
        default_factory=lambda: Table("member_id", ("key",))
    )
    gang_stages: dict[str, tuple[GangState, int]] = field(default_factory=dict)
    events: deque[Event] = field(default_factory=lambda: deque(maxlen=EVENTS_KEPT))
    event_count: int = 0
    service_ms: float = 0.0
    renew_ms: int = 0
    adopted: bool = False
    gang_report_ms: int = 0
    beat_ms: int = 0
    entry_heard_ms: int = 0
    stopping: bool = False
    capacity: Capacity = field(default_factory=Capacity)
