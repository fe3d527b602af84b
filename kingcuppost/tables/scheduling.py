"""What scheduling keeps beside the fold: capacity, shares, queue and faults.

All of it follows from the agreed tables and is rebuilt by a new scheduler. Sets
of accelerators are bit masks: bit `n` stands for accelerator `n` of a worker. A
cell is a block of accelerators, aligned on its own size, which is a power of two;
class `k` stands for the size `2 ** k`.
"""

from dataclasses import dataclass, field

from kingcuppost.tables.job import Placement
from kingcuppost.tables.table import Table

__all__ = [
    "CELL_CLASSES",
    "SchedulingState",
    "Hold",
    "Keep",
    "QueueEntry",
    "RunTimes",
    "TeamShare",
    "UncoveredGuarantee",
    "WorkerCapacity",
    "WorkerFaults",
    "WorkerHold",
]

CELL_CLASSES = 7


@dataclass(frozen=True, slots=True)
class WorkerHold:
    """What one gang or keep takes of one worker.

    Attributes
    ----------
    busy : int
        Mask of the accelerators that tasks hold.
    kept : int
        Mask of the accelerators that are kept free for a job to come.
    cells : tuple of int
        Masks of the guaranteed cells that it binds.
    cores, memory_mb : int
        What its tasks take.
    """

    busy: int = 0
    kept: int = 0
    cells: tuple[int, ...] = ()
    cores: int = 0
    memory_mb: int = 0


@dataclass(frozen=True, slots=True)
class Hold:
    """What one gang or keep takes of all workers.

    Attributes
    ----------
    key : str
        Key of the gang, or of the keep.
    team : str
        Team that it counts for.
    accelerators : int
        Accelerators that its tasks hold.
    shares : dict of str to WorkerHold
        What it takes, by worker.
    """

    key: str
    team: str
    accelerators: int
    shares: dict[str, WorkerHold]


@dataclass(slots=True)
class WorkerCapacity:
    """What a worker has, and what is left of it.

    Attributes
    ----------
    name, availability_zone, rack : str
        The worker and where it stands.
    cores, memory_mb, accelerators : int
        What it has.
    full_mask : int
        Mask of all its accelerators.
    in_service : bool
        Whether its availability zone is in service and its minion is not leaving.
    usable : bool
        Whether tasks may start on it now.
    probing : bool
        Whether it may run one gang only, as a probe.
    busy, kept, bound, pinned : int
        Masks of accelerators: held by tasks; kept for a job to come; in guaranteed
        cells in use; held by tasks, or kept, within guarantees.
    free_cores, free_memory_mb : int
        What is left.
    holds : dict of str to WorkerHold
        What gangs and keeps take of it.
    room : int
        Class of the largest free cell; -1 for none or an unusable worker.
    bind_room : int
        The same for cells that no guarantee uses, borrowed or not.
    core_room : tuple of int
        Whether it has accelerators, and the bits of the number of free cores;
        ``(-1, 0)`` for an unusable worker.
    free_blocks, unbound_blocks : tuple of int
        Number of largest cells by class, as counted in the totals.
    """

    name: str
    availability_zone: str
    rack: str
    cores: int
    memory_mb: int
    accelerators: int
    full_mask: int
    in_service: bool = False
    usable: bool = False
    probing: bool = False
    busy: int = 0
    kept: int = 0
    bound: int = 0
    pinned: int = 0
    free_cores: int = 0
    free_memory_mb: int = 0
    holds: dict[str, WorkerHold] = field(default_factory=dict)
    room: int = -1
    bind_room: int = -1
    core_room: tuple[int, int] = (-1, 0)
    free_blocks: tuple[int, ...] = (0,) * CELL_CLASSES
    unbound_blocks: tuple[int, ...] = (0,) * CELL_CLASSES


@dataclass(slots=True)
class TeamShare:
    """What a team is guaranteed and what it uses.

    Attributes
    ----------
    team : str
        Name of the team.
    guaranteed, unused : tuple of int
        Guaranteed cells by class, and those not bound to accelerators.
    cells : dict of tuple to int
        How many holds use each bound cell, by worker and mask.
    used : int
        Accelerators that the team's tasks hold.
    limit : int
        Most accelerators that they may hold; 0 for no limit.
    """

    team: str
    guaranteed: tuple[int, ...] = (0,) * CELL_CLASSES
    unused: tuple[int, ...] = (0,) * CELL_CLASSES
    cells: dict[tuple[str, int], int] = field(default_factory=dict)
    used: int = 0
    limit: int = 0


@dataclass(frozen=True, slots=True)
class UncoveredGuarantee:
    """Guaranteed cells of a team that could not be given now.

    Attributes
    ----------
    team : str
        Name of the team.
    cells : tuple of int
        Cells that are missing, by class.
    accelerators : int
        Accelerators in them.
    """

    team: str
    cells: tuple[int, ...]
    accelerators: int


@dataclass(slots=True)
class Keep:
    """Accelerators kept free for a job that can't start yet.

    Attributes
    ----------
    job : str
        Name of the job.
    placements : tuple of Placement
        Where it will start.
    guaranteed : bool
        Whether the accelerators are reclaimed within the team's guarantee.
    since_ms : int
        When the job was first kept a place, monotonic ms.
    date_ms : int
        When all of them should be free, monotonic ms.
    earlier : frozenset of str
        Gangs that held some of them when they were kept.
    """

    job: str
    placements: tuple[Placement, ...]
    guaranteed: bool
    since_ms: int
    date_ms: int
    earlier: frozenset[str] = frozenset()


@dataclass(slots=True)
class RunTimes:
    """How a team's run times compare with the declared ones.

    Attributes
    ----------
    team : str
        Name of the team.
    log_ratio : float
        Smoothed natural logarithm of actual over declared run time.
    mean_ms : float
        Smoothed run time, for jobs that declare none.
    seen : int
        Finished jobs that were counted.
    """

    team: str
    log_ratio: float = 0.0
    mean_ms: float = 0.0
    seen: int = 0


@dataclass(slots=True)
class WorkerFaults:
    """Failures on a worker since it last finished a gang.

    Attributes
    ----------
    worker : str
        Name of the worker.
    jobs : set of str
        Distinct jobs that failed on it.
    aside : bool
        Whether the worker gets no work but probes.
    probe_ms : int
        When one job may probe it again, monotonic ms.
    refusals : int
        Reservations in a row that it refused or did not answer.
    avoided : bool
        Whether it gets no work for a pause after a refusal.
    return_ms : int
        When the pause is over, monotonic ms.
    """

    worker: str
    jobs: set[str] = field(default_factory=set)
    aside: bool = False
    probe_ms: int = 0
    refusals: int = 0
    avoided: bool = False
    return_ms: int = 0


@dataclass(frozen=True, slots=True, order=True)
class QueueEntry:
    """A waiting job's place in the queue.

    Attributes
    ----------
    rank : tuple
        Order of the policy, smallest first.
    job : str
        Name of the job.
    """

    rank: tuple[int, int, int]
    job: str


@dataclass(slots=True)
class SchedulingState:
    """Everything that scheduling keeps beside the fold.

    Attributes
    ----------
    source : object
        The agreed tables that it follows.
    holds : dict of str to Hold
        Holds by key of gang or keep.
    pending : set of str
        Keys of gangs that were proposed and not folded yet.
    free_blocks, unbound_blocks, demand : list of int
        Cells by class: free; in no guarantee's use; guaranteed and unused.
    queue, ranks : list of QueueEntry, dict of str to QueueEntry
        Waiting jobs in order; the entry of each.
    queue_policy : str
        Policy that ordered the queue.
    due : bool
        Whether something changed since the last pass over the queue.
    pass_ms : int
        When the next pass is due though nothing changed; 0 for never.
    fleet_changed_ms : int
        When workers, zones or teams last changed.
    unjudged : dict of str to None
        Jobs whose chance to ever run is to be judged, in order.
    holdable : dict of tuple to bool
        Whether workers could hold a job, by its needs; for one state of the fleet.
    failures_seen : dict of str to int
        Workers on which each open job has failed, as far as counted.
    leave_ms : dict of str to int
        When gangs leave each availability zone that was taken out.
    """

    source: object = None
    workers: Table[WorkerCapacity] = field(
        default_factory=lambda: Table("name", ("room", "bind_room", "core_room"))
    )
    shares: Table[TeamShare] = field(default_factory=lambda: Table("team"))
    uncovered: Table[UncoveredGuarantee] = field(default_factory=lambda: Table("team"))
    keeps: Table[Keep] = field(default_factory=lambda: Table("job"))
    run_times: Table[RunTimes] = field(default_factory=lambda: Table("team"))
    faults: Table[WorkerFaults] = field(default_factory=lambda: Table("worker"))
    holds: dict[str, Hold] = field(default_factory=dict)
    pending: set[str] = field(default_factory=set)
    free_blocks: list[int] = field(default_factory=lambda: [0] * CELL_CLASSES)
    unbound_blocks: list[int] = field(default_factory=lambda: [0] * CELL_CLASSES)
    demand: list[int] = field(default_factory=lambda: [0] * CELL_CLASSES)
    queue: list[QueueEntry] = field(default_factory=list)
    ranks: dict[str, QueueEntry] = field(default_factory=dict)
    queue_policy: str = ""
    due: bool = True
    pass_ms: int = 0
    fleet_changed_ms: int = 0
    unjudged: dict[str, None] = field(default_factory=dict)
    holdable: dict[tuple[int, int, int, int, bool], bool] = field(default_factory=dict)
    failures_seen: dict[str, int] = field(default_factory=dict)
    leave_ms: dict[str, int] = field(default_factory=dict)
