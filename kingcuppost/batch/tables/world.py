"""World of a batch process: all its tables."""

import random
from dataclasses import dataclass, field

from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.decision import DecisionRound
from kingcuppost.batch.tables.departures import DepartureWave
from kingcuppost.batch.tables.fleet import (
    Configuration,
    EntryMember,
    HolderView,
    MinionLease,
    MinionLoad,
    MinionRow,
    Speed,
)
from kingcuppost.batch.tables.job import Job, MinionIncarnation, ProgressParts, TaskName
from kingcuppost.batch.tables.lease_writes import LeaseWrites
from kingcuppost.batch.tables.messages import (
    AppendEnded,
    CallerCall,
    RunningRun,
    Stream,
    SyncCall,
)
from kingcuppost.batch.tables.overload import RunningWork, ServedShare
from kingcuppost.batch.tables.pending_calls import PendingCall
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.plan_writes import PlanWrites
from kingcuppost.batch.tables.sidecar import OrderedRun, SidecarState
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.waiting import Wait
from kingcuppost.tables.connections import Connections
from kingcuppost.tables.deadlines import Deadlines
from kingcuppost.tables.mailbox import Mailbox
from kingcuppost.tables.metrics import Tally
from kingcuppost.tables.table import Table
from kingcuppost.utils.clock import NEVER_MS, Clock

__all__ = [
    "Agreed",
    "BatchWorld",
    "LogLine",
    "OrderedRun",
    "OrphanRun",
    "PendingSync",
    "Schedule",
    "SidecarState",
    "StreamView",
]


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of the process's log: a decision, or a change of state.

    Attributes
    ----------
    part : str
        Part of the process that the line concerns, such as ``"lease"``.
    text : str
        Message as one sentence.
    fields : dict of str to str, int or float
        Further values by name.
    """

    part: str
    text: str
    fields: dict[str, str | int | float]


@dataclass(slots=True)
class StreamView:
    """Position up to which a stream has been read.

    Attributes
    ----------
    end : int
        Offset after the last folded record; -1 before the first read.
    fresh_ms : int or None
        Time at which the newest answered read was sent.
    gap_ended_ms : int
        Time at which reading resumed after a gap.
    """

    end: int = -1
    fresh_ms: int | None = None
    gap_ended_ms: int = 0


@dataclass(slots=True)
class Agreed:
    """State derived from the log.

    Apart from `views` and the local time in `holder`, it is the same in all entries
    that have read the log up to the same offsets.

    Attributes
    ----------
    progress_parts : dict of str to ProgressParts
        Progress that was stored in parts, by job.
    configuration_offset : int
        Offset of the record of the configuration; -1 if there is none.
    closed_zones : dict of str to int
        Offset of the record that took an availability zone out of service, by zone.
    speeds : dict of str to Speed
        Estimated speeds of machines in the newest record of speeds, by sidecar.
    views : dict of Stream to StreamView
        Position up to which this process has read each stream.
    """

    jobs: Table[Job] = field(default_factory=lambda: Table("id", ("queue",)))
    progress_parts: dict[str, ProgressParts] = field(default_factory=dict)
    entries: Table[EntryMember] = field(default_factory=lambda: Table("name"))
    holder: HolderView = field(default_factory=HolderView)
    configuration: Configuration | None = None
    configuration_offset: int = -1
    closed_zones: dict[str, int] = field(default_factory=dict)
    speeds: dict[str, Speed] = field(default_factory=dict)
    views: dict[Stream, StreamView] = field(
        default_factory=lambda: {stream: StreamView() for stream in Stream}
    )


@dataclass(slots=True)
class PendingSync:
    """A sidecar's report whose answer is delayed until there are orders or results.

    Attributes
    ----------
    until_ms : int
        Time at which it is answered in any case.
    """

    call: SyncCall
    until_ms: int


@dataclass(slots=True)
class OrphanRun:
    """A run at a minion that is not the current run of any task.

    Attributes
    ----------
    stop_sent_ms : int or None
        Time at which its stop was last sent to the sidecar.
    """

    run: RunningRun
    stop_sent_ms: int | None = None


@dataclass(slots=True)
class Schedule:
    """Scheduling state of an entry, most of it used only while it holds the lease.

    Attributes
    ----------
    term : int
        Term that this process holds; -1 if none.
    jitter_ms : int
        Random delay of this entry's claims, so that entries do not claim at the same
        time.
    claim_sent_ms : int
        Time at which the newest claim was sent; a new term's authority counts from it.
    is_open : bool
        Whether the log rejects writers of older terms.
    is_loaded : bool
        Whether the plans were loaded from the agreed state.
    unloaded_jobs : list of str or None
        Jobs whose plans are not loaded yet, the next one last; None before and after
        the load.
    loaded_ms, minion_added_ms : int
        Time at which they were loaded, and time at which a minion was last added.
    required_offset : int
        Offset up to which the jobs stream must be folded before the plans are loaded.
    plan_writes : PlanWrites
        State of the writing of plans.
    lease_writes : LeaseWrites
        State of the writing of announcements, claims, fences and renewals.
    unwritten_jobs : dict of str to None
        Jobs whose plans have changed since the last append.
    lost_term : int
        Newest term that this process held and gave up.
    authority_until_ms : int
        Time before which no other entry can have opened a term.
    extension_until_ms : int
        Time until which this process may extend minion leases.
    plans : dict of str to Plan
        Plans of all jobs, by job.
    loads : dict of MinionIncarnation to MinionLoad
        Placed runs by minion incarnation, kept up to date by `task_phases`.
    minions : Table of MinionRow
        Minions that sidecars have reported to this process.
    departure_waves : dict of str to DepartureWave
        The newest wave of departures of each service.
    orphans : dict of str to dict
        Runs that belong to no task, by sidecar, and by task and run.
    removals : dict of str to None
        Ended jobs whose records are to be removed from the log.
    pending_runs : dict of TaskName to tuple of Plan and Task
        Runs whose start is not confirmed yet, or that are to be stopped.
    pending_syncs : dict of str to PendingSync
        Reports whose answer is delayed, by sidecar.
    sync_ends : list of tuple of int and str
        Heap of the times at which delayed reports are answered in any case, with their
        sidecars; also holds those of reports that were answered before.
    reported_results : dict of str to None
        Sidecars whose delayed report has ended or refused runs.
    leases : Table of MinionLease
        Leases of all minion incarnations that may hold runs.
    next_expiry_ms : int
        Time before which none of these leases expires.
    reported_ends : dict of str to dict
        Job and plan version that must be in the log before an end is acknowledged, by
        sidecar and number of the end.
    changed_jobs : dict of str to None
        Jobs that were added, cancelled or removed, whose plans are not updated yet.
    append_results : list of AppendEnded
        Answers to all appends except those of calls, until they are handled.
    speeds : dict of str to Speed
        Estimated speeds of the machines, by sidecar.
    speeds_changed : bool
        Whether the speeds differ from their newest record.
    write_speeds_at_ms : int
        Earliest time of the next record of speeds.
    decide_at_ms : int
        Time of the next decision even if nothing has changed.
    is_placement_paused : bool
        Whether nothing is placed since the operators' records may be outdated.
    waits : Table of Wait
        Ready steps with tasks that the newest decision did not place.
    check_waits_at_ms : int
        Time at which long waits are next logged.
    inputs_changed : bool
        Whether something has changed that decisions depend on.
    decision_round : DecisionRound or None
        The decision under way, which goes on in the next tick; None between decisions.
    round_count : int
        Number of rounds of decisions in this term.
    cut_logged_ms : int
        Time at which a decision of several ticks was last logged.
    explain_after_ms : int
        Time before which no further placement is explained.
    added_plans : dict of str to None
        Jobs whose plans were added since the units of all plans were last listed.
    running_work : dict of tuple of str and int to RunningWork
        Remaining work of the runs by service and priority; `task_phases` keeps it up to
        date.
    served_shares : dict of tuple of int and str to ServedShare
        Jobs that the order under overload has seen, by rank and service.
    demotion_logged_ms : int
        Time at which the demotion of a job was last logged.
    """

    term: int = -1
    jitter_ms: int = 0
    claim_after_ms: int = 0
    announce_after_ms: int = 0
    is_open: bool = False
    required_offset: int = -1
    is_loaded: bool = False
    unloaded_jobs: list[str] | None = None
    loaded_ms: int = 0
    minion_added_ms: int = 0
    lost_term: int = 0
    claim_sent_ms: int = 0
    authority_until_ms: int = 0
    extension_until_ms: int = 0
    renew_at_ms: int = 0
    check_runs_at_ms: int = 0
    remove_jobs_at_ms: int = 0
    removals: dict[str, None] = field(default_factory=dict)
    check_minions_at_ms: int = 0
    write_checkpoints_at_ms: int = 0
    plan_writes: PlanWrites = field(default_factory=PlanWrites)
    lease_writes: LeaseWrites = field(default_factory=LeaseWrites)
    unwritten_jobs: dict[str, None] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
    loads: dict[MinionIncarnation, MinionLoad] = field(default_factory=dict)
    minions: Table[MinionRow] = field(
        default_factory=lambda: Table("sidecar", ("incarnation",))
    )
    departure_waves: dict[str, DepartureWave] = field(default_factory=dict)
    pending_runs: dict[TaskName, tuple[Plan, Task]] = field(default_factory=dict)
    leases: Table[MinionLease] = field(
        default_factory=lambda: Table("incarnation", ("sidecar",))
    )
    next_expiry_ms: int = NEVER_MS
    pending_syncs: dict[str, PendingSync] = field(default_factory=dict)
    sync_ends: list[tuple[int, str]] = field(default_factory=list)
    reported_results: dict[str, None] = field(default_factory=dict)
    reported_ends: dict[str, dict[int, tuple[str, int]]] = field(default_factory=dict)
    orphans: dict[str, dict[tuple[str, int], OrphanRun]] = field(default_factory=dict)
    changed_jobs: dict[str, None] = field(default_factory=dict)
    append_results: list[AppendEnded] = field(default_factory=list)
    speeds: dict[str, Speed] = field(default_factory=dict)
    speeds_changed: bool = False
    write_speeds_at_ms: int = 0
    inputs_changed: bool = True
    decide_at_ms: int = 0
    is_placement_paused: bool = False
    waits: Table[Wait] = field(default_factory=lambda: Table("step"))
    check_waits_at_ms: int = 0
    decision_round: DecisionRound | None = None
    round_count: int = 0
    cut_logged_ms: int = 0
    explain_after_ms: int = 0
    added_plans: dict[str, None] = field(default_factory=dict)
    running_work: dict[tuple[str, int], RunningWork] = field(default_factory=dict)
    served_shares: dict[tuple[int, str], ServedShare] = field(default_factory=dict)
    demotion_logged_ms: int = 0


@dataclass
class BatchWorld:
    """Tables of one process; systems read and write nothing else.

    Attributes
    ----------
    cfg : DaemonConfig
        Settings of the process.
    incarnation : str
        Identifier of this start of the process.
    started_ms : int
        Time at which the process started.
    log_lines : list of LogLine
        Log lines that are not written yet.
    stopping : bool
        Whether the process was requested to stop.
    earliest_stop_ms, stop_deadline_ms : int
        Time before which the process does not end, and time at which it ends in any
        case.
    pending_calls : dict of str to PendingCall
        Calls that wait for the log, by identifier of their append.
    lookups : list of CallerCall
        Calls that concern an unknown job, until the jobs stream was read to where it
        ended when they came.
    lookup_read_ms : int
        Time at which the newest read for such calls was requested.
    sidecar_state : SidecarState
        State of a sidecar; unused by an entry.
    queue_order : str
        Name of the order in which waiting work of one rank is scheduled; at first as in
        the settings.
    connections : Connections
        Connections of clients, with their limits; only the edges use them.
    """

    cfg: DaemonConfig
    incarnation: str
    clock: Clock
    rng: random.Random
    inbox: Mailbox = field(default_factory=Mailbox)
    outbox: Mailbox = field(default_factory=Mailbox)
    deadlines: Deadlines = field(default_factory=Deadlines)
    tally: Tally = field(default_factory=Tally)
    log_lines: list[LogLine] = field(default_factory=list)
    stopping: bool = False
    earliest_stop_ms: int = 0
    stop_deadline_ms: int = 0
    agreed: Agreed = field(default_factory=Agreed)
    schedule: Schedule = field(default_factory=Schedule)
    pending_calls: dict[str, PendingCall] = field(default_factory=dict)
    lookups: list[CallerCall] = field(default_factory=list)
    lookup_read_ms: int = -1
    sidecar_state: SidecarState = field(default_factory=SidecarState)
    connections: Connections = field(default_factory=Connections)
    started_ms: int = field(init=False)
    queue_order: str = field(init=False)

    def __post_init__(self) -> None:
        self.queue_order = self.cfg.queue_order
        self.started_ms = self.clock.now_ms()

    def note(self, part: str, text: str, **fields: str | int | float) -> None:
        """Add a line to the process's log."""
        self.log_lines.append(LogLine(part, text, fields))
