"""All tables of one process."""

import random
from collections import deque
from dataclasses import dataclass, field

from kingcuppost.tables.agreed_rows import EndedJob, ExplainedKey, LowerBounds
from kingcuppost.tables.agreement import (
    FoldResult,
    HolderMonitor,
    KeyClaim,
    LogView,
    Proposal,
    RecentRecord,
    SchedulingLease,
    SnapshotProgress,
)
from kingcuppost.tables.announcement import Announcement
from kingcuppost.tables.config import ProcessConfig
from kingcuppost.tables.deadline_queue import DeadlineQueue
from kingcuppost.tables.deadlines import Deadlines
from kingcuppost.tables.event import Event
from kingcuppost.tables.fair_queue import FairQueue
from kingcuppost.tables.fleet import AvailabilityZone, Entry, Minion, Worker
from kingcuppost.tables.gang_view import GangView, WorkerView
from kingcuppost.tables.heartbeat import HeartbeatView, PendingHeartbeat, ReplyCache
from kingcuppost.tables.identity import Identity
from kingcuppost.tables.job import Gang, Job
from kingcuppost.tables.mailbox import Mailbox
from kingcuppost.tables.metrics import Tally
from kingcuppost.tables.pools import ServicePools
from kingcuppost.tables.request import (
    Attempt,
    MinionHealth,
    PendingExchange,
    Request,
    RetryBudget,
    ServedAttempt,
)
from kingcuppost.tables.scheduling import SchedulingState
from kingcuppost.tables.setting import Setting
from kingcuppost.tables.table import Table
from kingcuppost.tables.task import GangMonitor, MemberTask, Reservation
from kingcuppost.tables.team import Team
from kingcuppost.utils.clock import Clock

__all__ = ["Agreed", "World"]

MAX_EVENTS = 4096


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
    floors: LowerBounds = field(default_factory=LowerBounds)


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
    request_queue : FairQueue
        Queued requests at an entry.
    request_deadlines, resend_deadlines, pause_deadlines, hold_deadlines : Agenda
        When requests expire, attempts are sent again, minions that failed are
        tried again, and waiting entries are told that an attempt still runs.
    pools : ServicePools
        Minions that may get another attempt from this entry.
    fold_results : dict of str to Verdict
        What the last fold made of records that this process proposed.
    service_ms : float
        Smoothed service time of the minion beside a sidecar, in ms.
    worker_view, heartbeat_view, gang_view : WorkerView, HeartbeatView, GangView
        How a sidecar's dealings with its worker and the entries go on, and the
        scheduler's with gangs.
    stopping : bool
        Whether a graceful stop is under way.
    tally : Tally
        Counts and durations for the metrics.
    scheduling : Capacity
        What an entry knows of free accelerators, shares and the queue.
    """

    cfg: ProcessConfig
    identity: Identity
    clock: Clock
    rng: random.Random
    agreed: Agreed = field(default_factory=Agreed)
    log_view: LogView = field(default_factory=LogView)
    snapshot_progress: SnapshotProgress = field(default_factory=SnapshotProgress)
    holder_monitor: HolderMonitor = field(default_factory=HolderMonitor)
    announcement: Announcement = field(default_factory=Announcement)
    inbox: Mailbox = field(default_factory=Mailbox)
    outbox: Mailbox = field(default_factory=Mailbox)
    deadlines: Deadlines = field(default_factory=Deadlines)
    proposals: Table[Proposal] = field(
        default_factory=lambda: Table("record_id", ("state",))
    )
    fold_results: dict[str, FoldResult] = field(default_factory=dict)
    requests: Table[Request] = field(
        default_factory=lambda: Table(
            "request_id", ("state", "exchange_id", "team", "key")
        )
    )
    request_queue: FairQueue = field(default_factory=FairQueue)
    request_deadlines: DeadlineQueue = field(default_factory=DeadlineQueue)
    resend_deadlines: DeadlineQueue = field(default_factory=DeadlineQueue)
    pause_deadlines: DeadlineQueue = field(default_factory=DeadlineQueue)
    pools: ServicePools = field(default_factory=ServicePools)
    retry_budgets: Table[RetryBudget] = field(default_factory=lambda: Table("team"))
    attempts: Table[Attempt] = field(
        default_factory=lambda: Table("attempt_id", ("request_id", "minion"))
    )
    health: Table[MinionHealth] = field(default_factory=lambda: Table("minion"))
    served_attempts: Table[ServedAttempt] = field(
        default_factory=lambda: Table("attempt_id", ("state",))
    )
    pending_exchanges: Table[PendingExchange] = field(
        default_factory=lambda: Table("exchange_id", ("attempt_id",))
    )
    hold_deadlines: DeadlineQueue = field(default_factory=DeadlineQueue)
    reply_cache: ReplyCache = field(default_factory=ReplyCache)
    pending_heartbeats: Table[PendingHeartbeat] = field(
        default_factory=lambda: Table("entry")
    )
    heartbeat_view: HeartbeatView = field(default_factory=HeartbeatView)
    worker_view: WorkerView = field(default_factory=WorkerView)
    gang_view: GangView = field(default_factory=GangView)
    tasks: Table[MemberTask] = field(
        default_factory=lambda: Table("task_id", ("state", "job"))
    )
    gang_monitors: Table[GangMonitor] = field(default_factory=lambda: Table("key"))
    reservations: Table[Reservation] = field(
        default_factory=lambda: Table("member_id", ("key",))
    )
    events: deque[Event] = field(default_factory=lambda: deque(maxlen=MAX_EVENTS))
    event_count: int = 0
    tally: Tally = field(default_factory=Tally)
    service_ms: float = 0.0
    stopping: bool = False
    scheduling: SchedulingState = field(default_factory=SchedulingState)
