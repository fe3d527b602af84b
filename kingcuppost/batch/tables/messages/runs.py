"""Messages between scheduler, sidecars and minions, and the end of a process."""

from dataclasses import dataclass
from enum import StrEnum

from kingcuppost.batch.tables.fleet import Resources
from kingcuppost.batch.tables.job import MinionIncarnation, RunEnd, TaskName
from kingcuppost.tables.config import Address

__all__ = [
    "EndedRun",
    "HoldMinion",
    "MinionHeartbeat",
    "HoldMinionAnswered",
    "MinionReport",
    "OrderAnswered",
    "OrderOutcome",
    "RefusedRun",
    "RunningRun",
    "SendSync",
    "StartOrder",
    "StartRun",
    "StopRequested",
    "StopOrder",
    "StopProcess",
    "StopRun",
    "SyncAnswered",
    "SyncCall",
    "SyncReply",
]


@dataclass(frozen=True, slots=True)
class RunningRun:
    """A run that a minion has."""

    task: TaskName
    run: int
    checkpoint: str
    percent: int


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that ended at a minion; `number` grows within the minion's life."""

    number: int
    task: TaskName
    run: int
    how: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class RefusedRun:
    """A run that surely never began: the minion refused it."""

    task: TaskName
    run: int
    reason: str


@dataclass(frozen=True, slots=True)
class MinionReport:
    """What a sidecar says of its minion.

    Attributes
    ----------
    listed : bool
        Whether the lists of runs were read in this life by this process.
    """

    incarnation: MinionIncarnation
    service: str
    availability_zone: str
    labels: tuple[str, ...]
    resources: Resources
    draining: bool
    remaining_ms: int
    listed: bool


@dataclass(frozen=True, slots=True)
class SyncCall:
    """A sidecar's report to the scheduler."""

    exchange_id: str
    sidecar: str
    incarnation: str
    number: int
    wait_ms: int
    minion: MinionReport | None
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    refused: tuple[RefusedRun, ...]


@dataclass(frozen=True, slots=True)
class StartOrder:
    """A run that a minion is to begin."""

    task: TaskName
    run: int
    spec: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """A run that a minion is to end."""

    task: TaskName
    run: int


@dataclass(frozen=True, slots=True)
class SyncReply:
    """The scheduler's answer to a sidecar.

    Attributes
    ----------
    exchange_id : str
        Names the open exchange.
    term : int
        Term of the holder; -1 if this process does not hold the lease.
    holder : Address or None
        Who holds it, if this process does not.
    incarnation : Life or None
        Life that the orders are for.
    noted : int
        Ends up to this number are in the log.
    entries : tuple of Address
        All entries.
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


@dataclass(frozen=True, slots=True)
class SendSync:
    """A sidecar's report on its way out."""

    number: int
    address: Address
    call: SyncCall
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class SyncAnswered:
    """What became of a report; `reply` is None if nothing came back."""

    number: int
    address: Address
    sent_ms: int
    reply: SyncReply | None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class MinionHeartbeat:
    """A heartbeat of the minion beside the sidecar."""

    address: Address
    report: MinionReport
    sequence: int
    gone: bool = False


@dataclass(frozen=True, slots=True)
class HoldMinion:
    """Ask the minion for its lists and extend its lease.

    Attributes
    ----------
    until_ms : int or None
        End of the lease on the minion's clock; None to leave it as it is.
    """

    address: Address
    incarnation: MinionIncarnation
    term: int
    acknowledged_end: int
    wait_ms: int
    until_ms: int | None


@dataclass(frozen=True, slots=True)
class HoldMinionAnswered:
    """Answer to `HoldMinion`; a failure has a reason and no lists.

    Attributes
    ----------
    sent_ms, received_ms : int
        When the question left and the answer came.
    clock_ms : int
        The minion's clock when it answered.
    """

    incarnation: MinionIncarnation
    sent_ms: int
    received_ms: int
    clock_ms: int = 0
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StartRun:
    """Begin a run at the minion beside the sidecar."""

    address: Address
    incarnation: MinionIncarnation
    term: int
    order: StartOrder
    until_ms: int


@dataclass(frozen=True, slots=True)
class StopRun:
    """End a run at the minion beside the sidecar."""

    address: Address
    incarnation: MinionIncarnation
    term: int
    order: StopOrder


class OrderOutcome(StrEnum):
    """What a minion made of an order."""

    DONE = "done"
    REFUSED = "refused"
    BUSY = "busy"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """Answer to `StartRun` or `StopRun`."""

    incarnation: MinionIncarnation
    task: TaskName
    run: int
    start: bool
    outcome: OrderOutcome
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was told to stop."""


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Nothing is left to do; end the process."""
