"""State of a sidecar's orders to its worker, and of the scheduler's gangs."""

from dataclasses import dataclass, field

from kingcuppost.tables.job import GangState
from kingcuppost.tables.key_timers import KeyTimers
from kingcuppost.tables.task import Renewal

__all__ = ["GangStage", "GangView", "WorkerOrderView"]


@dataclass(slots=True)
class WorkerOrderView:
    """Schedule and state of a sidecar's orders to its worker.

    Attributes
    ----------
    adopted : bool
        Whether the tasks of an earlier sidecar process have been adopted.
    next_renewal_ms, next_report_ms : int
        Time of the next renewal of leases, and of the next reports to leaders.
    renewal : Renewal or None
        The pending renewal; None if there is none.
    last_confirmed_order_ms : int
        Sending time of the latest lease renewal or start that the worker confirmed.
    """

    adopted: bool = False
    next_renewal_ms: int = 0
    next_report_ms: int = 0
    renewal: Renewal | None = None
    last_confirmed_order_ms: int = 0


@dataclass(frozen=True, slots=True)
class GangStage:
    """State of a gang, and when this process first observed it, in ms."""

    state: GangState
    since_ms: int


@dataclass(slots=True)
class GangView:
    """Progress of gangs as the scheduler tracks it.

    Attributes
    ----------
    stages : dict of str to GangStage
        State of each gang, by the gang's key.
    due : KeyTimers
        When each gang is to be checked again.
    term : int
        Scheduling term in which gangs were last checked.
    """

    stages: dict[str, GangStage] = field(default_factory=dict)
    due: KeyTimers = field(default_factory=KeyTimers)
    term: int = 0
