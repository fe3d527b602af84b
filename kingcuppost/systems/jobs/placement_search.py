"""Search for placements of the members of a gang.

The accelerators of a member must be adjacent on one worker. At equal cost, one worker
is preferred for all members, then one rack, then one availability zone. Workers whose
names are in `excluded` are not used.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import islice

from kingcuppost.systems.jobs.cells import (
    accelerator_numbers,
    best_fit_blocks,
    blocks_in,
    class_of,
    count_cells,
    count_shortfall,
    split_block,
)
from kingcuppost.systems.jobs.occupancy import accelerator_mask
from kingcuppost.systems.jobs.reclaim import (
    lost_work,
    victims_for_cores,
    victims_on,
)
from kingcuppost.tables.job import Job, Placement
from kingcuppost.tables.scheduling import (
    CELL_CLASSES,
    AdvanceReservation,
    SchedulingState,
    TeamShare,
    WorkerCapacity,
)
from kingcuppost.tables.world import World

__all__ = ["Plan", "find_borrowed", "find_free", "find_guaranteed", "find_reserved"]

MIN_CANDIDATE_LIMIT = 256  # candidates at which a search stops, for a small gang
CANDIDATES_PER_MEMBER = 4
MAX_GROUPS = 4  # groups of candidates tried at each level of closeness
CORE_BUCKETS = 32  # a worker's bucket is the bit length of its number of free cores
NO_WORKERS: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Candidate:
    """A possible placement of one member.

    Attributes
    ----------
    worker : WorkerCapacity
        The worker.
    block : int
        Mask of the accelerators; 0 for a member that needs none.
    cell_mask : int
        Mask of the guaranteed cell that contains the block; 0 for a borrower.
    bound : bool
        Whether the cell is bound to the team already.
    victims : frozenset of str
        Keys of the gangs that must be stopped first.
    cost : float
        Work that the victims lose, in accelerator ms.
    """

    worker: WorkerCapacity
    block: int
    cell_mask: int = 0
    bound: bool = True
    victims: frozenset[str] = frozenset()
    cost: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """Placements of all members of a gang.

    Attributes
    ----------
    placements : tuple of Placement
        One for each member.
    victims : frozenset of str
        Keys of the gangs that must be stopped first.
    """

    placements: tuple[Placement, ...]
    victims: frozenset[str] = frozenset()


def find_free(
    scheduling: SchedulingState, job: Job, excluded: frozenset[str] = NO_WORKERS
) -> Plan | None:
    """Return best-fit placements on free capacity for a borrower, or None."""
    if not job.accelerators:
        return _plan_free(_exclude(_core_candidates(scheduling, job), excluded), job)
    cell_class = class_of(job.accelerators)
    if count_cells(scheduling.free_blocks, cell_class) < job.members:
        return None
    return _plan_free(
        _exclude(_free_candidates(scheduling, job, cell_class), excluded), job
    )


def _exclude(
    candidates: Iterator[Candidate], excluded: frozenset[str]
) -> Iterator[Candidate]:
    """Skip the candidates on excluded workers."""
    return (
        candidate for candidate in candidates if candidate.worker.name not in excluded
    )


def _free_candidates(
    scheduling: SchedulingState, job: Job, cell_class: int
) -> Iterator[Candidate]:
    for free_class in range(cell_class, CELL_CLASSES):
        for worker in scheduling.workers.scan("free_class", free_class):
            free = worker.full_mask & ~(worker.busy | worker.reserved)
            blocks = best_fit_blocks(free, cell_class)
            for block in blocks[: _count_fitting(worker, job)]:
                yield Candidate(worker, block)


def find_reserved(
    scheduling: SchedulingState,
    reservation: AdvanceReservation,
    job: Job,
    excluded: frozenset[str] = NO_WORKERS,
) -> Plan | None:
    """Return a borrower's placements within another job's reservation, or None."""
    if not job.accelerators:
        return None
    candidates = _reserved_candidates(
        scheduling, reservation, class_of(job.accelerators)
    )
    return _plan_free(_exclude(candidates, excluded), job)


def _reserved_candidates(
    scheduling: SchedulingState, reservation: AdvanceReservation, cell_class: int
) -> Iterator[Candidate]:
    masks: dict[str, int] = defaultdict(int)
    for placement in reservation.placements:
        masks[placement.worker] |= accelerator_mask(placement)
    for name, mask in masks.items():
        worker = scheduling.workers.get(name)
        if worker.usable:
            for block in best_fit_blocks(
                mask & ~(worker.busy | worker.pinned), cell_class
            ):
                yield Candidate(worker, block)


def _count_fitting(worker: WorkerCapacity, job: Job) -> int:
    """Return how many members fit into the worker's free cores and memory."""
    by_cores = worker.free_cores // job.cores if job.cores else job.members
    by_memory = worker.free_memory_mb // job.memory_mb if job.memory_mb else job.members
    return max(min(by_cores, by_memory, job.members), 0)


def _core_candidates(scheduling: SchedulingState, job: Job) -> Iterator[Candidate]:
    """Yield candidates without accelerators, on workers that have none first."""
    for has_accelerators in (0, 1):
        for bits in range(job.cores.bit_length(), CORE_BUCKETS):
            for worker in scheduling.workers.scan(
                "core_bucket", (has_accelerators, bits)
            ):
                for _ in range(_count_fitting(worker, job)):
                    yield Candidate(worker, 0)


def _plan_free(candidates: Iterator[Candidate], job: Job) -> Plan | None:
    """Choose placements close to each other among candidates without victims."""
    limit = 1 if job.members == 1 else _candidate_limit(job)
    found = list(islice(candidates, limit))
    chosen = _choose_group(found, job, lambda group: _select_fitting(group, job))
    if chosen is None:
        return None
    return Plan(_placements(chosen, job))


def _select_fitting(group: list[Candidate], job: Job) -> list[Candidate]:
    """Return the candidates for which the workers have enough cores and memory."""
    members: dict[str, int] = defaultdict(int)
    chosen = []
    for candidate in group:
        if members[candidate.worker.name] < _count_fitting(candidate.worker, job):
            members[candidate.worker.name] += 1
            chosen.append(candidate)
    return chosen[: job.members]


def _candidate_limit(job: Job) -> int:
    return max(MIN_CANDIDATE_LIMIT, CANDIDATES_PER_MEMBER * job.members)


def _placements(chosen: list[Candidate], job: Job) -> tuple[Placement, ...]:
    return tuple(
        Placement(
            candidate.worker.name,
            accelerator_numbers(candidate.block, job.accelerators)
            if candidate.block
            else (),
            candidate.cell_mask.bit_count(),
        )
        for candidate in chosen
    )


Selector = Callable[[list[Candidate]], list[Candidate]]


def _choose_group(
    found: list[Candidate], job: Job, select: Selector
) -> list[Candidate] | None:
    """Return the cheapest candidates for all members; None if there are too few.

    Among equally cheap ones, those on the closest workers are chosen.
    """
    best = None
    best_cost = 0.0
    for level in (
        lambda candidate: candidate.worker.name,
        lambda candidate: candidate.worker.rack,
        lambda candidate: candidate.worker.availability_zone,
        lambda candidate: "",
    ):
        for group in _groups(found, job, level):
            chosen = select(group)
            if len(chosen) < job.members:
                continue
            cost = sum(candidate.cost for candidate in chosen)
            if best is None or cost < best_cost:
                best, best_cost = chosen, cost
            if best_cost == 0:
                return best
    return best


def _groups(
    found: list[Candidate], job: Job, level: Callable[[Candidate], str]
) -> list[list[Candidate]]:
    """Return groups with enough candidates: the cheapest, at equal cost the smallest.

    Candidates are grouped by the value of `level`, such as the rack.
    """
    groups = defaultdict(list)
    for candidate in found:
        groups[level(candidate)].append(candidate)
    large_enough = [group for group in groups.values() if len(group) >= job.members]
    for group in large_enough:
        group.sort(key=lambda candidate: candidate.cost)
    large_enough.sort(key=lambda group: (_group_cost(group, job), len(group)))
    return large_enough[:MAX_GROUPS]


def _group_cost(group: list[Candidate], job: Job) -> float:
    return sum(candidate.cost for candidate in group[: job.members])


def find_guaranteed(
    world: World, job: Job, excluded: frozenset[str] = NO_WORKERS
) -> Plan | None:
    """Return placements within the team's guarantee, with the borrowers to stop.

    Only cells whose use leaves all other guarantees covered are chosen. None if there
    are too few, or if the job needs no accelerators.
    """
    scheduling = world.scheduling
    share = scheduling.shares.get(job.team)
    if share is None or not job.accelerators:
        return None
    cell_class = class_of(job.accelerators)
    if not _may_fit(share, job, cell_class):
        return None
    candidates = _guaranteed_candidates(world, share, job, cell_class)
    found = _collect_candidates(_exclude(candidates, excluded), job)
    chosen = _choose_group(
        found, job, lambda group: _select_covered(scheduling, share, job, group)
    )
    if chosen is None:
        return None
    return _plan_with_cores(world, chosen, job, guaranteed=True)


def _may_fit(share: TeamShare, job: Job, cell_class: int) -> bool:
    """Return whether the team has enough guaranteed cells, used or not, for the job."""
    cells = sum(
        count_cells(cell_counts(cell), cell_class) for _, cell in share.cells
    ) + count_cells(share.unused, cell_class)
    return cells >= job.members


def cell_counts(cell: int) -> tuple[int, ...]:
    """Return the counts by class of a single cell, given as a mask."""
    cell_class = class_of(cell.bit_count())
    return tuple(int(other_class == cell_class) for other_class in range(CELL_CLASSES))


def _collect_candidates(candidates: Iterator[Candidate], job: Job) -> list[Candidate]:
    """Return the first candidates; for one member, the first without victims if any."""
    found = []
    for candidate in islice(candidates, _candidate_limit(job)):
        if job.members == 1 and not candidate.cost and not candidate.victims:
            return [candidate]
        found.append(candidate)
    return found


def _guaranteed_candidates(
    world: World, share: TeamShare, job: Job, cell_class: int
) -> Iterator[Candidate]:
    scheduling = world.scheduling
    for name, cell in share.cells:
        worker = scheduling.workers.get(name)
        if (
            worker is not None
            and worker.usable
            and _within_cell_share(worker, job, cell_class)
        ):
            yield from _block_candidates(world, worker, cell, True, job, cell_class)
    for guaranteed_class in range(cell_class, CELL_CLASSES):
        if share.unused[guaranteed_class]:
            yield from _unbound_candidates(
                world, job, cell_class, guaranteed_class, "free_class"
            )
            yield from _unbound_candidates(
                world, job, cell_class, guaranteed_class, "unbound_class"
            )


def _unbound_candidates(
    world: World, job: Job, cell_class: int, guaranteed_class: int, index: str
) -> Iterator[Candidate]:
    """Yield blocks of unbound cells; only free ones with the index ``free_class``."""
    workers = world.scheduling.workers
    for worker_class in range(guaranteed_class, CELL_CLASSES):
        for worker in workers.scan(index, worker_class):
            if not _within_cell_share(worker, job, cell_class):
                continue
            unbound = worker.full_mask & ~worker.bound
            if index == "free_class":
                unbound &= ~(worker.busy | worker.reserved)
            for cell in best_fit_blocks(unbound, guaranteed_class):
                yield from _block_candidates(
                    world, worker, cell, False, job, cell_class
                )


def _within_cell_share(worker: WorkerCapacity, job: Job, cell_class: int) -> bool:
    """Return whether a member needs at most its cell's part of cores and memory."""
    size = 1 << cell_class
    return (
        job.cores * worker.accelerators <= size * worker.cores
        and job.memory_mb * worker.accelerators <= size * worker.memory_mb
    )


def _block_candidates(
    world: World,
    worker: WorkerCapacity,
    cell: int,
    bound: bool,
    job: Job,
    cell_class: int,
) -> Iterator[Candidate]:
    for block in blocks_in(cell, cell_class):
        if block & worker.pinned:
            continue
        victims = victims_on(world, worker, block, True)
        if victims is not None:
            yield Candidate(
                worker, block, cell, bound, victims, _total_lost_work(world, victims)
            )


def _total_lost_work(world: World, victims: frozenset[str]) -> float:
    return sum(lost_work(world, world.agreed.gangs.get(key)) for key in victims)


def _select_covered(
    scheduling: SchedulingState, share: TeamShare, job: Job, group: list[Candidate]
) -> list[Candidate]:
    """Select in order the candidates that leave every guarantee covered.

    A shortfall that exists already may stay, but does not grow.
    """
    blocks = list(scheduling.unbound_blocks)
    demand = list(scheduling.demand)
    unused = list(share.unused)
    missing = count_shortfall(blocks, demand)
    taken: dict[str, int] = {}
    cells: dict[str, list[int]] = {}
    chosen = []
    for candidate in group:
        name = candidate.worker.name
        if taken.get(name, 0) & candidate.block:
            continue
        bound_cells = cells.setdefault(name, [])
        if not candidate.bound and candidate.cell_mask not in bound_cells:
            if any(candidate.cell_mask & other for other in bound_cells):
                continue
            if not _bind(candidate, bound_cells, unused, blocks, demand, missing):
                continue
            bound_cells.append(candidate.cell_mask)
        taken[name] = taken.get(name, 0) | candidate.block
        chosen.append(candidate)
        if len(chosen) == job.members:
            break
    return chosen


def _bind(
    candidate: Candidate,
    bound_cells: list[int],
    unused: list[int],
    blocks: list[int],
    demand: list[int],
    missing: int,
) -> bool:
    """Bind one more cell in the counts unless that would increase the shortfall.

    The counts are changed in place. Returns whether the cell was bound.
    """
    cell_class = class_of(candidate.cell_mask.bit_count())
    if not unused[cell_class]:
        return False
    unbound = candidate.worker.full_mask & ~candidate.worker.bound
    for other in bound_cells:
        unbound &= ~other
    trial_blocks = list(blocks)
    trial_demand = list(demand)
    split_block(
        trial_blocks,
        _enclosing_class(unbound, candidate.cell_mask, cell_class),
        cell_class,
    )
    trial_demand[cell_class] -= 1
    if count_shortfall(trial_blocks, trial_demand) > missing:
        return False
    unused[cell_class] -= 1
    blocks[:] = trial_blocks
    demand[:] = trial_demand
    return True


def _enclosing_class(unbound: int, cell: int, cell_class: int) -> int:
    """Return the class of the largest unbound block that contains a cell."""
    for larger in reversed(range(cell_class, CELL_CLASSES)):
        if any(block & cell for block in blocks_in(unbound, larger)):
            return larger
    return cell_class


def _plan_with_cores(
    world: World, chosen: list[Candidate], job: Job, guaranteed: bool
) -> Plan | None:
    """Return a plan that also stops borrowers whose cores or memory are needed."""
    members: dict[str, int] = defaultdict(int)
    workers = {candidate.worker.name: candidate.worker for candidate in chosen}
    victims = frozenset().union(*(candidate.victims for candidate in chosen))
    for candidate in chosen:
        members[candidate.worker.name] += 1
    for name, count in members.items():
        victims = victims_for_cores(
            world, workers[name], count, job, guaranteed, victims
        )
        if victims is None:
            return None
    return Plan(_placements(chosen, job), victims)


def find_borrowed(
    world: World, job: Job, excluded: frozenset[str] = NO_WORKERS
) -> Plan | None:
    """Return placements that stop overnight borrowers for interactive work, or None."""
    if not job.accelerators:
        return None
    cell_class = class_of(job.accelerators)
    candidates = _borrowed_candidates(world, job, cell_class)
    found = _collect_candidates(_exclude(candidates, excluded), job)
    chosen = _choose_group(found, job, lambda group: group[: job.members])
    if chosen is None:
        return None
    return _plan_with_cores(world, chosen, job, guaranteed=False)


def _borrowed_candidates(
    world: World, job: Job, cell_class: int
) -> Iterator[Candidate]:
    for worker_class in range(CELL_CLASSES):
        for worker in world.scheduling.workers.scan("unbound_class", worker_class):
            available = worker.full_mask & ~(worker.pinned | worker.reserved)
            for block in blocks_in(available, cell_class):
                victims = victims_on(world, worker, block, False)
                if victims is not None:
                    cost = _total_lost_work(world, victims)
                    yield Candidate(worker, block, victims=victims, cost=cost)
