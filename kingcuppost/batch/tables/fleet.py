"""Queues, teams, configuration, minions, entries and the scheduling lease."""

from dataclasses import dataclass, field

from kingcuppost.batch.tables.job import MinionIncarnation, TaskName
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.task import Task
from kingcuppost.tables.config import Address

__all__ = [
    "Configuration",
    "EntryMember",
    "HolderView",
    "MinionLease",
    "MinionLoad",
    "MinionRow",
    "Queue",
    "Speed",
    "Team",
]


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue, which callers address by host and path.

    Attributes
    ----------
    name, host, prefix : str
        Its name, and the host and the path prefix that callers use.
    service : str
        Service whose minions run its tasks.
    priority : int
        0 is the most urgent and may preempt others.
    most_failures : int
        Number of failed runs of a task after which the job fails.
    slack_factor : float
        Target time of a job as a multiple of its critical path.
    public : bool
        Whether calls without a valid key are accepted.
    has_external_policy : bool
        Whether another service decides which minions may run its jobs, which is not
        supported.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    most_failures: int = 1
    slack_factor: float = 1.0
    public: bool = False
    has_external_policy: bool = False


@dataclass(frozen=True, slots=True)
class Team:
    """A team, its keys, and its guaranteed accelerators."""

    name: str
    keys: frozenset[str]
    guaranteed: int = 0


@dataclass(frozen=True, slots=True)
class Configuration:
    """The operators' complete configuration.

    Attributes
    ----------
    version : int
        Increases with each configuration.
    queues : tuple of Queue
        All queues.
    teams : dict of str to Team
        All teams by name.
    keys : dict of str to str
        Name of the team by key.
    """

    version: int
    queues: tuple[Queue, ...]
    teams: dict[str, Team]
    keys: dict[str, str]


@dataclass(frozen=True, slots=True)
class MinionLease:
    """The lease of a minion incarnation.

    Attributes
    ----------
    sidecar : str
        Sidecar beside the minion.
    expiry_ms : int
        Time from which the lease has certainly expired.
    """

    incarnation: MinionIncarnation
    sidecar: str
    expiry_ms: int


@dataclass(slots=True)
class MinionLoad:
    """The runs that are placed at a minion incarnation, and what they occupy.

    Attributes
    ----------
    runs : dict of TaskName to tuple of Plan and Task
        The runs by task.
    used : Resources
        Capacity that the runs occupy.
    stopping : Resources
        The part of `used` that runs occupy which are to be stopped.
    """

    runs: dict[TaskName, tuple[Plan, Task]] = field(default_factory=dict)
    used: Resources = field(default_factory=Resources)
    stopping: Resources = field(default_factory=Resources)


@dataclass(slots=True)
class Speed:
    """Estimated speed of a machine, learned from its runs.

    Attributes
    ----------
    value : float
        Amount of work per unit of time, relative to a machine of speed 1.0.
    weight : float
        Number of runs that the value is based on, up to a limit.
    """

    value: float = 1.0
    weight: float = 0.0


@dataclass(slots=True)
class MinionRow:
    """A minion as the scheduler knows it from its sidecar's reports.

    Attributes
    ----------
    sidecar : str
        Name of the sidecar beside it.
    incarnation : MinionIncarnation
        Its present incarnation.
    service, availability_zone, rack : str
        The service whose tasks it runs, and its location.
    labels : frozenset of str
        All its labels.
    resources : Resources
        Its total capacity.
    draining : bool
        Whether it is about to leave.
    drain_since_ms, drain_end_ms : int
        Time at which it was first reported as draining, and time from which it may
        leave; only while it drains.
    last_report_ms : int
        Time of its sidecar's newest report that was in contact with it.
    speed : Speed
        Estimated speed of its machine; kept across incarnations of the minion.
    stalled_ms : int or None
        Time at which a run here was last found to make no progress.
    failures : int
        Number of failed runs since the last completed one.
    failed_jobs : set of str
        Jobs with failed runs here since the last completed one.
    failed_ms : int
        Time of the last failed run here.
    probed_ms : int or None
        Time at which a run was last placed here while it was under suspicion.
    listed_ms : int
        Time of the newest report of its runs that was in contact with it, and whose
        lists were whole.
    unstarted_runs : int
        Number of times that runs did not begin here since one last ended.
    backoff_until_ms : int
        Time until which no runs are placed on it after it refused one or one did not
        begin.
    is_unreachable : bool
        Whether its sidecar has stopped reporting or has lost contact with it.
    has_completed_run : bool
        Whether a run has completed here.
    """

    sidecar: str
    incarnation: MinionIncarnation
    service: str
    availability_zone: str
    rack: str
    labels: frozenset[str]
    resources: Resources
    draining: bool = False
    drain_since_ms: int = 0
    drain_end_ms: int = 0
    last_report_ms: int = 0
    speed: Speed = field(default_factory=Speed)
    stalled_ms: int | None = None
    failures: int = 0
    failed_jobs: set[str] = field(default_factory=set)
    failed_ms: int = 0
    probed_ms: int | None = None
    listed_ms: int = 0
    unstarted_runs: int = 0
    backoff_until_ms: int = 0
    is_unreachable: bool = False
    has_completed_run: bool = False


@dataclass(frozen=True, slots=True)
class EntryMember:
    """An entry, as announced by its record in the log.

    Attributes
    ----------
    record_format : int
        Newest format of records that the entry reads: 0, or `PARTS_FORMAT`.
    """

    name: str
    address: Address
    availability_zone: str
    incarnation: str
    record_format: int = 0


@dataclass(slots=True)
class HolderView:
    """State of the scheduling lease, derived from the log.

    Attributes
    ----------
    term : int
        Offset of the claim that opened the term, plus 1; 0 if there is none.
    name, incarnation : str
        The entry that holds the lease, and its incarnation; empty if there is none.
    address : Address or None
        Address at which sidecars reach the holder.
    last_renewal_ms : int
        Time at which its newest renewal was read, on this process's clock.
    released : bool
        Whether the holder has released the lease.
    extended_until_ms : int
        Time until which holders of earlier terms may extend minion leases.
    """

    term: int = 0
    name: str = ""
    incarnation: str = ""
    address: Address | None = None
    last_renewal_ms: int = 0
    released: bool = False
    extended_until_ms: int = 0
