"""State of a sidecar: its minion, its runs and its contact with the scheduler."""

from dataclasses import dataclass, field

from kingcuppost.batch.tables.job import MinionIncarnation
from kingcuppost.batch.tables.messages import (
    EndedRun,
    MinionHeartbeat,
    MinionReport,
    RefusedRun,
    RunningRun,
    StartOrder,
)
from kingcuppost.tables.config import Address

__all__ = ["OrderedRun", "SidecarState"]


@dataclass(slots=True)
class OrderedRun:
    """A run that the scheduler has ordered the sidecar to start or stop.

    Attributes
    ----------
    is_order_pending : bool
        Whether an order to the minion is not answered yet.
    ordered_ms : int
        Time at which the sidecar received the order.
    retry_ms : int
        Earliest time at which the order is sent again.
    start_accepted_ms : int or None
        Time at which the minion accepted the start, or was seen to have done so.
    may_still_start : bool
        Whether a start whose outcome is unknown may still be carried out.
    start_deadline_ms : int or None
        Time on the minion's clock after which no copy of its start is carried out; None
        if it is unknown.
    should_stop : bool
        Whether the run is to be stopped.
    stop_reason : str
        Why the sidecar itself withdrew the start; empty if it did not.
    is_stop_sent : bool
        Whether a stop was sent to the minion.
    stop_since_ms : int or None
        Time at which a stop was first sent to the minion.
    stop_accepted_ms : int or None
        Time at which the minion accepted the stop.
    """

    order: StartOrder
    ordered_ms: int
    is_order_pending: bool = False
    retry_ms: int = 0
    start_accepted_ms: int | None = None
    may_still_start: bool = False
    start_deadline_ms: int | None = None
    should_stop: bool = False
    stop_reason: str = ""
    is_stop_sent: bool = False
    stop_since_ms: int | None = None
    stop_accepted_ms: int | None = None


@dataclass(slots=True)
class SidecarState:
    """State of a sidecar: its minion, its runs and its contact with the scheduler.

    Attributes
    ----------
    address : Address or None
        Address at which the minion serves requests.
    known_since_ms : int
        Time since which this process keeps the runs of the minion's incarnation.
    heartbeat_sequence : int
        Sequence number of the minion's newest heartbeat.
    listed : bool
        Whether the minion's runs were read in its present incarnation.
    lists_are_whole : bool
        Whether its newest lists had all of its runs and ends.
    contact_ms : int or None
        Time at which its newest list of runs was received; None before the first.
    was_in_contact : bool
        Whether the newest report said that the sidecar is in contact with the minion.
    minion_clock_ms, minion_clock_received_ms : int or None, int
        A reading of the minion's clock, and the local time at which it was received.
    lease_until_ms : int or None
        End of the minion lease as the scheduler's answers allow it, on the minion's
        clock; None before the first extension.
    is_lease_withheld : bool
        Whether the lease is not extended, since the minion stops none of its runs.
    is_hold_open : bool
        Whether a `HoldMinion` request is not answered yet.
    hold_after_ms : int
        Earliest time of the next `HoldMinion` request.
    hold_failed : bool
        Whether the newest `HoldMinion` request failed.
    has_leave_notice : bool
        Whether the minion is said to leave.
    drain_end_ms : int or None
        Time from which a draining minion may end; None while it does not drain.
    ended_minion : MinionIncarnation or None
        Incarnation that has certainly ended, until another one begins.
    successor : MinionHeartbeat or None
        Heartbeat of another incarnation, which has not answered a call yet.
    is_successor_asked : bool
        Whether the call to it is not answered yet.
    acknowledged_end : int
        Number up to which the reported ends are in the log.
    running, refused : dict of tuple of str and int to RunningRun or RefusedRun
        Runs that are present at the minion, and refused runs that the scheduler has not
        processed yet, by task and run.
    ended : dict of int to EndedRun
        Ends of runs that are not yet known to be in the log, by number.
    ordered_runs : dict of tuple of str and int to OrderedRun
        Ordered runs that have neither ended nor been refused, by task and run.
    refused_at_sync : dict of tuple of str and int to int
        Number of the newest report at the time when a run was refused, by task and run,
        while an answer to that report or an earlier one may still order its start.
    term : int
        Newest scheduling term of which the sidecar knows; 0 if none.
    sync_number : int
        Number of the newest report.
    unanswered_syncs : dict of int to bool
        Whether the answer to each unanswered report extends the minion lease, by number
        of the report.
    unreachable_entry, unreachable_until_ms : Address or None, int
        An entry that did not answer, and until when it is skipped.
    sync_after_ms : int
        Earliest time of the next report.
    is_report_due : bool
        Whether a report is due even if another one is still unanswered.
    holder : Address or None
        Entry to which reports are sent, as the likely holder of the lease; None if it
        is unknown.
    entries : tuple of Address
        Newest known addresses of the entries.
    entries_end : int
        Offset up to which the members stream was read for these addresses.
    next_entry_index : int
        Index of the entry to try next while the holder is unknown, before the offset
        of the sidecar is added.
    last_reply_ms : int
        Time of the newest answer by the holder of the lease.
    list_entries_after_ms : int
        Earliest time of the next request for the log's list of entries.
    """

    address: Address | None = None
    minion: MinionReport | None = None
    known_since_ms: int = 0
    heartbeat_sequence: int = -1
    listed: bool = False
    lists_are_whole: bool = True
    contact_ms: int | None = None
    was_in_contact: bool = False
    minion_clock_ms: int | None = None
    minion_clock_received_ms: int = 0
    lease_until_ms: int | None = None
    is_lease_withheld: bool = False
    is_hold_open: bool = False
    hold_after_ms: int = 0
    hold_failed: bool = False
    has_leave_notice: bool = False
    drain_end_ms: int | None = None
    ended_minion: MinionIncarnation | None = None
    successor: MinionHeartbeat | None = None
    is_successor_asked: bool = False
    acknowledged_end: int = 0
    running: dict[tuple[str, int], RunningRun] = field(default_factory=dict)
    ended: dict[int, EndedRun] = field(default_factory=dict)
    refused: dict[tuple[str, int], RefusedRun] = field(default_factory=dict)
    ordered_runs: dict[tuple[str, int], OrderedRun] = field(default_factory=dict)
    refused_at_sync: dict[tuple[str, int], int] = field(default_factory=dict)
    term: int = 0
    sync_number: int = 0
    unanswered_syncs: dict[int, bool] = field(default_factory=dict)
    sync_after_ms: int = 0
    unreachable_entry: Address | None = None
    unreachable_until_ms: int = 0
    is_report_due: bool = True
    holder: Address | None = None
    entries: tuple[Address, ...] = ()
    entries_end: int = -1
    next_entry_index: int = 0
    last_reply_ms: int = 0
    list_entries_after_ms: int = 0
