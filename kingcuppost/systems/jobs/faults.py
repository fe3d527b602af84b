"""Workers that fail everything they start, or that reserve nothing.

The first are set aside and probed; the others are avoided for a pause that doubles.
"""

from kingcuppost.settings import effective_value
from kingcuppost.systems.events import note
from kingcuppost.systems.jobs.occupancy import refresh_worker
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import Job, JobState, gang_key
from kingcuppost.tables.scheduling import SchedulingState, WorkerFaults
from kingcuppost.tables.world import World

__all__ = ["avoid_worker", "follow_faults", "trust_worker"]

STEP = "worker.aside"
STEP_AVOID = "worker.avoid"
MOST_DOUBLINGS = 6


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=20)
def follow_faults(world: World, now_ms: int) -> None:
    """Count distinct failed jobs by worker; set workers aside, and probe them."""
    for name in world.agreed.jobs.take_changes("faults"):
        job = world.agreed.jobs.get(name)
        if job is None:
            world.scheduling.failures_seen.pop(name, None)
        else:
            _follow_job(world, job, now_ms)
    for row in world.scheduling.faults:
        if row.aside:
            _probe_when_due(world, row, now_ms)
        if row.avoided:
            _return_when_due(world, row, now_ms)


def avoid_worker(world: World, worker: str, now_ms: int) -> None:
    """Give no work to a worker for a while that reserved nothing for a gang.

    A lost worker is empty, and would otherwise draw one gang after the other.

    Parameters
    ----------
    world : World
        Tables of the scheduler.
    worker : str
        Name of the worker.
    now_ms : int
        Monotonic time.
    """
    row = world.scheduling.faults.get(worker) or WorkerFaults(worker)
    pause_ms = effective_value(world.agreed, "worker.pause_ms")
    row.return_ms = now_ms + (pause_ms << min(row.refusals, MOST_DOUBLINGS))
    row.refusals += 1
    row.avoided = True
    world.scheduling.faults.put(row)
    world.deadlines.add(row.return_ms)
    _refresh(world.scheduling, worker)
    text = f"The worker gets no work for {row.return_ms - now_ms} ms."
    note(world, STEP_AVOID, text, peer=worker)


def trust_worker(world: World, worker: str) -> None:
    """Forget refusals of a worker that has reserved a member."""
    row = world.scheduling.faults.get(worker)
    if row is None or not row.refusals:
        return
    row.refusals = 0
    if row.avoided:
        _return(world, row)
    if not row.jobs:
        world.scheduling.faults.delete(worker)


def _return_when_due(world: World, row: WorkerFaults, now_ms: int) -> None:
    if now_ms < row.return_ms:
        world.deadlines.add(row.return_ms)
        return
    _return(world, row)


def _return(world: World, row: WorkerFaults) -> None:
    row.avoided = False
    _refresh(world.scheduling, row.worker)
    world.scheduling.due = True
    note(world, STEP_AVOID, "The worker may get work again.", peer=row.worker)


def _follow_job(world: World, job: Job, now_ms: int) -> None:
    seen = world.scheduling.failures_seen
    for worker in job.failed_workers[seen.get(job.name, 0) :]:
        _count(world, worker, job.name, now_ms)
    if job.failed_workers:
        seen[job.name] = len(job.failed_workers)
    if job.state is JobState.DONE:
        seen.pop(job.name, None)
        _clear(world, job)


def _count(world: World, worker: str, job: str, now_ms: int) -> None:
    row = world.scheduling.faults.get(worker) or WorkerFaults(worker)
    row.jobs.add(job)
    world.scheduling.faults.put(row)
    limit = effective_value(world.agreed, "worker.failed_job_limit")
    if len(row.jobs) < limit:
        return
    row.aside = True
    row.probe_ms = now_ms + effective_value(world.agreed, "worker.probe_ms")
    world.deadlines.add(row.probe_ms)
    _set_probing(world.scheduling, worker, False)
    text = f"The worker is set aside after {len(row.jobs)} failed jobs."
    note(world, STEP, text, peer=worker, job=job)


def _probe_when_due(world: World, row: WorkerFaults, now_ms: int) -> None:
    worker = world.scheduling.workers.get(row.worker)
    if worker is None or worker.probing:
        return
    if now_ms < row.probe_ms:
        world.deadlines.add(row.probe_ms)
        return
    _set_probing(world.scheduling, row.worker, True)
    world.scheduling.due = True
    note(world, STEP, "The worker may run one job as a probe.", peer=row.worker)


def _clear(world: World, job: Job) -> None:
    """Trust the workers again on which a job has finished."""
    gang = world.agreed.ended_gangs.get(gang_key(job.name, job.incarnation))
    for placement in gang.placements if gang is not None else ():
        row = world.scheduling.faults.delete(placement.worker)
        if row is not None and (row.aside or row.avoided):
            _set_probing(world.scheduling, placement.worker, False)
            world.scheduling.due = True
            note(world, STEP, "The worker is in use again.", peer=placement.worker)


def _refresh(scheduling: SchedulingState, worker: str) -> None:
    row = scheduling.workers.get(worker)
    if row is not None:
        refresh_worker(scheduling, row)


def _set_probing(scheduling: SchedulingState, worker: str, probing: bool) -> None:
    row = scheduling.workers.get(worker)
    if row is not None:
        row.probing = probing
        refresh_worker(scheduling, row)
