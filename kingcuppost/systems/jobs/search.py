"""Finding places for the members of a gang.

Adjacency of a member's accelerators on one worker is required. That a gang stands
on one worker, else in one rack, else in one availability zone, is preferred.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import islice

from kingcuppost.systems.jobs.cells import (
    blocks_in,
    class_of,
    count_shortfall,
    numbers_of,
    slots_in,
    split_off,
    tidy_blocks,
)
from kingcuppost.systems.jobs.occupancy import mask_of
from kingcuppost.systems.jobs.reclaim import (
    lost_work,
    victims_for_cores,
    victims_on,
)
from kingcuppost.tables.job import Job, Placement
from kingcuppost.tables.scheduling import (
    CELL_CLASSES,
    Keep,
    SchedulingState,
    TeamShare,
    WorkerCapacity,
)
from kingcuppost.tables.world import World

__all__ = ["Plan", "find_borrowed", "find_free", "find_guaranteed", "find_kept"]

LEAST_CANDIDATES = 256
CANDIDATES_PER_MEMBER = 4
GROUPS_TRIED = 4
CORE_BITS = 32
NOBODY: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Candidate:
    """A place for one member.

    Attributes
    ----------
    worker : WorkerCapacity
        The worker.
    block : int
        Mask of the accelerators; 0 for a member that needs none.
    cell : int
        Mask of the guaranteed cell that the block is part of; 0 for a borrower.
    bound : bool
        Whether the team uses the cell already.
    victims : frozenset of str
        Gangs that must stop first.
    cost : float
        Work that they lose, in ms of accelerators.
    """

    worker: WorkerCapacity
    block: int
    cell: int = 0
    bound: bool = True
    victims: frozenset[str] = frozenset()
    cost: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """Places for all members of a gang.

    Attributes
    ----------
    placements : tuple of Placement
        One for each member.
    victims : frozenset of str
        Gangs that must stop first.
    """

    placements: tuple[Placement, ...]
    victims: frozenset[str] = frozenset()


def find_free(
    scheduling: SchedulingState, job: Job, avoid: frozenset[str] = NOBODY
) -> Plan | None:
    """Return free places for a borrower, the tightest that hold it."""
    if not job.accelerators:
        return _pick(_passing(_core_candidates(scheduling, job), avoid), job)
    cell_class = class_of(job.accelerators)
    if slots_in(scheduling.free_blocks, cell_class) < job.members:
        return None
    return _pick(_passing(_free_candidates(scheduling, job, cell_class), avoid), job)


def _passing(
    candidates: Iterator[Candidate], avoid: frozenset[str]
) -> Iterator[Candidate]:
    """Pass over workers that are to be avoided."""
    return (item for item in candidates if item.worker.name not in avoid)


def _free_candidates(
    scheduling: SchedulingState, job: Job, cell_class: int
) -> Iterator[Candidate]:
    for room in range(cell_class, CELL_CLASSES):
        for row in scheduling.workers.scan("room", room):
            free = row.full_mask & ~(row.busy | row.kept)
            blocks = tidy_blocks(free, cell_class)
            for block in blocks[: _fits(row, job)]:
                yield Candidate(row, block)


def find_kept(
    scheduling: SchedulingState, keep: Keep, job: Job, avoid: frozenset[str] = NOBODY
) -> Plan | None:
    """Return places for a borrower among those kept for another job."""
    if not job.accelerators:
        return None
    candidates = _kept_candidates(scheduling, keep, class_of(job.accelerators))
    return _pick(_passing(candidates, avoid), job)


def _kept_candidates(
    scheduling: SchedulingState, keep: Keep, cell_class: int
) -> Iterator[Candidate]:
    masks: dict[str, int] = defaultdict(int)
    for placement in keep.placements:
        masks[placement.worker] |= mask_of(placement)
    for name, mask in masks.items():
        row = scheduling.workers.get(name)
        if row.usable:
            for block in tidy_blocks(mask & ~(row.busy | row.pinned), cell_class):
                yield Candidate(row, block)


def _fits(row: WorkerCapacity, job: Job) -> int:
    """Return how many members the worker's free cores and memory hold."""
    by_cores = row.free_cores // job.cores if job.cores else job.members
    by_memory = row.free_memory_mb // job.memory_mb if job.memory_mb else job.members
    return max(min(by_cores, by_memory, job.members), 0)


def _core_candidates(scheduling: SchedulingState, job: Job) -> Iterator[Candidate]:
    """Yield workers for members without accelerators, those without any first."""
    for kind in (0, 1):
        for bits in range(job.cores.bit_length(), CORE_BITS):
            for row in scheduling.workers.scan("core_room", (kind, bits)):
                for _ in range(_fits(row, job)):
                    yield Candidate(row, 0)


def _pick(candidates: Iterator[Candidate], job: Job) -> Plan | None:
    """Choose adjacent places among candidates that cost nothing."""
    limit = 1 if job.members == 1 else _limit(job)
    found = list(islice(candidates, limit))
    chosen = _choose(found, job, lambda group: _fitting(group, job))
    if chosen is None:
        return None
    return Plan(_placements(chosen, job))


def _fitting(group: list[Candidate], job: Job) -> list[Candidate]:
    """Return as many candidates as the workers have cores and memory for."""
    members: dict[str, int] = defaultdict(int)
    chosen = []
    for item in group:
        if members[item.worker.name] < _fits(item.worker, job):
            members[item.worker.name] += 1
            chosen.append(item)
    return chosen[: job.members]


def _limit(job: Job) -> int:
    return max(LEAST_CANDIDATES, CANDIDATES_PER_MEMBER * job.members)


def _placements(chosen: list[Candidate], job: Job) -> tuple[Placement, ...]:
    return tuple(
        Placement(
            item.worker.name,
            numbers_of(item.block, job.accelerators) if item.block else (),
            item.cell.bit_count(),
        )
        for item in chosen
    )


Walk = Callable[[list[Candidate]], list[Candidate]]


def _choose(found: list[Candidate], job: Job, walk: Walk) -> list[Candidate] | None:
    """Return the cheapest choice; among equals one worker, rack or zone."""
    best = None
    best_cost = 0.0
    for level in (
        lambda item: item.worker.name,
        lambda item: item.worker.rack,
        lambda item: item.worker.availability_zone,
        lambda item: "",
    ):
        for group in _groups(found, job, level):
            chosen = walk(group)
            if len(chosen) < job.members:
                continue
            cost = sum(item.cost for item in chosen)
            if best is None or cost < best_cost:
                best, best_cost = chosen, cost
            if best_cost == 0:
                return best
    return best


def _groups(
    found: list[Candidate], job: Job, level: Callable[[Candidate], str]
) -> list[list[Candidate]]:
    """Return the groups that can hold the gang, the cheapest and tightest first."""
    groups = defaultdict(list)
    for item in found:
        groups[level(item)].append(item)
    able = [group for group in groups.values() if len(group) >= job.members]
    for group in able:
        group.sort(key=lambda item: item.cost)
    able.sort(key=lambda group: (_cost_of(group, job), len(group)))
    return able[:GROUPS_TRIED]


def _cost_of(group: list[Candidate], job: Job) -> float:
    return sum(item.cost for item in group[: job.members])


def find_guaranteed(
    world: World, job: Job, avoid: frozenset[str] = NOBODY
) -> Plan | None:
    """Return places within the team's guarantee, with the borrowers to stop.

    Only cells whose use leaves all other guarantees covered are taken.
    """
    scheduling = world.scheduling
    share = scheduling.shares.get(job.team)
    if share is None or not job.accelerators:
        return None
    cell_class = class_of(job.accelerators)
    if not _may_fit(share, job, cell_class):
        return None
    candidates = _guaranteed_candidates(world, share, job, cell_class)
    found = _take_until_free(_passing(candidates, avoid), job)
    chosen = _choose(found, job, lambda group: _walk(scheduling, share, job, group))
    if chosen is None:
        return None
    return _with_cores(world, chosen, job, guaranteed=True)


def _may_fit(share: TeamShare, job: Job, cell_class: int) -> bool:
    full_mask = sum(
        slots_in(count_of(cell), cell_class) for _, cell in share.cells
    ) + slots_in(share.unused, cell_class)
    return full_mask >= job.members


def count_of(cell: int) -> tuple[int, ...]:
    """Return the counts of one cell."""
    cell_class = class_of(cell.bit_count())
    return tuple(int(size == cell_class) for size in range(CELL_CLASSES))


def _take_until_free(candidates: Iterator[Candidate], job: Job) -> list[Candidate]:
    found = []
    for item in islice(candidates, _limit(job)):
        if job.members == 1 and not item.cost and not item.victims:
            return [item]
        found.append(item)
    return found


def _guaranteed_candidates(
    world: World, share: TeamShare, job: Job, cell_class: int
) -> Iterator[Candidate]:
    scheduling = world.scheduling
    for name, cell in share.cells:
        row = scheduling.workers.get(name)
        if row is not None and row.usable and _within_share(row, job, cell_class):
            yield from _blocks(world, row, cell, True, job, cell_class)
    for larger in range(cell_class, CELL_CLASSES):
        if share.unused[larger]:
            yield from _unbound(world, job, cell_class, larger, "room")
            yield from _unbound(world, job, cell_class, larger, "bind_room")


def _unbound(
    world: World, job: Job, cell_class: int, larger: int, index: str
) -> Iterator[Candidate]:
    """Yield blocks of cells that no guarantee uses; by `room` only free ones."""
    workers = world.scheduling.workers
    for room in range(larger, CELL_CLASSES):
        for row in workers.scan(index, room):
            if not _within_share(row, job, cell_class):
                continue
            unbound = row.full_mask & ~row.bound
            if index == "room":
                unbound &= ~(row.busy | row.kept)
            for cell in tidy_blocks(unbound, larger):
                yield from _blocks(world, row, cell, False, job, cell_class)


def _within_share(row: WorkerCapacity, job: Job, cell_class: int) -> bool:
    """Return whether a member needs no more than its cell's part of the worker."""
    size = 1 << cell_class
    return (
        job.cores * row.accelerators <= size * row.cores
        and job.memory_mb * row.accelerators <= size * row.memory_mb
    )


def _blocks(
    world: World, row: WorkerCapacity, cell: int, bound: bool, job: Job, size: int
) -> Iterator[Candidate]:
    for block in blocks_in(cell, size):
        if block & row.pinned:
            continue
        victims = victims_on(world, row, block, True)
        if victims is not None:
            yield Candidate(row, block, cell, bound, victims, _cost(world, victims))


def _cost(world: World, victims: frozenset[str]) -> float:
    return sum(lost_work(world, world.agreed.gangs.get(key)) for key in victims)


def _walk(
    scheduling: SchedulingState, share: TeamShare, job: Job, group: list[Candidate]
) -> list[Candidate]:
    """Take candidates in order while every guarantee stays covered."""
    blocks = list(scheduling.unbound_blocks)
    demand = list(scheduling.demand)
    unused = list(share.unused)
    missing = count_shortfall(blocks, demand)
    taken: dict[str, int] = {}
    cells: dict[str, list[int]] = {}
    chosen = []
    for item in group:
        name = item.worker.name
        if taken.get(name, 0) & item.block:
            continue
        own = cells.setdefault(name, [])
        if not item.bound and item.cell not in own:
            if any(item.cell & other for other in own):
                continue
            if not _bind(item, own, unused, blocks, demand, missing):
                continue
            own.append(item.cell)
        taken[name] = taken.get(name, 0) | item.block
        chosen.append(item)
        if len(chosen) == job.members:
            break
    return chosen


def _bind(
    item: Candidate,
    own: list[int],
    unused: list[int],
    blocks: list[int],
    demand: list[int],
    missing: int,
) -> bool:
    """Bind one more cell in the counts, unless a guarantee would lose cover."""
    cell_class = class_of(item.cell.bit_count())
    if not unused[cell_class]:
        return False
    unbound = item.worker.full_mask & ~item.worker.bound
    for other in own:
        unbound &= ~other
    trial_blocks = list(blocks)
    trial_demand = list(demand)
    split_off(trial_blocks, _enclosing(unbound, item.cell, cell_class), cell_class)
    trial_demand[cell_class] -= 1
    if count_shortfall(trial_blocks, trial_demand) > missing:
        return False
    unused[cell_class] -= 1
    blocks[:] = trial_blocks
    demand[:] = trial_demand
    return True


def _enclosing(unbound: int, cell: int, cell_class: int) -> int:
    """Return the class of the largest unbound block around a cell."""
    for larger in reversed(range(cell_class, CELL_CLASSES)):
        if any(block & cell for block in blocks_in(unbound, larger)):
            return larger
    return cell_class


def _with_cores(
    world: World, chosen: list[Candidate], job: Job, guaranteed: bool
) -> Plan | None:
    """Add the borrowers whose cores or memory the members need."""
    members: dict[str, int] = defaultdict(int)
    rows = {item.worker.name: item.worker for item in chosen}
    victims = frozenset().union(*(item.victims for item in chosen))
    for item in chosen:
        members[item.worker.name] += 1
    for name, count in members.items():
        victims = victims_for_cores(world, rows[name], count, job, guaranteed, victims)
        if victims is None:
            return None
    return Plan(_placements(chosen, job), victims)


def find_borrowed(
    world: World, job: Job, avoid: frozenset[str] = NOBODY
) -> Plan | None:
    """Return places that interactive work takes from overnight borrowers."""
    if not job.accelerators:
        return None
    cell_class = class_of(job.accelerators)
    candidates = _borrowed_candidates(world, job, cell_class)
    found = _take_until_free(_passing(candidates, avoid), job)
    chosen = _choose(found, job, lambda group: group[: job.members])
    if chosen is None:
        return None
    return _with_cores(world, chosen, job, guaranteed=False)


def _borrowed_candidates(
    world: World, job: Job, cell_class: int
) -> Iterator[Candidate]:
    for room in range(CELL_CLASSES):
        for row in world.scheduling.workers.scan("bind_room", room):
            open_to_all = row.full_mask & ~(row.pinned | row.kept)
            for block in blocks_in(open_to_all, cell_class):
                victims = victims_on(world, row, block, False)
                if victims is not None:
                    cost = _cost(world, victims)
                    yield Candidate(row, block, victims=victims, cost=cost)
