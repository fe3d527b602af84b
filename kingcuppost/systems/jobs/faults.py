"""Detection of workers on which jobs fail or that refuse member reservations.

A worker on which several jobs failed is quarantined and probed. One that
does not reserve a member gets no work for a pause that doubles each time.
"""

from kingcuppost.settings import effective_value
from kingcuppost.systems.events import note
from kingcuppost.systems.jobs.occupancy import refresh_worker
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import Job, JobState, gang_key
from kingcuppost.tables.scheduling import SchedulingState, WorkerFaults
from kingcuppost.tables.world import World

__all__ = ["pause_worker", "reset_refusals", "track_faults"]

STEP_QUARANTINE = "worker.aside"
STEP_PAUSE = "worker.avoid"
MAX_DOUBLINGS = 6


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=20)
def track_faults(world: World, now_ms: int) -> None:
    """Count the distinct failed jobs of each worker; quarantine, probe and resume."""
    for name in world.agreed.jobs.take_changes("faults"):
        job = world.agreed.jobs.get(name)
        if job is None:
            world.scheduling.counted_failures.pop(name, None)
        else:
            _track_job(world, job, now_ms)
    for row in world.scheduling.faults:
        if row.quarantined:
            _probe_when_due(world, row, now_ms)
        if row.paused:
            _resume_when_due(world, row, now_ms)


def pause_worker(world: World, worker: str, now_ms: int) -> None:
    """Exclude a worker from placement for a while after it did not reserve a member.

    An unreachable worker appears to be wholly free, and would otherwise attract one
    gang after the other.

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
    row.resume_ms = now_ms + (pause_ms << min(row.refusals, MAX_DOUBLINGS))
    row.refusals += 1
    row.paused = True
    world.scheduling.faults.put(row)
    world.deadlines.add(row.resume_ms)
    _refresh(world.scheduling, worker)
    text = f"Worker is excluded from placement for {row.resume_ms - now_ms} ms."
    note(world, STEP_PAUSE, text, peer=worker)


def reset_refusals(world: World, worker: str) -> None:
    """Clear the refusals of a worker that has reserved a member."""
    row = world.scheduling.faults.get(worker)
    if row is None or not row.refusals:
        return
    row.refusals = 0
    if row.paused:
        _resume(world, row)
    if not row.jobs:
        world.scheduling.faults.delete(worker)


def _resume_when_due(world: World, row: WorkerFaults, now_ms: int) -> None:
    if now_ms < row.resume_ms:
        world.deadlines.add(row.resume_ms)
        return
    _resume(world, row)


def _resume(world: World, row: WorkerFaults) -> None:
    row.paused = False
    _refresh(world.scheduling, row.worker)
    world.scheduling.pass_due = True
    note(world, STEP_PAUSE, "Worker accepts work again after a pause.", peer=row.worker)


def _track_job(world: World, job: Job, now_ms: int) -> None:
    counted = world.scheduling.counted_failures
    for worker in job.failed_workers[counted.get(job.name, 0) :]:
        _count_failure(world, worker, job.name, now_ms)
    if job.failed_workers:
        counted[job.name] = len(job.failed_workers)
    if job.state is JobState.DONE:
        counted.pop(job.name, None)
        _clear_faults(world, job)


def _count_failure(world: World, worker: str, job: str, now_ms: int) -> None:
    row = world.scheduling.faults.get(worker) or WorkerFaults(worker)
    row.jobs.add(job)
    world.scheduling.faults.put(row)
    limit = effective_value(world.agreed, "worker.failed_job_limit")
    if len(row.jobs) < limit:
        return
    row.quarantined = True
    row.probe_ms = now_ms + effective_value(world.agreed, "worker.probe_ms")
    world.deadlines.add(row.probe_ms)
    _set_probing(world.scheduling, worker, False)
    text = f"Worker is quarantined after {len(row.jobs)} failed jobs."
    note(world, STEP_QUARANTINE, text, peer=worker, job=job)


def _probe_when_due(world: World, row: WorkerFaults, now_ms: int) -> None:
    worker = world.scheduling.workers.get(row.worker)
    if worker is None or worker.probing:
        return
    if now_ms < row.probe_ms:
        world.deadlines.add(row.probe_ms)
        return
    _set_probing(world.scheduling, row.worker, True)
    world.scheduling.pass_due = True
    note(
        world,
        STEP_QUARANTINE,
        "Quarantined worker may run one job as a probe.",
        peer=row.worker,
    )


def _clear_faults(world: World, job: Job) -> None:
    """Clear the faults of the workers on which a job has finished."""
    gang = world.agreed.ended_gangs.get(gang_key(job.name, job.incarnation))
    for placement in gang.placements if gang is not None else ():
        row = world.scheduling.faults.delete(placement.worker)
        if row is not None and (row.quarantined or row.paused):
            _set_probing(world.scheduling, placement.worker, False)
            world.scheduling.pass_due = True
            note(
                world,
                STEP_QUARANTINE,
                "Worker accepts work again after a finished job.",
                peer=placement.worker,
            )


def _refresh(scheduling: SchedulingState, worker: str) -> None:
    row = scheduling.workers.get(worker)
    if row is not None:
        refresh_worker(scheduling, row)


def _set_probing(scheduling: SchedulingState, worker: str, probing: bool) -> None:
    row = scheduling.workers.get(worker)
    if row is not None:
        row.probing = probing
        refresh_worker(scheduling, row)
