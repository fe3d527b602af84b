"""Baseline policies for comparison: first fit, and backfilling without guarantees."""

from kingcuppost.systems.jobs.advance_reservations import can_start, drop_reservation
from kingcuppost.systems.jobs.cells import count_cells
from kingcuppost.systems.jobs.choice import Choice, Policy, policies
from kingcuppost.tables.job import Job, Placement, RefusedAlternative, Urgency
from kingcuppost.tables.scheduling import WorkerCapacity
from kingcuppost.tables.world import World

__all__ = ["choose_first_fit", "find_adjacent"]


def find_adjacent(free: int, count: int) -> tuple[int, ...] | None:
    """Return the numbers of the first `count` adjacent accelerators in a mask, or None.

    Examples
    --------
    >>> find_adjacent(0b1101, 2)
    (2, 3)
    """
    adjacent = (1 << count) - 1
    for start in range(free.bit_length()):
        if (free >> start) & adjacent == adjacent:
            return tuple(range(start, start + count))
    return () if count == 0 else None


def choose_first_fit(world: World, job: Job, now_ms: int) -> Choice:
    """Place members on the first workers with enough free capacity, rack by rack."""
    return _first_fit(world, job, {})


def _first_fit(world: World, job: Job, lendable_masks: dict[str, int]) -> Choice:
    """Place by first fit, also on the reserved accelerators in `lendable_masks`.

    Parameters
    ----------
    world : World
        Tables of the process.
    job : Job
        Job to place.
    lendable_masks : dict of str to int
        Masks of reserved accelerators that the job may use, by worker.
    """
    placements: list[Placement] = []
    refused = []
    needed = job.members * job.accelerators
    if not lendable_masks and count_cells(world.scheduling.free_blocks, 0) < needed:
        reason = f"fewer than {needed} accelerators are free"
        return Choice(None, refused=(RefusedAlternative("all workers", reason),))
    workers = [
        worker
        for worker in world.scheduling.workers
        if worker.usable and worker.accelerators >= job.accelerators
    ]
    workers.sort(
        key=lambda worker: (worker.availability_zone, worker.rack, worker.name)
    )
    for worker in workers:
        wanted = job.members - len(placements)
        found = _place_members(worker, job, wanted, lendable_masks.get(worker.name, 0))
        placements.extend(found)
        if len(found) < wanted:
            refused.append(RefusedAlternative(worker.name, "no room for a member"))
        else:
            return Choice(tuple(placements), refused=tuple(refused))
    return Choice(None, refused=tuple(refused))


def _place_members(
    worker: WorkerCapacity, job: Job, wanted: int, lendable_mask: int
) -> list[Placement]:
    free = worker.full_mask & ~(worker.busy | (worker.reserved & ~lendable_mask))
    cores = worker.free_cores
    memory_mb = worker.free_memory_mb
    found = []
    while len(found) < wanted and cores >= job.cores and memory_mb >= job.memory_mb:
        adjacent = find_adjacent(free, job.accelerators)
        if adjacent is None:
            break
        found.append(Placement(worker.name, adjacent))
        free &= ~sum(1 << number for number in adjacent)
        cores -= job.cores
        memory_mb -= job.memory_mb
    return found


def _choose_backfill(world: World, job: Job, now_ms: int) -> Choice:
    """Place by first fit, also on accelerators reserved for jobs that start later.

    These are lent to a job that, by its declared run time, ends before the reserving
    job is expected to start.
    """
    reservation = world.scheduling.advance_reservations.get(job.name)
    if reservation is not None and can_start(world, reservation, job):
        return Choice(reservation.placements)
    drop_reservation(world.scheduling, job.name)
    return _first_fit(world, job, _lendable_masks(world, job, now_ms))


def _lendable_masks(world: World, job: Job, now_ms: int) -> dict[str, int]:
    """Return the masks of the accelerators that may be lent to a job, by worker.

    One reservation that allows the loan makes all accelerators of its workers lendable.
    """
    lendable_masks: dict[str, int] = {}
    for reservation in world.scheduling.advance_reservations:
        if job.declared_ms <= reservation.expected_free_ms - now_ms:
            for placement in reservation.placements:
                worker = world.scheduling.workers.get(placement.worker)
                lendable_masks[worker.name] = worker.full_mask
    return lendable_masks


def _sort_key_by_age(world: World, job: Job) -> tuple[int, int, int]:
    return (0, 0, job.submitted_offset)


def _sort_key_by_urgency(world: World, job: Job) -> tuple[int, int, int]:
    return (int(job.urgency is not Urgency.INTERACTIVE), 0, job.submitted_offset)


policies.register("first_fit")(
    Policy(_sort_key_by_age, choose_first_fit, strict=True, reserves=False)
)
policies.register("backfill")(Policy(_sort_key_by_urgency, _choose_backfill))
