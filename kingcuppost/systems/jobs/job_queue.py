"""The queue of waiting jobs, sorted by the policy."""

from bisect import bisect_left, insort
from collections.abc import Callable

from kingcuppost.systems.jobs.run_times import record_run_time
from kingcuppost.tables.job import Job, JobState, gang_key
from kingcuppost.tables.scheduling import QueueEntry, SchedulingState
from kingcuppost.tables.world import World

__all__ = ["SortKey", "apply_job_changes"]

SortKey = Callable[[World, Job], tuple[int, int, int]]


def apply_job_changes(world: World, policy: str, sort_key: SortKey) -> None:
    """Insert changed jobs into the queue or remove them, all in one pass.

    Waiting and parked jobs are marked for a check of their feasibility. The run times
    of finished jobs are recorded.

    Parameters
    ----------
    world : World
        Tables of the process.
    policy : str
        Name of the policy; a change of policy sorts the queue again.
    sort_key : callable
        Returns the sort key of a job, smallest first.
    """
    scheduling = world.scheduling
    names = world.agreed.jobs.take_changes("placement")
    if scheduling.queue_policy != policy:
        scheduling.queue_policy = policy
        scheduling.queue.clear()
        scheduling.queue_entries.clear()
        waiting = world.agreed.jobs.find("state", JobState.WAITING)
        names = [*names, *(job.name for job in waiting)]
    for name in dict.fromkeys(names):
        _update_job(world, str(name), sort_key)
    if names:
        scheduling.pass_due = True


def _update_job(world: World, name: str, sort_key: SortKey) -> None:
    scheduling = world.scheduling
    job = world.agreed.jobs.get(name)
    _remove_entry(scheduling, name)
    if job is None:
        return
    if job.state in (JobState.WAITING, JobState.PARKED):
        scheduling.unchecked_jobs[name] = None
    if job.state is JobState.WAITING:
        entry = QueueEntry(sort_key(world, job), name)
        scheduling.queue_entries[name] = entry
        insort(scheduling.queue, entry)
    elif job.state is JobState.DONE:
        _record_finished_job(world, job)


def _remove_entry(scheduling: SchedulingState, name: str) -> None:
    entry = scheduling.queue_entries.pop(name, None)
    if entry is not None:
        del scheduling.queue[bisect_left(scheduling.queue, entry)]


def _record_finished_job(world: World, job: Job) -> None:
    gang = world.agreed.ended_gangs.get(gang_key(job.name, job.incarnation))
    if gang is not None and gang.released_wall_ms:
        run_ms = job.finished_wall_ms - gang.released_wall_ms
        record_run_time(world.scheduling, job, run_ms)
