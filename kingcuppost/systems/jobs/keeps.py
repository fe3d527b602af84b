"""Keeping accelerators free for a job that can't start yet."""

from collections import Counter
from heapq import nsmallest

from kingcuppost.settings import effective_value, team_path
from kingcuppost.systems.jobs.cells import blocks_in, class_of, numbers_of
from kingcuppost.systems.jobs.occupancy import (
    cell_mask,
    drop_hold,
    mask_of,
    put_hold,
)
from kingcuppost.systems.jobs.reclaim import may_stop, victims_for_cores
from kingcuppost.systems.jobs.run_times import expected_end_ms, expected_run_ms
from kingcuppost.tables.job import (
    Gang,
    GangState,
    Job,
    JobState,
    Placement,
    Urgency,
)
from kingcuppost.tables.scheduling import (
    Hold,
    Keep,
    SchedulingState,
    WorkerCapacity,
    WorkerHold,
)
from kingcuppost.tables.world import World

__all__ = [
    "bound_of",
    "drop_keep",
    "drop_stale_keeps",
    "is_ready",
    "keep_for_first",
    "overdue_gangs",
    "put_keep",
    "still_holds",
    "waits_for_earlier",
    "wake_for_keep",
]

NO_HOLD = WorkerHold()
COMPACT_SHARE = 0.5


def _key_of(job: str) -> str:
    return f"keep:{job}"


def put_keep(world: World, job: Job, keep: Keep, now_ms: int) -> None:
    """Keep a place for a job; within a guarantee this binds the cells.

    Then it takes cores and memory too: else a borrower that is stopped for them
    would be placed there again at once.
    """
    shares: dict[str, WorkerHold] = {}
    for placement in keep.placements:
        old = shares.get(placement.worker, NO_HOLD)
        cell = cell_mask(placement)
        cells = (*old.cells, cell) if cell else old.cells
        kept = old.kept | mask_of(placement)
        cores = old.cores + job.cores if keep.guaranteed else 0
        memory_mb = old.memory_mb + job.memory_mb if keep.guaranteed else 0
        shares[placement.worker] = WorkerHold(0, kept, cells, cores, memory_mb)
    world.scheduling.keeps.put(keep)
    put_hold(world.scheduling, Hold(_key_of(job.name), job.team, 0, shares))
    wake_for_keep(world, keep, now_ms)


def wake_for_keep(world: World, keep: Keep, now_ms: int) -> None:
    """Ask for a pass over the queue when a keep may stop gangs."""
    if keep.guaranteed:
        return
    for at_ms in (compact_at_ms(world, keep), bound_of(world, keep)):
        if at_ms > now_ms:
            world.deadlines.add(at_ms)
            _pass_at(world.scheduling, at_ms)


def _pass_at(scheduling: SchedulingState, at_ms: int) -> None:
    if not scheduling.pass_ms or at_ms < scheduling.pass_ms:
        scheduling.pass_ms = at_ms


def bound_of(world: World, keep: Keep) -> int:
    """Return when borrowers at the kept place are stopped, monotonic ms."""
    job = world.agreed.jobs.get(keep.job)
    path = team_path(job.team, job.urgency)
    return keep.since_ms + effective_value(world.agreed, "job.keep_bound_ms", path)


def drop_keep(scheduling: SchedulingState, job: str) -> None:
    """Give a kept place up."""
    if scheduling.keeps.delete(job) is not None:
        drop_hold(scheduling, _key_of(job))


def drop_stale_keeps(world: World) -> None:
    """Give up what is kept for jobs that wait no more."""
    for keep in world.scheduling.keeps:
        job = world.agreed.jobs.get(keep.job)
        if job is None or job.state is not JobState.WAITING:
            drop_keep(world.scheduling, keep.job)


def is_ready(world: World, keep: Keep, job: Job) -> bool:
    """Return whether the job can start now at the place kept for it."""
    members = Counter(placement.worker for placement in keep.placements)
    for placement in keep.placements:
        row = world.scheduling.workers.get(placement.worker)
        if not row.usable or row.busy & mask_of(placement):
            return False
    for name, members_there in members.items():
        row = world.scheduling.workers.get(name)
        count = 0 if keep.guaranteed else members_there
        if row.free_cores < count * job.cores:
            return False
        if row.free_memory_mb < count * job.memory_mb:
            return False
    return True


def still_holds(world: World, keep: Keep) -> bool:
    """Return whether it makes sense to wait for the kept place.

    It does not if a worker is out of use, or if guaranteed work has taken part of
    the place since; a place within a guarantee only waits for borrowers.
    """
    for placement in keep.placements:
        row = world.scheduling.workers.get(placement.worker)
        if not row.usable:
            return False
        if not keep.guaranteed and row.pinned & mask_of(placement) & ~row.busy:
            return False
    for gang in _blockers(world, keep):
        if may_stop(world, gang, True):
            continue
        if keep.guaranteed or gang.key not in keep.earlier:
            return False
    return True


def overdue_gangs(world: World, keep: Keep, job: Job, now_ms: int) -> frozenset[str]:
    """Return the borrowers to stop so that the job starts within its bound.

    Within a guarantee, and after the bound of a kept place, these are all
    borrowers there that were submitted later. Before, they are those once nothing
    that was there before the keep stands in the way.
    """
    past_bound = keep.guaranteed or now_ms >= bound_of(world, keep)
    if not past_bound and waits_for_earlier(world, keep):
        return _small_blockers(world, keep, job, now_ms)
    found = {gang.key for gang in _blockers(world, keep) if _yields(world, gang, keep)}
    if past_bound:
        found |= _core_victims(world, keep, job, frozenset(found))
    return frozenset(found)


def _yields(world: World, gang: Gang, keep: Keep) -> bool:
    """Return whether a gang gives way; overnight work only to work that is older.

    The order of submission never changes, so that no two jobs stop each other in
    turn.
    """
    if not may_stop(world, gang, keep.guaranteed):
        return False
    own = world.agreed.jobs.get(keep.job)
    other = world.agreed.jobs.get(gang.job)
    older = own.submitted_offset < other.submitted_offset
    return keep.guaranteed or own.urgency is Urgency.INTERACTIVE or older


def _small_blockers(world: World, keep: Keep, job: Job, now_ms: int) -> frozenset[str]:
    """Return all gangs in the way if they are few enough to be moved."""
    if now_ms < compact_at_ms(world, keep):
        return frozenset()
    blockers = _blockers(world, keep)
    if not all(may_stop(world, gang, False) for gang in blockers):
        return frozenset()
    held = sum(world.scheduling.holds[gang.key].accelerators for gang in blockers)
    if held > COMPACT_SHARE * job.members * job.accelerators:
        return frozenset()
    return frozenset(gang.key for gang in blockers)


def compact_at_ms(world: World, keep: Keep) -> int:
    """Return when small gangs are moved from the kept place, monotonic ms."""
    job = world.agreed.jobs.get(keep.job)
    path = team_path(job.team, job.urgency)
    return keep.since_ms + effective_value(world.agreed, "job.compact_after_ms", path)


def _blockers(world: World, keep: Keep) -> list[Gang]:
    """Return the gangs that hold accelerators of a kept place."""
    keys = sorted(_keys_on(world.scheduling, keep.placements))
    gangs = [world.agreed.gangs.get(key) for key in keys]
    return [gang for gang in gangs if gang is not None]


def waits_for_earlier(world: World, keep: Keep) -> bool:
    """Return whether a gang that was there before the keep still runs there."""
    return bool(keep.earlier & _keys_on(world.scheduling, keep.placements))


def _keys_on(
    scheduling: SchedulingState, placements: tuple[Placement, ...]
) -> frozenset[str]:
    """Return the keys of all holds whose tasks use part of a place."""
    return frozenset(
        key
        for placement in placements
        for key, part in scheduling.workers.get(placement.worker).holds.items()
        if part.busy & mask_of(placement)
    )


def _core_victims(
    world: World, keep: Keep, job: Job, victims: frozenset[str]
) -> frozenset[str]:
    members = Counter(placement.worker for placement in keep.placements)
    for name, members_there in members.items():
        row = world.scheduling.workers.get(name)
        count = 0 if keep.guaranteed else members_there
        more = victims_for_cores(world, row, count, job, keep.guaranteed, victims)
        victims = more if more is not None else victims
    return victims


def keep_for_first(world: World, job: Job, since_ms: int, now_ms: int) -> Keep | None:
    """Keep the places that should be free first for the first job in the queue.

    Parameters
    ----------
    world : World
        Tables of the process.
    job : Job
        The job; it needs accelerators.
    since_ms : int
        Since when a place has been kept for it.
    now_ms : int
        Monotonic time.

    Returns
    -------
    Keep or None
        None if there are too few places at all.
    """
    cell_class = class_of(job.accelerators)
    dated = []
    for row in world.scheduling.workers:
        if row.name in job.failed_workers:
            continue
        if row.usable and row.accelerators >= job.accelerators:
            dated.extend(_dated_blocks(world, row, cell_class))
    chosen = nsmallest(job.members, dated)
    if len(chosen) < job.members:
        return None
    placements = tuple(
        Placement(name, numbers_of(block, job.accelerators))
        for _, _, name, block in chosen
    )
    date_ms = now_ms + max(date for _, date, _, _ in chosen)
    earlier = _keys_on(world.scheduling, placements)
    return Keep(job.name, placements, False, since_ms, date_ms, earlier)


def _dated_blocks(
    world: World, row: WorkerCapacity, cell_class: int
) -> list[tuple[bool, int, str, int]]:
    """Return whether each block is within a guarantee, and when it is free."""
    found = []
    ends = _ends_on(world, row)
    for block in blocks_in(row.full_mask & ~row.kept, cell_class):
        waits = [end for busy, end in ends if busy & block]
        pinned = bool(block & row.pinned)
        found.append((pinned, max(waits, default=0), row.name, block))
    return found


def _ends_on(world: World, row: WorkerCapacity) -> list[tuple[int, int]]:
    """Return masks with the time until they should be free, in ms."""
    wall_ms = world.clock.wall_ms()
    ends = []
    for key, part in row.holds.items():
        if part.busy:
            ends.append((part.busy, _wait_ms(world, key, wall_ms)))
    return ends


def _wait_ms(world: World, key: str, wall_ms: int) -> int:
    """Return the time until a gang should end, one that is being placed included."""
    gang = world.agreed.gangs.get(key)
    job = world.agreed.jobs.get(key.rpartition("/")[0])
    if gang is None:
        return expected_run_ms(world.scheduling, job)
    if gang.state is GangState.STOPPING:
        return 0
    return expected_end_ms(world.scheduling, job, gang, wall_ms) - wall_ms
