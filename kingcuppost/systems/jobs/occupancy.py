"""Incremental updates of capacity from changes of the agreed tables."""

from kingcuppost.systems.jobs.cells import (
    add_counts,
    class_of,
    count_blocks,
)
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.fleet import MemberState, Worker
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import Job, JobState, Placement
from kingcuppost.tables.scheduling import (
    CELL_CLASSES,
    Allocation,
    SchedulingState,
    TeamShare,
    WorkerAllocation,
    WorkerCapacity,
)
from kingcuppost.tables.team import Team
from kingcuppost.tables.world import World

__all__ = [
    "accelerator_mask",
    "build_allocation",
    "cell_mask",
    "drop_allocation",
    "put_allocation",
    "refresh_worker",
    "track_occupancy",
]

NO_CLASS = -1
NO_CORE_BUCKET = (-1, 0)
NO_ALLOCATION = WorkerAllocation()


@system(Phase.MEMBERSHIP, roles=(Role.ENTRY,), order=40)
def track_occupancy(world: World, now_ms: int) -> None:
    """Apply changes of workers, zones, minions, teams and gangs to the capacity.

    The cost depends on the number of changed rows, not on the size of the tables.
    """
    if world.scheduling.source is not world.agreed:
        _reset(world)
    changed = _track_fleet(world)
    changed |= _track_teams(world)
    if changed:
        world.scheduling.fleet_changed_ms = now_ms
        _recheck_all_jobs(world)
    if _track_gangs(world) or changed:
        world.scheduling.pass_due = True


def _recheck_all_jobs(world: World) -> None:
    """Mark every waiting and parked job to be checked against the changed fleet."""
    world.scheduling.feasibility_cache.clear()
    for state in (JobState.WAITING, JobState.PARKED):
        for job in world.agreed.jobs.find("state", state):
            world.scheduling.unchecked_jobs[job.name] = None


def _reset(world: World) -> None:
    """Start from empty state; the new tables report all of their rows as changed."""
    world.scheduling = SchedulingState(source=world.agreed)


def _track_fleet(world: World) -> bool:
    agreed = world.agreed
    names = set(agreed.workers.take_changes("occupancy"))
    for zone in agreed.availability_zones.take_changes("occupancy"):
        rows = agreed.workers.find("availability_zone", zone)
        names.update(row.name for row in rows)
    for name in agreed.minions.take_changes("occupancy"):
        minion = agreed.minions.get(name)
        if minion is not None:
            names.add(minion.worker)
    changed = False
    for name in sorted(names):
        worker = agreed.workers.get(name)
        if worker is not None:
            changed |= _track_worker(world, worker)
    return changed


def _track_worker(world: World, worker: Worker) -> bool:
    scheduling = world.scheduling
    capacity = scheduling.workers.get(worker.name)
    if capacity is None or capacity.accelerators != worker.accelerators:
        allocations = capacity.allocations if capacity is not None else {}
        if capacity is not None:
            _subtract_blocks(scheduling, capacity)
        capacity = _new_capacity(worker, allocations)
        scheduling.workers.put(capacity)
        refresh_worker(scheduling, capacity)
    in_service = _is_in_service(world, worker)
    if in_service == capacity.in_service:
        return False
    capacity.in_service = in_service
    refresh_worker(scheduling, capacity)
    return True


def _new_capacity(
    worker: Worker, allocations: dict[str, WorkerAllocation]
) -> WorkerCapacity:
    return WorkerCapacity(
        worker.name,
        worker.availability_zone,
        worker.rack,
        worker.cores,
        worker.memory_mb,
        worker.accelerators,
        (1 << worker.accelerators) - 1,
        allocations=allocations,
    )


def _is_in_service(world: World, worker: Worker) -> bool:
    zone = world.agreed.availability_zones.get(worker.availability_zone)
    if zone is None or not zone.in_service:
        return False
    minion = world.agreed.minions.get(worker.minion)
    return minion is None or minion.state is not MemberState.LEAVING


def _track_teams(world: World) -> bool:
    names = world.agreed.teams.take_changes("occupancy")
    for name in names:
        team = world.agreed.teams.get(name)
        if team is not None:
            _track_team(world.scheduling, team)
    return bool(names)


def _track_team(scheduling: SchedulingState, team: Team) -> None:
    guaranteed = [0] * CELL_CLASSES
    for shape in team.guarantees:
        guaranteed[class_of(shape.accelerators)] += shape.members * shape.count
    share = _share_of(scheduling, team.name)
    share.guaranteed = tuple(guaranteed)
    share.limit = team.accelerator_limit
    _refresh_share(scheduling, share)


def _share_of(scheduling: SchedulingState, team: str) -> TeamShare:
    share = scheduling.shares.get(team)
    if share is None:
        share = TeamShare(team)
        scheduling.shares.put(share)
    return share


def _refresh_share(scheduling: SchedulingState, share: TeamShare) -> None:
    add_counts(scheduling.demand, share.unused, -1)
    unused = list(share.guaranteed)
    for _, cell in share.cells:
        unused[class_of(cell.bit_count())] -= 1
    share.unused = tuple(max(count, 0) for count in unused)
    add_counts(scheduling.demand, share.unused)


def _track_gangs(world: World) -> bool:
    keys = world.agreed.gangs.take_changes("occupancy")
    changed = False
    for key in keys:
        gang = world.agreed.gangs.get(key)
        was_pending = key in world.scheduling.pending_gangs
        world.scheduling.pending_gangs.discard(key)
        if gang is None:
            drop_allocation(world.scheduling, str(key))
            changed = True
        elif was_pending or key not in world.scheduling.allocations:
            job = world.agreed.jobs.get(gang.job)
            put_allocation(
                world.scheduling, build_allocation(str(key), job, gang.placements)
            )
            changed = True
    return changed


def accelerator_mask(placement: Placement) -> int:
    """Return the mask of a member's accelerators."""
    return sum(1 << number for number in placement.accelerators)


def cell_mask(placement: Placement) -> int:
    """Return the mask of the guaranteed cell that contains a member, 0 if none.

    Examples
    --------
    >>> bin(cell_mask(Placement("w", (5, 6), 4)))
    '0b11110000'
    """
    if not placement.cell:
        return 0
    start = placement.accelerators[0] // placement.cell * placement.cell
    return ((1 << placement.cell) - 1) << start


def build_allocation(
    key: str, job: Job, placements: tuple[Placement, ...]
) -> Allocation:
    """Return the allocation of a gang with the given placements."""
    by_worker: dict[str, WorkerAllocation] = {}
    for placement in placements:
        previous = by_worker.get(placement.worker, NO_ALLOCATION)
        cell = cell_mask(placement)
        by_worker[placement.worker] = WorkerAllocation(
            previous.busy | accelerator_mask(placement),
            0,
            (*previous.cell_masks, cell) if cell else previous.cell_masks,
            previous.cores + job.cores,
            previous.memory_mb + job.memory_mb,
        )
    return Allocation(key, job.team, job.accelerators * len(placements), by_worker)


def put_allocation(scheduling: SchedulingState, allocation: Allocation) -> None:
    """Store an allocation and charge it to its workers and its team's share."""
    drop_allocation(scheduling, allocation.key)
    scheduling.allocations[allocation.key] = allocation
    share = _share_of(scheduling, allocation.team)
    share.used += allocation.accelerators
    for name, worker_allocation in allocation.by_worker.items():
        for cell in worker_allocation.cell_masks:
            bound_cell = (name, cell)
            share.cells[bound_cell] = share.cells.get(bound_cell, 0) + 1
        capacity = scheduling.workers.get(name)
        if capacity is not None:
            capacity.allocations[allocation.key] = worker_allocation
            refresh_worker(scheduling, capacity)
    _refresh_share(scheduling, share)


def drop_allocation(scheduling: SchedulingState, key: str) -> None:
    """Remove an allocation, if it exists, and release what it uses."""
    allocation = scheduling.allocations.pop(key, None)
    if allocation is None:
        return
    share = _share_of(scheduling, allocation.team)
    share.used -= allocation.accelerators
    for name, worker_allocation in allocation.by_worker.items():
        for cell in worker_allocation.cell_masks:
            _unbind(share, (name, cell))
        capacity = scheduling.workers.get(name)
        if capacity is not None:
            capacity.allocations.pop(key, None)
            refresh_worker(scheduling, capacity)
    _refresh_share(scheduling, share)


def _unbind(share: TeamShare, bound_cell: tuple[str, int]) -> None:
    share.cells[bound_cell] -= 1
    if not share.cells[bound_cell]:
        del share.cells[bound_cell]


def refresh_worker(scheduling: SchedulingState, capacity: WorkerCapacity) -> None:
    """Recompute the free capacity of one worker and its part of the totals."""
    busy = reserved = bound = pinned = cores = memory_mb = 0
    for worker_allocation in capacity.allocations.values():
        busy |= worker_allocation.busy
        reserved |= worker_allocation.reserved
        cores += worker_allocation.cores
        memory_mb += worker_allocation.memory_mb
        if worker_allocation.cell_masks:
            pinned |= worker_allocation.busy | worker_allocation.reserved
            for cell in worker_allocation.cell_masks:
                bound |= cell
    free = capacity.full_mask & ~(busy | reserved)
    unbound = capacity.full_mask & ~bound
    free_cores = capacity.cores - cores
    usable = _accepts_work(scheduling, capacity)
    _subtract_blocks(scheduling, capacity)
    scheduling.workers.update(
        capacity.name,
        usable=usable,
        busy=busy,
        reserved=reserved,
        bound=bound,
        pinned=pinned,
        free_cores=free_cores,
        free_memory_mb=capacity.memory_mb - memory_mb,
        free_class=_largest_class(free) if usable else NO_CLASS,
        unbound_class=_largest_class(unbound) if usable else NO_CLASS,
        core_bucket=_core_bucket(capacity, free_cores) if usable else NO_CORE_BUCKET,
        free_blocks=count_blocks(free if usable else 0),
        unbound_blocks=count_blocks(unbound if usable else 0),
    )
    add_counts(scheduling.free_blocks, capacity.free_blocks)
    add_counts(scheduling.unbound_blocks, capacity.unbound_blocks)


def _accepts_work(scheduling: SchedulingState, capacity: WorkerCapacity) -> bool:
    """Return whether a worker may get new work.

    A quarantined worker may only while it is probed, and then one gang at a time.
    """
    faults = scheduling.faults.get(capacity.name)
    quarantined = faults is not None and faults.quarantined
    paused = faults is not None and faults.paused
    if not capacity.in_service or paused or (quarantined and not capacity.probing):
        return False
    return not (capacity.probing and capacity.allocations)


def _subtract_blocks(scheduling: SchedulingState, capacity: WorkerCapacity) -> None:
    add_counts(scheduling.free_blocks, capacity.free_blocks, -1)
    add_counts(scheduling.unbound_blocks, capacity.unbound_blocks, -1)


def _largest_class(mask: int) -> int:
    counts = count_blocks(mask)
    for cell_class in reversed(range(CELL_CLASSES)):
        if counts[cell_class]:
            return cell_class
    return NO_CLASS


def _core_bucket(capacity: WorkerCapacity, free_cores: int) -> tuple[int, int]:
    return (int(capacity.accelerators > 0), max(free_cores, 0).bit_length())
