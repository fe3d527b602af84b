"""Which borrowers are stopped so that a job gets its accelerators."""

from kingcuppost.tables.job import Gang, GangState, Job, Urgency
from kingcuppost.tables.scheduling import WorkerCapacity
from kingcuppost.tables.world import World

__all__ = ["lost_work", "may_stop", "victims_for_cores", "victims_on"]


def may_stop(world: World, gang: Gang, guaranteed: bool) -> bool:
    """Return whether a job may take the place of a gang.

    Work within a guarantee takes that of any borrower. Interactive work beyond
    its guarantee, and overnight work whose turn has come, take that of overnight
    borrowers only, so that no two jobs ever stop each other in turn.
    """
    if gang.state is GangState.STOPPING:
        return True
    if not gang.borrowed:
        return False
    other = world.agreed.jobs.get(gang.job)
    return guaranteed or other.urgency is Urgency.OVERNIGHT


def lost_work(world: World, gang: Gang) -> float:
    """Return the work at stake in a gang, in ms of accelerators.

    It is 0 for a gang that stops already.
    """
    if gang.state is GangState.STOPPING or not gang.released_wall_ms:
        return 0.0
    job = world.agreed.jobs.get(gang.job)
    run_ms = max(world.clock.wall_ms() - gang.released_wall_ms, 0)
    return float(run_ms * job.members * max(job.accelerators, 1))


def victims_on(
    world: World, row: WorkerCapacity, block: int, guaranteed: bool
) -> frozenset[str] | None:
    """Return the gangs that hold part of a block; None if one must not stop."""
    found = []
    for key, part in row.holds.items():
        if not part.busy & block:
            continue
        gang = world.agreed.gangs.get(key)
        if gang is None or not may_stop(world, gang, guaranteed):
            return None
        found.append(key)
    return frozenset(found)


def victims_for_cores(
    world: World,
    row: WorkerCapacity,
    members: int,
    job: Job,
    guaranteed: bool,
    victims: frozenset[str],
) -> frozenset[str] | None:
    """Return victims with those added that free enough cores and memory.

    Parameters
    ----------
    world : World
        Tables of the process.
    row : WorkerCapacity
        The worker.
    members : int
        Members of the job that are to run on it.
    job : Job
        The job.
    guaranteed : bool
        Whether it runs within its team's guarantee.
    victims : frozenset of str
        Gangs that stop anyway.

    Returns
    -------
    frozenset of str or None
        None if even all that may stop are too few.
    """
    parts = [row.holds[key] for key in victims if key in row.holds]
    cores = row.free_cores + sum(part.cores for part in parts)
    memory_mb = row.free_memory_mb + sum(part.memory_mb for part in parts)
    chosen = set(victims)
    for gang in _others(world, row, guaranteed, victims):
        if cores >= members * job.cores and memory_mb >= members * job.memory_mb:
            break
        chosen.add(gang.key)
        cores += row.holds[gang.key].cores
        memory_mb += row.holds[gang.key].memory_mb
    if cores < members * job.cores or memory_mb < members * job.memory_mb:
        return None
    return frozenset(chosen)


def _others(
    world: World,
    row: WorkerCapacity,
    guaranteed: bool,
    victims: frozenset[str],
) -> list[Gang]:
    gangs = [world.agreed.gangs.get(key) for key in row.holds if key not in victims]
    stoppable = [
        gang for gang in gangs if gang is not None and may_stop(world, gang, guaranteed)
    ]
    return sorted(stoppable, key=lambda gang: (lost_work(world, gang), gang.key))
