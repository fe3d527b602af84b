"""State of the scheduler outside the fold: capacity, team shares, queue and faults.

All of it is derived from the agreed tables, so that a new scheduler can rebuild it.
Sets of accelerators are bit masks: bit `n` stands for accelerator `n` of a worker.
A cell is a block of ``2 ** k`` accelerators whose first number is a multiple of its
size; `k` is the class of the cell.
"""

from dataclasses import dataclass, field

from kingcuppost.tables.job import Placement
from kingcuppost.tables.table import Table

__all__ = [
    "CELL_CLASSES",
    "AdvanceReservation",
    "Allocation",
    "QueueEntry",
    "RunTimes",
    "SchedulingState",
    "TeamShare",
    "UncoveredGuarantee",
    "WorkerAllocation",
    "WorkerCapacity",
    "WorkerFaults",
]

CELL_CLASSES = 7  # cells of 1 to 64 accelerators


@dataclass(frozen=True, slots=True)
class WorkerAllocation:
    """Resources of one worker that one gang or advance reservation uses.

    Attributes
    ----------
    busy : int
        Mask of the accelerators allocated to tasks.
    reserved : int
        Mask of the accelerators kept free for a waiting job.
    cell_masks : tuple of int
        Masks of the guaranteed cells that the accelerators are part of.
    cores, memory_mb : int
        Cores and memory allocated.
    """

    busy: int = 0
    reserved: int = 0
    cell_masks: tuple[int, ...] = ()
    cores: int = 0
    memory_mb: int = 0


@dataclass(frozen=True, slots=True)
class Allocation:
    """Resources of all workers that one gang or advance reservation uses.

    Attributes
    ----------
    key : str
        Key of the gang or of the advance reservation.
    team : str
        Team whose share is charged.
    accelerators : int
        Number of accelerators allocated to tasks.
    by_worker : dict of str to WorkerAllocation
        Allocation on each worker by the worker's name.
    """

    key: str
    team: str
    accelerators: int
    by_worker: dict[str, WorkerAllocation]


@dataclass(slots=True)
class WorkerCapacity:
    """Capacity of a worker and the part of it that is free.

    Attributes
    ----------
    name, availability_zone, rack : str
        Name and location of the worker.
    cores, memory_mb, accelerators : int
        Total capacity.
    full_mask : int
        Mask of all its accelerators.
    in_service : bool
        Whether its availability zone is in service and its minion is not leaving.
    usable : bool
        Whether tasks may start on it now.
    probing : bool
        Whether it may run a single gang only, as a probe after failures.
    busy : int
        Mask of the accelerators allocated to tasks.
    reserved : int
        Mask of the accelerators in advance reservations.
    bound : int
        Mask of the guaranteed cells in use, including their idle accelerators.
    pinned : int
        Mask of the accelerators that are busy or reserved within a guarantee.
    free_cores, free_memory_mb : int
        Cores and memory not allocated.
    allocations : dict of str to WorkerAllocation
        Allocations on the worker by key of the gang or advance reservation.
    free_class : int
        Class of the largest free cell; -1 if there is none or the worker is unusable.
    unbound_class : int
        Class of the largest cell that overlaps no guaranteed cell in use, including
        cells that borrowers occupy; -1 as above.
    core_bucket : tuple of int
        1 if the worker has accelerators, else 0, and the bit length of the number
        of free cores; ``(-1, 0)`` for an unusable worker.
    free_blocks, unbound_blocks : tuple of int
        Number of maximal cells by class, free and outside guaranteed cells in use, as
        included in the totals of `SchedulingState`.
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
    reserved: int = 0
    bound: int = 0
    pinned: int = 0
    free_cores: int = 0
    free_memory_mb: int = 0
    allocations: dict[str, WorkerAllocation] = field(default_factory=dict)
    free_class: int = -1
    unbound_class: int = -1
    core_bucket: tuple[int, int] = (-1, 0)
    free_blocks: tuple[int, ...] = (0,) * CELL_CLASSES
    unbound_blocks: tuple[int, ...] = (0,) * CELL_CLASSES


@dataclass(slots=True)
class TeamShare:
    """Guaranteed cells of a team and their use.

    Attributes
    ----------
    team : str
        Name of the team.
    guaranteed, unused : tuple of int
        Number of guaranteed cells by class, and of those not bound to accelerators.
    cells : dict of tuple to int
        Number of allocations in each bound cell, by worker and mask.
    used : int
        Accelerators allocated to the team's tasks.
    limit : int
        Maximum of `used`; 0 for no limit.
    """

    team: str
    guaranteed: tuple[int, ...] = (0,) * CELL_CLASSES
    unused: tuple[int, ...] = (0,) * CELL_CLASSES
    cells: dict[tuple[str, int], int] = field(default_factory=dict)
    used: int = 0
    limit: int = 0


@dataclass(frozen=True, slots=True)
class UncoveredGuarantee:
    """Guaranteed cells of a team that the workers cannot provide now.

    Attributes
    ----------
    team : str
        Name of the team.
    cells : tuple of int
        Number of missing cells by class.
    accelerators : int
        Number of accelerators in the missing cells.
    """

    team: str
    cells: tuple[int, ...]
    accelerators: int


@dataclass(slots=True)
class AdvanceReservation:
    """Accelerators reserved for a job that cannot start yet.

    Attributes
    ----------
    job : str
        Name of the job.
    placements : tuple of Placement
        Where the job will start.
    guaranteed : bool
        Whether the accelerators are reclaimed within the team's guarantee.
    since_ms : int
        When the job first got a reservation, monotonic ms.
    expected_free_ms : int
        When all reserved accelerators are expected to be free, monotonic ms.
    earlier_gangs : frozenset of str
        Keys of the gangs that occupied some of them when they were reserved.
    """

    job: str
    placements: tuple[Placement, ...]
    guaranteed: bool
    since_ms: int
    expected_free_ms: int
    earlier_gangs: frozenset[str] = frozenset()


@dataclass(slots=True)
class RunTimes:
    """Run times of a team's finished jobs, compared with the declared ones.

    Attributes
    ----------
    team : str
        Name of the team.
    log_ratio : float
        Smoothed natural logarithm of actual over declared run time.
    mean_ms : float
        Smoothed run time, for jobs that declare none.
    sample_count : int
        Number of finished jobs included.
    """

    team: str
    log_ratio: float = 0.0
    mean_ms: float = 0.0
    sample_count: int = 0


@dataclass(slots=True)
class WorkerFaults:
    """Failures on a worker since it last finished a gang.

    Attributes
    ----------
    worker : str
        Name of the worker.
    jobs : set of str
        Distinct jobs that failed on it.
    quarantined : bool
        Whether the worker gets only probes, after failures of several jobs.
    probe_ms : int
        When the next probe may start, monotonic ms.
    refusals : int
        Consecutive member reservations that it refused or did not answer.
    paused : bool
        Whether the worker gets no work for a while, after a refusal.
    resume_ms : int
        When the pause ends, monotonic ms.
    """

    worker: str
    jobs: set[str] = field(default_factory=set)
    quarantined: bool = False
    probe_ms: int = 0
    refusals: int = 0
    paused: bool = False
    resume_ms: int = 0


@dataclass(frozen=True, slots=True, order=True)
class QueueEntry:
    """Position of a waiting job in the queue.

    Attributes
    ----------
    sort_key : tuple
        Key that the policy gives the job, smallest first.
    job : str
        Name of the job.
    """

    sort_key: tuple[int, int, int]
    job: str


@dataclass(slots=True)
class SchedulingState:
    """Everything that the scheduler derives from the agreed tables.

    Attributes
    ----------
    source : object
        The agreed tables that this state is derived from.
    workers, shares, uncovered, advance_reservations, run_times, faults : Table
        Rows by worker, team or job; see the class of each row.
    allocations : dict of str to Allocation
        Allocations by key of the gang or advance reservation.
    pending_gangs : set of str
        Keys of gangs whose placement was proposed and is not folded yet.
    free_blocks, unbound_blocks, demand : list of int
        Number of cells by class over all workers: free cells; cells that overlap no
        guaranteed cell in use; guaranteed cells that are not in use.
    queue, queue_entries : list of QueueEntry, dict of str to QueueEntry
        Waiting jobs in queue order; the same entries by the name of the job.
    queue_policy : str
        Name of the policy that ordered the queue.
    pass_due : bool
        Whether something changed since the last pass over the queue.
    next_pass_ms : int
        When the next pass is due even if nothing changes, monotonic ms; 0 for never.
    fleet_changed_ms : int
        When workers, zones or teams last changed, monotonic ms.
    unchecked_jobs : dict of str to None
        Names of the jobs whose feasibility is to be checked, in order.
    feasibility_cache : dict of tuple to bool
        Whether the workers could hold a job, by its needs; cleared when the fleet
        changes.
    counted_failures : dict of str to int
        Number of each job's failed workers that are counted in `faults` already.
    evacuate_at_ms : dict of str to int
        By zone out of service, when its running gangs are stopped, monotonic ms.
    """

    source: object = None
    workers: Table[WorkerCapacity] = field(
        default_factory=lambda: Table(
            "name", ("free_class", "unbound_class", "core_bucket")
        )
    )
    shares: Table[TeamShare] = field(default_factory=lambda: Table("team"))
    uncovered: Table[UncoveredGuarantee] = field(default_factory=lambda: Table("team"))
    advance_reservations: Table[AdvanceReservation] = field(
        default_factory=lambda: Table("job")
    )
    run_times: Table[RunTimes] = field(default_factory=lambda: Table("team"))
    faults: Table[WorkerFaults] = field(default_factory=lambda: Table("worker"))
    allocations: dict[str, Allocation] = field(default_factory=dict)
    pending_gangs: set[str] = field(default_factory=set)
    free_blocks: list[int] = field(default_factory=lambda: [0] * CELL_CLASSES)
    unbound_blocks: list[int] = field(default_factory=lambda: [0] * CELL_CLASSES)
    demand: list[int] = field(default_factory=lambda: [0] * CELL_CLASSES)
    queue: list[QueueEntry] = field(default_factory=list)
    queue_entries: dict[str, QueueEntry] = field(default_factory=dict)
    queue_policy: str = ""
    pass_due: bool = True
    next_pass_ms: int = 0
    fleet_changed_ms: int = 0
    unchecked_jobs: dict[str, None] = field(default_factory=dict)
    feasibility_cache: dict[tuple[int, int, int, int, bool], bool] = field(
        default_factory=dict
    )
    counted_failures: dict[str, int] = field(default_factory=dict)
    evacuate_at_ms: dict[str, int] = field(default_factory=dict)
