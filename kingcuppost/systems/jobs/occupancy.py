"""Which accelerators, cores and memory of each worker are free."""

from kingcuppost.tables.job import Job, Placement
from kingcuppost.tables.world import Agreed

__all__ = ["FreeWorker", "free_workers", "take_adjacent"]

from dataclasses import dataclass


@dataclass(slots=True)
class FreeWorker:
    """What a worker has left.

    Attributes
    ----------
    name, availability_zone, rack : str
        The worker and where it stands.
    accelerators : set of int
        Numbers of its free accelerators.
    cores, memory_mb : int
        What is left of both.
    """

    name: str
    availability_zone: str
    rack: str
    accelerators: set[int]
    cores: int
    memory_mb: int


def free_workers(agreed: Agreed) -> dict[str, FreeWorker]:
    """Return what is left of every worker in an availability zone in service."""
    free = {}
    for worker in agreed.workers:
        zone = agreed.availability_zones.get(worker.availability_zone)
        if zone is None or not zone.in_service:
            continue
        free[worker.name] = FreeWorker(
            worker.name,
            worker.availability_zone,
            worker.rack,
            set(range(worker.accelerators)),
            worker.cores,
            worker.memory_mb,
        )
    for gang in agreed.gangs:
        job = agreed.jobs.get(gang.job)
        for placement in gang.placements:
            occupy(free, job, placement)
    return free


def occupy(free: dict[str, FreeWorker], job: Job, placement: Placement) -> None:
    """Take a member's share from its worker."""
    worker = free.get(placement.worker)
    if worker is not None:
        worker.accelerators -= set(placement.accelerators)
        worker.cores -= job.cores
        worker.memory_mb -= job.memory_mb


def take_adjacent(worker: FreeWorker, count: int) -> tuple[int, ...] | None:
    """Return the first run of adjacent free accelerators, or None.

    Examples
    --------
    >>> take_adjacent(FreeWorker("w", "z", "r", {0, 2, 3}, 8, 64), 2)
    (2, 3)
    """
    for start in sorted(worker.accelerators):
        run = tuple(range(start, start + count))
        if worker.accelerators.issuperset(run):
            return run
    return () if count == 0 else None
