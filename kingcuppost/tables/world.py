"""All tables of one process."""

import random
from collections import deque
from dataclasses import dataclass, field

from kingcuppost.tables.agenda import Agenda
from kingcuppost.tables.agreement import (
    HolderWatch,
    KeyClaim,
    LogView,
    Proposal,
    RecentRecord,
    SchedulingLease,
    SnapshotWatch,
    Verdict,
)
from kingcuppost.tables.announcement import Announcement
from kingcuppost.tables.capacity import Capacity
from kingcuppost.tables.claims import EndedJob, ExplainedKey, Floors
from kingcuppost.tables.config import ProcessConfig
from kingcuppost.tables.deadlines import Deadlines
from kingcuppost.tables.event import Event
from kingcuppost.tables.fair_queue import FairQueue
from kingcuppost.tables.fleet import AvailabilityZone, Entry, Minion, Worker
from kingcuppost.tables.gang_view import GangView, WorkerView
from kingcuppost.tables.heartbeat import Beat, BeatView, ServedMemory
from kingcuppost.tables.identity import Identity
from kingcuppost.tables.job import Gang, Job
from kingcuppost.tables.mailbox import Mailbox
from kingcuppost.tables.metrics import Tally
from kingcuppost.tables.pools import ServicePools
from kingcuppost.tables.request import (
    Attempt,
    Health,
    HeldExchange,
    Request,
    RetryBudget,
    ServedAttempt,
)
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

    teams: Table[Team] = field(default_factory=lambda: Table("name"))
    availability_zones: Table[AvailabilityZone] = field(
        default_factory=lambda: Table("name")
    )
    workers: Table[Worker] = field(
        default_factory=lambda: Table("name", ("availability_zone", "rack"))
    )
    minions: Table[Minion] = field(
        default_factory=lambda: Table("name", ("service", "worker"))
    )
    entries: Table[Entry] = field(default_factory=lambda: Table("name"))
    jobs: Table[Job] = field(default_factory=lambda: Table("name", ("state", "team")))
    gangs: Table[Gang] = field(
        default_factory=lambda: Table("key", ("state", "team", "job"))
    )
    ended_gangs: Table[Gang] = field(default_factory=lambda: Table("key", ("job",)))
    settings: Table[Setting] = field(
        default_factory=lambda: Table("setting_id", ("path",))
    )
    key_claims: Table[KeyClaim] = field(default_factory=lambda: Table("key"))
    recent: Table[RecentRecord] = field(default_factory=lambda: Table("record_id"))
    lease: SchedulingLease = field(default_factory=SchedulingLease)
    ended_jobs: Table[EndedJob] = field(default_factory=lambda: Table("name"))
    explained_keys: Table[ExplainedKey] = field(default_factory=lambda: Table("key"))
    floors: Floors = field(default_factory=Floors)


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
    waiting : FairQueue
        Queued requests at an entry.
    request_agenda, repeat_agenda, pause_agenda, hold_agenda : Agenda
        When requests expire, attempts are sent again, minions that failed are
        tried again, and waiting entries are told that an attempt still runs.
    pools : ServicePools
        Minions that may get another attempt from this entry.
    verdicts : dict of str to Verdict
        What the last fold made of records that this process proposed.
    service_ms : float
        Smoothed service time of the minion beside a sidecar, in ms.
    worker_view, beat_view, gang_view : WorkerView, BeatView, GangView
        How a sidecar's dealings with its worker and the entries go on, and the
        scheduler's with gangs.
    stopping : bool
        Whether a graceful stop is under way.
    tally : Tally
        Counts and durations for the metrics.
    capacity : Capacity
        What an entry knows of free accelerators, shares and the queue.
    """

    cfg: ProcessConfig
    identity: Identity
    clock: Clock
    rng: random.Random
    agreed: Agreed = field(default_factory=Agreed)
    log_view: LogView = field(default_factory=LogView)
    snapshots: SnapshotWatch = field(default_factory=SnapshotWatch)
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
        default_factory=lambda: Table(
            "request_id", ("state", "exchange_id", "team", "key")
        )
    )
    waiting: FairQueue = field(default_factory=FairQueue)
    request_agenda: Agenda = field(default_factory=Agenda)
    repeat_agenda: Agenda = field(default_factory=Agenda)
    pause_agenda: Agenda = field(default_factory=Agenda)
    pools: ServicePools = field(default_factory=ServicePools)
    retry_budgets: Table[RetryBudget] = field(default_factory=lambda: Table("team"))
    attempts: Table[Attempt] = field(
        default_factory=lambda: Table("attempt_id", ("request_id", "minion"))
    )
    health: Table[Health] = field(default_factory=lambda: Table("minion"))
    served: Table[ServedAttempt] = field(
        default_factory=lambda: Table("attempt_id", ("state",))
    )
    held: Table[HeldExchange] = field(
        default_factory=lambda: Table("exchange_id", ("attempt_id",))
    )
    hold_agenda: Agenda = field(default_factory=Agenda)
    served_memory: ServedMemory = field(default_factory=ServedMemory)
    beats: Table[Beat] = field(default_factory=lambda: Table("entry"))
    beat_view: BeatView = field(default_factory=BeatView)
    worker_view: WorkerView = field(default_factory=WorkerView)
    gang_view: GangView = field(default_factory=GangView)
    tasks: Table[MemberTask] = field(
        default_factory=lambda: Table("task_id", ("state", "job"))
    )
    gang_watches: Table[GangWatch] = field(default_factory=lambda: Table("key"))
    reservations: Table[Reservation] = field(
        default_factory=lambda: Table("member_id", ("key",))
    )
    events: deque[Event] = field(default_factory=lambda: deque(maxlen=EVENTS_KEPT))
    event_count: int = 0
    tally: Tally = field(default_factory=Tally)
    service_ms: float = 0.0
    stopping: bool = False
    capacity: Capacity = field(default_factory=Capacity)
