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
MAX_PAUSE_DOUBLINGS = 6  # a pause lasts at most 2**6 times `worker.pause_ms`


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=20)
def track_faults(world: World, now_ms: int) -> None:
    """Count each worker's distinct failed jobs; quarantine, probe or resume workers."""
    for name in world.agreed.jobs.take_changes("faults"):
        job = world.agreed.jobs.get(name)
        if job is None:
            world.scheduling.counted_failures.pop(name, None)
        else:
            _track_job(world, job, now_ms)
    for faults in world.scheduling.faults:
        if faults.quarantined:
            _probe_when_due(world, faults, now_ms)
        if faults.paused:
            _resume_when_due(world, faults, now_ms)


def pause_worker(world: World, worker: str, now_ms: int) -> None:
    """Exclude a worker from placement for a while after it did not reserve a member.

    An unreachable worker appears to be wholly free, and would otherwise attract one
    gang after the other. Members that were placed before a pause began are not
    evidence for another one.

    Parameters
    ----------
    world : World
        Tables of the scheduler.
    worker : str
        Name of the worker.
    now_ms : int
        Monotonic time.
    """
    faults = world.scheduling.faults.get(worker) or WorkerFaults(worker)
    if faults.paused:
        return
    pause_ms = effective_value(world.agreed, "worker.pause_ms")
    faults.resume_ms = now_ms + (pause_ms << min(faults.refusals, MAX_PAUSE_DOUBLINGS))
    faults.refusals += 1
    faults.paused = True
    world.scheduling.faults.put(faults)
    world.deadlines.add(faults.resume_ms)
    _refresh_capacity(world.scheduling, worker)
    text = f"Worker is excluded from placement for {faults.resume_ms - now_ms} ms."
    note(world, STEP_PAUSE, text, peer=worker)


def reset_refusals(world: World, worker: str) -> None:
    """Clear the refusals of a worker that has reserved a member."""
    faults = world.scheduling.faults.get(worker)
    if faults is None or not faults.refusals:
        return
    faults.refusals = 0
    if faults.paused:
        _resume(world, faults)
    if not faults.jobs:
        world.scheduling.faults.delete(worker)


def _resume_when_due(world: World, faults: WorkerFaults, now_ms: int) -> None:
    if now_ms < faults.resume_ms:
        world.deadlines.add(faults.resume_ms)
        return
    _resume(world, faults)


def _resume(world: World, faults: WorkerFaults) -> None:
    faults.paused = False
    _refresh_capacity(world.scheduling, faults.worker)
    world.scheduling.pass_due = True
    note(
        world,
        STEP_PAUSE,
        "Worker accepts work again after a pause.",
        peer=faults.worker,
    )


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
    faults = world.scheduling.faults.get(worker) or WorkerFaults(worker)
    faults.jobs.add(job)
    world.scheduling.faults.put(faults)
    limit = effective_value(world.agreed, "worker.failed_job_limit")
    if len(faults.jobs) < limit:
        return
    faults.quarantined = True
    faults.probe_ms = now_ms + effective_value(world.agreed, "worker.probe_ms")
    world.deadlines.add(faults.probe_ms)
    _set_probing(world.scheduling, worker, False)
    text = f"Worker is quarantined after {len(faults.jobs)} failed jobs."
    note(world, STEP_QUARANTINE, text, peer=worker, job=job)


def _probe_when_due(world: World, faults: WorkerFaults, now_ms: int) -> None:
    capacity = world.scheduling.workers.get(faults.worker)
    if capacity is None or capacity.probing:
        return
    if now_ms < faults.probe_ms:
        world.deadlines.add(faults.probe_ms)
        return
    _set_probing(world.scheduling, faults.worker, True)
    world.scheduling.pass_due = True
    note(
        world,
        STEP_QUARANTINE,
        "Quarantined worker may run one job as a probe.",
        peer=faults.worker,
    )


def _clear_faults(world: World, job: Job) -> None:
    """Clear the faults of the workers on which a job has finished."""
    gang = world.agreed.ended_gangs.get(gang_key(job.name, job.incarnation))
    for placement in gang.placements if gang is not None else ():
        faults = world.scheduling.faults.delete(placement.worker)
        if faults is not None and (faults.quarantined or faults.paused):
            _set_probing(world.scheduling, placement.worker, False)
            world.scheduling.pass_due = True
            note(
                world,
                STEP_QUARANTINE,
                "Worker accepts work again after a finished job.",
                peer=placement.worker,
            )


def _refresh_capacity(scheduling: SchedulingState, worker: str) -> None:
    capacity = scheduling.workers.get(worker)
    if capacity is not None:
        refresh_worker(scheduling, capacity)


def _set_probing(scheduling: SchedulingState, worker: str, probing: bool) -> None:
    capacity = scheduling.workers.get(worker)
    if capacity is not None:
        capacity.probing = probing
        refresh_worker(scheduling, capacity)
