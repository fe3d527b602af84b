"""The queue of waiting jobs, kept in the order of the policy."""

from bisect import bisect_left, insort
from collections.abc import Callable

from kingcuppost.systems.jobs.run_times import learn_run_time
from kingcuppost.tables.job import Job, JobState, gang_key
from kingcuppost.tables.scheduling import QueueEntry, SchedulingState
from kingcuppost.tables.world import World

__all__ = ["Rank", "follow_jobs"]

Rank = Callable[[World, Job], tuple[int, int, int]]


def follow_jobs(world: World, policy: str, rank: Rank) -> None:
    """Take changed jobs into the queue or out of it, all in one pass.

    Parameters
    ----------
    world : World
        Tables of the process.
    policy : str
        Name of the policy; a change of policy orders the queue anew.
    rank : callable
        Order of the policy, smallest first.
    """
    scheduling = world.scheduling
    names = world.agreed.jobs.take_changes("placement")
    if scheduling.queue_policy != policy:
        scheduling.queue_policy = policy
        scheduling.queue.clear()
        scheduling.ranks.clear()
        waiting = world.agreed.jobs.find("state", JobState.WAITING)
        names = [*names, *(job.name for job in waiting)]
    for name in dict.fromkeys(names):
        _follow_job(world, str(name), rank)
    if names:
        scheduling.due = True


def _follow_job(world: World, name: str, rank: Rank) -> None:
    scheduling = world.scheduling
    job = world.agreed.jobs.get(name)
    _remove(scheduling, name)
    if job is None:
        return
    if job.state in (JobState.WAITING, JobState.PARKED):
        scheduling.unjudged[name] = None
    if job.state is JobState.WAITING:
        entry = QueueEntry(rank(world, job), name)
        scheduling.ranks[name] = entry
        insort(scheduling.queue, entry)
    elif job.state is JobState.DONE:
        _learn(world, job)


def _remove(scheduling: SchedulingState, name: str) -> None:
    entry = scheduling.ranks.pop(name, None)
    if entry is not None:
        del scheduling.queue[bisect_left(scheduling.queue, entry)]


def _learn(world: World, job: Job) -> None:
    gang = world.agreed.ended_gangs.get(gang_key(job.name, job.incarnation))
    if gang is not None and gang.released_wall_ms:
        run_ms = job.finished_wall_ms - gang.released_wall_ms
        learn_run_time(world.scheduling, job, run_ms)
