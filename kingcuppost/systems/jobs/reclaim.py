"""Selection of the borrowers to stop so that a job gets accelerators."""

from kingcuppost.tables.job import Gang, GangState, Job, Urgency
from kingcuppost.tables.scheduling import WorkerCapacity
from kingcuppost.tables.world import World

__all__ = ["lost_work", "may_preempt", "victims_for_cores", "victims_on"]


def may_preempt(world: World, gang: Gang, guaranteed: bool) -> bool:
    """Return whether a job may preempt a gang, or the gang is stopping already.

    Work within a guarantee may preempt any borrower. Interactive work beyond its
    guarantee, and overnight work whose reservation is due, may preempt overnight
    borrowers only, so that no two jobs preempt each other alternately.
    """
    if gang.state is GangState.STOPPING:
        return True
    if not gang.borrowed:
        return False
    other = world.agreed.jobs.get(gang.job)
    return guaranteed or other.urgency is Urgency.OVERNIGHT


def lost_work(world: World, gang: Gang) -> float:
    """Return the work that a stop of the gang would lose, in accelerator ms.

    It is 0 for a gang that is stopping already or was not released.
    """
    if gang.state is GangState.STOPPING or not gang.released_wall_ms:
        return 0.0
    job = world.agreed.jobs.get(gang.job)
    run_ms = max(world.clock.wall_ms() - gang.released_wall_ms, 0)
    return float(run_ms * job.members * max(job.accelerators, 1))


def victims_on(
    world: World, worker: WorkerCapacity, block: int, guaranteed: bool
) -> frozenset[str] | None:
    """Return the keys of the gangs on a block; None if one is not preemptible."""
    found = []
    for key, worker_allocation in worker.allocations.items():
        if not worker_allocation.busy & block:
            continue
        gang = world.agreed.gangs.get(key)
        if gang is None or not may_preempt(world, gang, guaranteed):
            return None
        found.append(key)
    return frozenset(found)


def victims_for_cores(
    world: World,
    worker: WorkerCapacity,
    members: int,
    job: Job,
    guaranteed: bool,
    victims: frozenset[str],
) -> frozenset[str] | None:
    """Add victims until enough cores and memory of a worker are free.

    Gangs that would lose the least work are added first.

    Parameters
    ----------
    world : World
        Tables of the process.
    worker : WorkerCapacity
        The worker.
    members : int
        Number of members of the job to run on it.
    job : Job
        The job.
    guaranteed : bool
        Whether it runs within its team's guarantee.
    victims : frozenset of str
        Keys of the gangs that are victims in any case.

    Returns
    -------
    frozenset of str or None
        Keys of all victims; None if all preemptible gangs together do not free enough.
    """
    freed = [worker.allocations[key] for key in victims if key in worker.allocations]
    cores = worker.free_cores + sum(
        worker_allocation.cores for worker_allocation in freed
    )
    memory_mb = worker.free_memory_mb + sum(
        worker_allocation.memory_mb for worker_allocation in freed
    )
    chosen = set(victims)
    for gang in _preemptible_gangs(world, worker, guaranteed, victims):
        if cores >= members * job.cores and memory_mb >= members * job.memory_mb:
            break
        chosen.add(gang.key)
        cores += worker.allocations[gang.key].cores
        memory_mb += worker.allocations[gang.key].memory_mb
    if cores < members * job.cores or memory_mb < members * job.memory_mb:
        return None
    return frozenset(chosen)


def _preemptible_gangs(
    world: World,
    worker: WorkerCapacity,
    guaranteed: bool,
    victims: frozenset[str],
) -> list[Gang]:
    gangs = [
        world.agreed.gangs.get(key) for key in worker.allocations if key not in victims
    ]
    preemptible = [
        gang
        for gang in gangs
        if gang is not None and may_preempt(world, gang, guaranteed)
    ]
    return sorted(preemptible, key=lambda gang: (lost_work(world, gang), gang.key))
