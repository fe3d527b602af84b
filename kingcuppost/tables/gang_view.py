"""How gangs are followed: by a sidecar at its worker, by the scheduler."""

from dataclasses import dataclass, field

from kingcuppost.tables.job import GangState
from kingcuppost.tables.key_timers import KeyTimers
from kingcuppost.tables.task import Renewal

__all__ = ["GangStage", "GangView", "WorkerView"]


@dataclass(slots=True)
class WorkerView:
    """A sidecar's dealings with its worker.

    Attributes
    ----------
    adopted : bool
        Whether the tasks that an earlier process left are known.
    renew_ms, report_ms : int
        When leases are renewed next, and reports to leaders sent.
    renewal : Renewal or None
        The renewal that is under way.
    heard_ms : int
        When the order that the worker last answered was sent.
    """

    adopted: bool = False
    renew_ms: int = 0
    report_ms: int = 0
    renewal: Renewal | None = None
    heard_ms: int = 0


@dataclass(frozen=True, slots=True)
class GangStage:
    """A state of a gang and when this process first saw it, in ms."""

    state: GangState
    since_ms: int


@dataclass(slots=True)
class GangView:
    """The scheduler's view of gangs.

    Attributes
    ----------
    stages : dict of str to GangStage
        Stage of each gang by its key.
    due : KeyTimers
        When each gang is looked at again.
    term : int
        Scheduling term in which gangs were last looked at.
    """

    stages: dict[str, GangStage] = field(default_factory=dict)
    due: KeyTimers = field(default_factory=KeyTimers)
    term: int = 0
