"""All tables of one process."""

import random
from dataclasses import dataclass, field

from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.fleet import (
    Configuration,
    EntryMember,
    HolderView,
    MinionRow,
    Speed,
)
from kingcuppost.batch.tables.job import Job, MinionIncarnation, Plan, Task, TaskName
from kingcuppost.batch.tables.messages import (
    Append,
    AppendEnded,
    CallerCall,
    EndedRun,
    MinionReport,
    RefusedRun,
    RunningRun,
    StartOrder,
    Stream,
    SyncCall,
)
from kingcuppost.tables.config import Address
from kingcuppost.tables.deadlines import Deadlines
from kingcuppost.tables.mailbox import Mailbox
from kingcuppost.tables.metrics import Tally
from kingcuppost.tables.table import Table
from kingcuppost.utils.clock import Clock

__all__ = [
    "Agreed",
    "BatchWorld",
    "PendingCall",
    "PendingSync",
    "SidecarState",
    "OrderedRun",
    "LogLine",
    "Schedule",
    "OrphanRun",
    "StreamView",
]


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line for the log: a decision or a change of what the process believes."""

    part: str
    text: str
    fields: dict[str, str | int | float]


@dataclass(slots=True)
class StreamView:
    """How far a stream was read.

    Attributes
    ----------
    end : int
        Offset behind the last record that was folded; -1 before the first read.
    fresh_ms : int or None
        When the newest read that was answered had been sent.
    gap_ended_ms : int
        When the stream was followed again after a gap.
    """

    end: int = -1
    fresh_ms: int | None = None
    gap_ended_ms: int = 0


@dataclass(slots=True)
class Agreed:
    """What the log says, the same in every entry that has read as far."""

    jobs: Table[Job] = field(default_factory=lambda: Table("id", ("queue",)))
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
class PendingCall:
    """A caller's call that waits for the log."""

    call: CallerCall
    job_id: str
    append: Append
    attempts: int = 1
    has_unknown_outcome: bool = False


@dataclass(slots=True)
class PendingSync:
    """A sidecar's report that waits for orders."""

    call: SyncCall
    until_ms: int


@dataclass(slots=True)
class OrphanRun:
    """A run at a minion that is no task's present run.

    Attributes
    ----------
    sent_ms : int or None
        When its stop was last handed to the sidecar.
    """

    run: RunningRun
    sent_ms: int | None = None


@dataclass(slots=True)
class Schedule:
    """Working tables of the holder of the scheduling lease.

    Attributes
    ----------
    term : int
        Term that this process holds; -1 if none.
    required_offset : int
        Offset that must be folded before the first decision.
    sequence : int
        Number of the newest append of the term.
    in_flight : Append or None
        The append that waits for its answer.
    in_flight_versions : dict of str to int
        Versions of the plans that it carries.
    dirty : dict of str to None
        Jobs whose plan has changed since the last append.
    lost_term : int
        Newest term that this process has held and lost.
    authority_until_ms : int
        Until when no other entry can have opened a term.
    renewals : dict of str to int
        When each renewal that waits for its answer was sent.
    orphans : dict of str to dict
        Runs that are no task's, by sidecar, task and run.
    removals : dict of str to None
        Ended jobs whose records are to be removed.
    pending_runs : dict of TaskName to tuple of Plan and Task
        Runs that were not seen to begin yet, or are to be stopped.
    lapse_times_ms : dict of Life to int
        When the runs of a life have surely lapsed.
    incarnation_sidecars : dict of Life to str
        Sidecar beside the minion of a life.
    speeds : dict of str to Speed
        How fast machines work, by sidecar.
    speeds_changed : bool
        Whether they differ from their newest record.
    write_speeds_at_ms : int
        When they may be written next.
    decide_at_ms : int
        When the decisions are made again though nothing has changed.
    """

    term: int = -1
    jitter_ms: int = 0
    claim_after_ms: int = 0
    announce_after_ms: int = 0
    fence_id: str = ""
    is_open: bool = False
    required_offset: int = -1
    is_loaded: bool = False
    lost_term: int = 0
    claim_sent_ms: int = 0
    authority_until_ms: int = 0
    renew_at_ms: int = 0
    check_runs_at_ms: int = 0
    prune_at_ms: int = 0
    removals: dict[str, None] = field(default_factory=dict)
    check_minions_at_ms: int = 0
    write_checkpoints_at_ms: int = 0
    renewals: dict[str, int] = field(default_factory=dict)
    sequence: int = 0
    in_flight: Append | None = None
    in_flight_versions: dict[str, int] = field(default_factory=dict)
    dirty: dict[str, None] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
    minions: Table[MinionRow] = field(
        default_factory=lambda: Table("sidecar", ("incarnation",))
    )
    pending_runs: dict[TaskName, tuple[Plan, Task]] = field(default_factory=dict)
    lapse_times_ms: dict[MinionIncarnation, int] = field(default_factory=dict)
    incarnation_sidecars: dict[MinionIncarnation, str] = field(default_factory=dict)
    pending_syncs: dict[str, PendingSync] = field(default_factory=dict)
    reported_ends: dict[str, dict[int, tuple[str, int]]] = field(default_factory=dict)
    orphans: dict[str, dict[tuple[str, int], OrphanRun]] = field(default_factory=dict)
    changed_jobs: dict[str, None] = field(default_factory=dict)
    append_results: list[AppendEnded] = field(default_factory=list)
    speeds: dict[str, Speed] = field(default_factory=dict)
    speeds_changed: bool = False
    write_speeds_at_ms: int = 0
    changed: bool = True
    decide_at_ms: int = 0


@dataclass(slots=True)
class OrderedRun:
    """A run that the sidecar has orders for.

    Attributes
    ----------
    is_order_pending : bool
        Whether an order to the minion waits for its answer.
    retry_ms : int
        When the order may go out again.
    started : bool
        Whether the minion has taken the start.
    may_still_start : bool
        Whether a copy of the start may yet be carried out.
    stop : bool
        Whether the run is to end.
    stopped_ms : int or None
        When the minion took the stop.
    """

    order: StartOrder
    is_order_pending: bool = False
    retry_ms: int = 0
    started: bool = False
    may_still_start: bool = False
    stop: bool = False
    stopped_ms: int | None = None


@dataclass(slots=True)
class SidecarState:
    """A sidecar's view of its minion and of the scheduler.

    Attributes
    ----------
    clock_ms, clock_at_ms : int
        A reading of the minion's clock, and when it arrived on ours.
    until_ms : int
        End of the lease that the scheduler's last answer allows, on the minion's
        clock.
    unreachable_entry, unreachable_until_ms : Address or None, int
        An entry that did not answer, and until when it is passed over.
    """

    address: Address | None = None
    minion: MinionReport | None = None
    sequence: int = -1
    listed: bool = False
    clock_ms: int | None = None
    clock_at_ms: int = 0
    until_ms: int | None = None
    is_hold_open: bool = False
    hold_after_ms: int = 0
    hold_failed: bool = False
    acknowledged_end: int = 0
    running: dict[tuple[str, int], RunningRun] = field(default_factory=dict)
    ended: dict[int, EndedRun] = field(default_factory=dict)
    refused: dict[tuple[str, int], RefusedRun] = field(default_factory=dict)
    runs: dict[tuple[str, int], OrderedRun] = field(default_factory=dict)
    term: int = 0
    sync_number: int = 0
    pending_syncs: dict[int, int] = field(default_factory=dict)
    sync_after_ms: int = 0
    unreachable_entry: Address | None = None
    unreachable_until_ms: int = 0
    dirty: bool = True
    holder: Address | None = None
    entries: tuple[Address, ...] = ()
    next_entry: int = 0
    last_reply_ms: int = 0
    list_after_ms: int = 0


@dataclass
class BatchWorld:
    """Tables of one process; systems read and write nothing else."""

    cfg: DaemonConfig
    incarnation: str
    clock: Clock
    rng: random.Random
    inbox: Mailbox = field(default_factory=Mailbox)
    outbox: Mailbox = field(default_factory=Mailbox)
    deadlines: Deadlines = field(default_factory=Deadlines)
    tally: Tally = field(default_factory=Tally)
    lines: list[LogLine] = field(default_factory=list)
    stopping: bool = False
    earliest_stop_ms: int = 0
    stop_deadline_ms: int = 0
    agreed: Agreed = field(default_factory=Agreed)
    schedule: Schedule = field(default_factory=Schedule)
    calls: dict[str, PendingCall] = field(default_factory=dict)
    sidecar_state: SidecarState = field(default_factory=SidecarState)

    def note(self, part: str, text: str, **fields: str | int | float) -> None:
        """Add a line to the log."""
        self.lines.append(LogLine(part, text, fields))
