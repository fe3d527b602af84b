"""World of a process: all its tables."""

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
from kingcuppost.tables.connections import Connections
from kingcuppost.tables.deadline_queue import DeadlineQueue
from kingcuppost.tables.deadlines import Deadlines
from kingcuppost.tables.event import Event
from kingcuppost.tables.fair_queue import FairQueue
from kingcuppost.tables.fleet import AvailabilityZone, Entry, Minion, Worker
from kingcuppost.tables.gang_view import GangView, WorkerOrderView
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
from kingcuppost.tables.task import GangMonitor, MemberStatus, MemberTask
from kingcuppost.tables.team import Team
from kingcuppost.utils.clock import Clock

__all__ = ["Agreed", "World"]

MAX_EVENTS = 4_096  # events that a process keeps for the time line


@dataclass
class Agreed:
    """State that follows from the log; equal in processes with the same folded offset.

    Only the fold writes these tables.
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
    """Tables of one process; systems read and write nothing else.

    Attributes
    ----------
    cfg : ProcessConfig
        Configuration of the process, from its file.
    identity : Identity
        Role, name, incarnation and location of the process.
    clock : Clock
        Source of wall time for records and events; systems receive monotonic time
        as an argument.
    rng : random.Random
        The only source of randomness.
    agreed : Agreed
        State that follows from the log.
    log_view : LogView
        Progress of this process in following the log.
    snapshot_progress : SnapshotProgress
        Snapshots observed in the log, and the draft of a new one.
    holder_monitor : HolderMonitor
        State of an entry's pings of the lease holder.
    announcement : Announcement
        Bound ports, and state of the announcement and of the graceful stop.
    inbox, outbox : Mailbox
        Messages from the edges to the systems, and from the systems to the edges.
    deadlines : Deadlines
        Times at which systems need another tick.
    proposals : Table of Proposal
        Records that this process proposes for the log.
    fold_results : dict of str to FoldResult
        Results of the last fold for records that this process proposed.
    requests : Table of Request
        Requests that an entry has not answered yet.
    request_queue : FairQueue
        Queued requests at an entry.
    request_deadlines, resend_deadlines : DeadlineQueue
        When requests expire, and when attempts are sent again.
    pause_deadlines, hold_deadlines : DeadlineQueue
        When minions that failed are tried again, and when a sidecar answers entries
        that wait for an attempt that it is still running.
    pools : ServicePools
        Minions to which this entry may send another attempt.
    retry_budgets : Table of RetryBudget
        Retries that each team has left at this entry.
    attempts : Table of Attempt
        Attempts that an entry has sent and whose outcome is open.
    health : Table of MinionHealth
        Free slots, service times and failures of minions as an entry observes them.
    served_attempts : Table of ServedAttempt
        Attempts that a sidecar has accepted, finished ones included.
    pending_exchanges : Table of PendingExchange
        Entries' exchanges that wait at a sidecar for the end of an attempt.
    reply_cache : ReplyCache
        Finished attempts among `served_attempts`, in the order of eviction.
    pending_heartbeats : Table of PendingHeartbeat
        Heartbeats that entries have not answered yet.
    heartbeat_view, worker_order_view : HeartbeatView, WorkerOrderView
        Schedules of a sidecar's heartbeats and of its orders to the worker.
    gang_view : GangView
        Progress of gangs as the scheduler tracks it.
    tasks : Table of MemberTask
        Tasks of gang members at a sidecar.
    gang_monitors : Table of GangMonitor
        Monitors of the gangs whose leader a sidecar is.
    member_statuses : Table of MemberStatus
        Gang members as their sidecars last reported them to the scheduler.
    events : deque of Event
        The newest events of the process.
    event_count : int
        Number of events since the start of the process.
    tally : Tally
        Counters and histograms for the metrics.
    service_ms : float
        Smoothed service time of the minion beside a sidecar, in ms.
    stopping : bool
        Whether a graceful stop has begun.
    scheduling : SchedulingState
        State of the scheduler outside the fold: free capacity, shares and the queue.
    connections : Connections
        Connections of clients, with their limits; only the edges use them.
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
    worker_order_view: WorkerOrderView = field(default_factory=WorkerOrderView)
    gang_view: GangView = field(default_factory=GangView)
    tasks: Table[MemberTask] = field(
        default_factory=lambda: Table("task_id", ("state", "job"))
    )
    gang_monitors: Table[GangMonitor] = field(default_factory=lambda: Table("key"))
    member_statuses: Table[MemberStatus] = field(
        default_factory=lambda: Table("member_id", ("key",))
    )
    events: deque[Event] = field(default_factory=lambda: deque(maxlen=MAX_EVENTS))
    event_count: int = 0
    tally: Tally = field(default_factory=Tally)
    service_ms: float = 0.0
    stopping: bool = False
    scheduling: SchedulingState = field(default_factory=SchedulingState)
    connections: Connections = field(default_factory=Connections)
