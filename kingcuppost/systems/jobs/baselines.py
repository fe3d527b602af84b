"""Baselines to compare with: first fit, and backfilling without guarantees."""

from kingcuppost.systems.jobs.cells import slots_in
from kingcuppost.systems.jobs.choice import Choice, Policy, policies
from kingcuppost.systems.jobs.keeps import drop_keep, is_ready
from kingcuppost.tables.job import Job, Placement, RefusedAlternative, Urgency
from kingcuppost.tables.scheduling import WorkerCapacity
from kingcuppost.tables.world import World

__all__ = ["choose_first_fit", "take_adjacent"]


def take_adjacent(free: int, count: int) -> tuple[int, ...] | None:
    """Return the first run of adjacent free accelerators, or None.

    Examples
    --------
    >>> take_adjacent(0b1101, 2)
    (2, 3)
    """
    run = (1 << count) - 1
    for start in range(free.bit_length()):
        if (free >> start) & run == run:
            return tuple(range(start, start + count))
    return () if count == 0 else None


def choose_first_fit(world: World, job: Job, now_ms: int) -> Choice:
    """Take the first workers that hold a member each, rack by rack."""
    return _first_fit(world, job, {})


def _first_fit(world: World, job: Job, opened: dict[str, int]) -> Choice:
    """Place by first fit; `opened` masks of kept accelerators may be used too."""
    placements: list[Placement] = []
    refused = []
    wanted = job.members * job.accelerators
    if not opened and slots_in(world.scheduling.free_blocks, 0) < wanted:
        reason = f"fewer than {wanted} accelerators are free"
        return Choice(None, refused=(RefusedAlternative("all workers", reason),))
    rows = [
        row
        for row in world.scheduling.workers
        if row.usable and row.accelerators >= job.accelerators
    ]
    rows.sort(key=lambda row: (row.availability_zone, row.rack, row.name))
    for row in rows:
        wanted = job.members - len(placements)
        found = _members_on(row, job, wanted, opened.get(row.name, 0))
        placements.extend(found)
        if len(found) < wanted:
            refused.append(RefusedAlternative(row.name, "no room for a member"))
        else:
            return Choice(tuple(placements), refused=tuple(refused))
    return Choice(None, refused=tuple(refused))


def _members_on(
    row: WorkerCapacity, job: Job, wanted: int, opened: int
) -> list[Placement]:
    free = row.full_mask & ~(row.busy | (row.kept & ~opened))
    cores = row.free_cores
    memory_mb = row.free_memory_mb
    found = []
    while len(found) < wanted and cores >= job.cores and memory_mb >= job.memory_mb:
        run = take_adjacent(free, job.accelerators)
        if run is None:
            break
        found.append(Placement(row.name, run))
        free &= ~sum(1 << number for number in run)
        cores -= job.cores
        memory_mb -= job.memory_mb
    return found


def _choose_backfill(world: World, job: Job, now_ms: int) -> Choice:
    """Place by first fit; use kept places for what should end before their date."""
    keep = world.scheduling.keeps.get(job.name)
    if keep is not None and is_ready(world, keep, job):
        return Choice(keep.placements)
    drop_keep(world.scheduling, job.name)
    return _first_fit(world, job, _opened(world, job, now_ms))


def _opened(world: World, job: Job, now_ms: int) -> dict[str, int]:
    opened: dict[str, int] = {}
    for keep in world.scheduling.keeps:
        if job.declared_ms <= keep.date_ms - now_ms:
            for placement in keep.placements:
                row = world.scheduling.workers.get(placement.worker)
                opened[row.name] = row.full_mask
    return opened


def _rank_by_age(world: World, job: Job) -> tuple[int, int, int]:
    return (0, 0, job.submitted_offset)


def _rank_by_urgency(world: World, job: Job) -> tuple[int, int, int]:
    return (int(job.urgency is not Urgency.INTERACTIVE), 0, job.submitted_offset)


policies.register("first_fit")(
    Policy(_rank_by_age, choose_first_fit, strict=True, keeps=False)
)
policies.register("backfill")(Policy(_rank_by_urgency, _choose_backfill))
