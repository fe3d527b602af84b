"""Messages between scheduler, sidecars and minions, and for stopping a process."""

from dataclasses import dataclass
from enum import StrEnum

from kingcuppost.batch.tables.job import MinionIncarnation, RunEnd, TaskName
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.tables.config import Address

__all__ = [
    "EndedRun",
    "HoldMinion",
    "HoldMinionAnswered",
    "MinionHeartbeat",
    "MinionReport",
    "OrderAnswered",
    "OrderOutcome",
    "RefusedRun",
    "RunningRun",
    "SendSync",
    "StartOrder",
    "StartRun",
    "StopOrder",
    "StopProcess",
    "StopRequested",
    "StopRun",
    "SyncAnswered",
    "SyncCall",
    "SyncReply",
]


@dataclass(frozen=True, slots=True)
class RunningRun:
    """A run that is present at a minion."""

    task: TaskName
    run: int
    checkpoint: str
    percent: int


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that ended; `number` increases within the minion's incarnation."""

    number: int
    task: TaskName
    run: int
    run_end: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class RefusedRun:
    """A run that the minion refused; it never began and cannot begin later."""

    task: TaskName
    run: int
    reason: str


@dataclass(frozen=True, slots=True)
class MinionReport:
    """State of a minion, as reported by its sidecar.

    Attributes
    ----------
    listed : bool
        Whether this sidecar process has read the runs of this minion incarnation.
    in_contact : bool
        Whether the minion has answered the sidecar of late, so that the answer to the
        report extends its lease.
    lists_are_whole : bool
        Whether the minion's newest lists had all of its runs and ends, so that one that
        they lack is absent.
    """

    incarnation: MinionIncarnation
    service: str
    availability_zone: str
    labels: tuple[str, ...]
    resources: Resources
    draining: bool
    remaining_ms: int
    listed: bool
    in_contact: bool
    lists_are_whole: bool = True


@dataclass(frozen=True, slots=True)
class SyncCall:
    """A sidecar's report to the scheduler.

    Attributes
    ----------
    exchange_id : str
        Identifier of the open HTTP exchange; empty in the sidecar.
    incarnation : str
        Identifier of this start of the sidecar process.
    number : int
        Number of the report.
    wait_ms : int
        Time for which the answer may be delayed while there are no orders.
    minion : MinionReport or None
        State of the minion; None if there is none beside the sidecar.
    lists_age_ms : int
        Time since the minion listed its runs, when the report was sent.
    ended_minion : MinionIncarnation or None
        Incarnation beside the sidecar that has certainly ended, with all its runs.
    """

    exchange_id: str
    sidecar: str
    incarnation: str
    number: int
    wait_ms: int
    minion: MinionReport | None
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    refused: tuple[RefusedRun, ...]
    lists_age_ms: int = 0
    ended_minion: MinionIncarnation | None = None


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run at a minion."""

    task: TaskName
    run: int
    spec: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to stop a run at a minion."""

    task: TaskName
    run: int


@dataclass(frozen=True, slots=True)
class SyncReply:
    """The scheduler's answer to a sidecar.

    Attributes
    ----------
    exchange_id : str
        Identifier of the open HTTP exchange.
    term : int
        Term of the holder; -1 if the sender of the reply may not give orders.
    holder : Address or None
        Address of the holder, if it is another process.
    incarnation : MinionIncarnation or None
        Minion incarnation that the orders are for.
    starts, stops : tuple of StartOrder, tuple of StopOrder
        Runs to start and to stop.
    settled : tuple of StopOrder
        Refused runs of the report, which the sidecar need not report again.
    noted : int
        Number up to which the reported ends are in the log.
    entries : tuple of Address
        Addresses of all entries.
    holder_term : int
        Term of the holder that is named; 0 if none is.
    members_end : int
        Offset up to which the sender has read the entries; -1 if it has read none.
    only_extends : bool
        Whether the sender may extend minion leases and give no orders, so that the
        sidecar should look for another holder.
    """

    exchange_id: str
    term: int
    holder: Address | None = None
    incarnation: MinionIncarnation | None = None
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[StopOrder, ...] = ()
    settled: tuple[StopOrder, ...] = ()
    noted: int = 0
    entries: tuple[Address, ...] = ()
    holder_term: int = 0
    members_end: int = -1
    only_extends: bool = False


@dataclass(frozen=True, slots=True)
class SendSync:
    """Request to send a sidecar's report."""

    number: int
    address: Address
    call: SyncCall
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class SyncAnswered:
    """Outcome of a report; `reply` is None if there was no valid answer."""

    number: int
    address: Address
    sent_ms: int
    reply: SyncReply | None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class MinionHeartbeat:
    """A heartbeat of the minion beside the sidecar; `has_left` if the minion left."""

    address: Address
    report: MinionReport
    sequence: int
    has_left: bool = False


@dataclass(frozen=True, slots=True)
class HoldMinion:
    """Request to list the minion's runs and to extend its lease.

    Attributes
    ----------
    acknowledged_end : int
        Number up to which the reported ends are in the log.
    wait_ms : int
        Time for which the minion may delay its answer while its lists do not change.
    lease_until_ms : int or None
        End of the lease on the minion's clock; None to leave it unchanged.
    """

    address: Address
    incarnation: MinionIncarnation
    term: int
    acknowledged_end: int
    wait_ms: int
    lease_until_ms: int | None


@dataclass(frozen=True, slots=True)
class HoldMinionAnswered:
    """Answer to `HoldMinion`; a failed one has a reason and no runs.

    Attributes
    ----------
    sent_ms, received_ms : int
        Times of the request and of its answer.
    clock_ms : int
        Time of the answer on the minion's clock.
    is_whole : bool
        Whether the lists have all runs and ends, as far as their size tells.
    is_refused : bool
        Whether no process listens at the minion's address.
    """

    incarnation: MinionIncarnation
    sent_ms: int
    received_ms: int
    clock_ms: int = 0
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    reason: str = ""
    is_whole: bool = True
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class StartRun:
    """Request to start a run at the minion beside the sidecar.

    Attributes
    ----------
    deadline_ms : int
        Time on the minion's clock after which it does not carry out the start, and
        until which it extends its lease at least.
    """

    address: Address
    incarnation: MinionIncarnation
    term: int
    order: StartOrder
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class StopRun:
    """Request to stop a run at the minion beside the sidecar."""

    address: Address
    incarnation: MinionIncarnation
    term: int
    order: StopOrder


class OrderOutcome(StrEnum):
    """Outcome of an order to a minion.

    Attributes
    ----------
    DONE
        The minion accepted the order.
    REFUSED
        The minion refused the order.
    BUSY
        The order was not carried out and may be sent again.
    UNKNOWN
        The order may still be carried out.
    """

    DONE = "done"
    REFUSED = "refused"
    BUSY = "busy"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """Answer to `StartRun` or `StopRun`.

    Attributes
    ----------
    is_start : bool
        Whether it is the answer to `StartRun`.
    """

    incarnation: MinionIncarnation
    task: TaskName
    run: int
    is_start: bool
    outcome: OrderOutcome
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was requested to stop."""


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Request to end the process, since no work is left."""
