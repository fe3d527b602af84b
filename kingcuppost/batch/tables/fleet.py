"""Queues, teams, zones, minions and the system's own processes."""

from dataclasses import dataclass, field

from kingcuppost.batch.tables.job import MinionIncarnation
from kingcuppost.tables.config import Address

__all__ = [
    "Configuration",
    "EntryMember",
    "HolderView",
    "MinionRow",
    "Queue",
    "Resources",
    "Speed",
    "Team",
]


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue that callers reach by host and path.

    Attributes
    ----------
    name, host, prefix : str
        Its name, and where callers find it.
    service : str
        Service whose minions run its tasks.
    priority : int
        0 comes first and may stop others.
    most_failures : int
        Failed runs of a task that end the job.
    slack_factor : float
        A job's objective in multiples of its longest chain of work.
    public : bool
        Whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    most_failures: int = 1
    slack_factor: float = 1.0
    public: bool = False


@dataclass(frozen=True, slots=True)
class Team:
    """A team, its keys, and the accelerators that are its own."""

    name: str
    keys: frozenset[str]
    guaranteed: int = 0


@dataclass(frozen=True, slots=True)
class Configuration:
    """The operators' configuration, whole.

    Attributes
    ----------
    version : int
        Grows with each configuration.
    queues : tuple of Queue
        All queues.
    teams : dict of str to Team
        All teams by name.
    keys : dict of str to str
        The team of each key.
    """

    version: int
    queues: tuple[Queue, ...]
    teams: dict[str, Team]
    keys: dict[str, str]


@dataclass(slots=True)
class Resources:
    """Processors, memory and accelerators, taken or free."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(slots=True)
class Speed:
    """How fast a machine works, learned from its runs.

    Attributes
    ----------
    value : float
        Work done in the time that a machine of speed 1.0 takes for one unit.
    weight : float
        How many runs the value rests on.
    """

    value: float = 1.0
    weight: float = 0.0


@dataclass(slots=True)
class MinionRow:
    """A minion as its sidecar reports it to the scheduler.

    Attributes
    ----------
    sidecar : str
        Name of the instance beside it.
    incarnation : Life
        Its present life.
    service, availability_zone, rack : str
        What it serves and where.
    labels : frozenset of str
        All its labels.
    resources : Room
        Its whole capacity.
    draining : bool
        Whether it is about to leave.
    remaining_ms : int
        Least time left while it drains.
    last_report_ms : int
        When its sidecar was last heard.
    speed : Speed
        How fast it works; the machine keeps it over lives of the minion.
    stalled_ms : int or None
        When a run was last found to stand still here.
    failures : int
        Failed runs since one was done.
    failed_jobs : set of str
        Jobs that failed here since one was done.
    failed_ms : int
        When a run last failed here.
    backoff_until_ms : int
        Until when it is given nothing after it refused a run.
    is_unreachable : bool
        Whether its sidecar has been silent.
    has_completed_run : bool
        Whether a run has ended as done here.
    """

    sidecar: str
    incarnation: MinionIncarnation
    service: str
    availability_zone: str
    rack: str
    labels: frozenset[str]
    resources: Resources
    draining: bool = False
    remaining_ms: int = 0
    last_report_ms: int = 0
    speed: Speed = field(default_factory=Speed)
    stalled_ms: int | None = None
    failures: int = 0
    failed_jobs: set[str] = field(default_factory=set)
    failed_ms: int = 0
    backoff_until_ms: int = 0
    is_unreachable: bool = False
    has_completed_run: bool = False


@dataclass(frozen=True, slots=True)
class EntryMember:
    """An entry as it announced itself in the log."""

    name: str
    address: Address
    availability_zone: str
    incarnation: str


@dataclass(slots=True)
class HolderView:
    """What the log tells of the scheduling lease.

    Attributes
    ----------
    term : int
        One more than the offset of the claim that opened it; 0 if there is none.
    name, incarnation : str
        Who holds it.
    address : Address or None
        Where sidecars reach the holder.
    last_renewal_ms : int
        When its last renewal was read, on this process's clock.
    released : bool
        Whether the holder has given the lease back.
    """

    term: int = 0
    name: str = ""
    incarnation: str = ""
    address: Address | None = None
    last_renewal_ms: int = 0
    released: bool = False
