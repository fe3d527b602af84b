"""Refuse jobs that can never run, and park those that cannot run at present."""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.agreement.scheduling_lease import is_scheduler
from kingcuppost.systems.events import note
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import Job, JobState
from kingcuppost.tables.record import JobPark, JobRefuse
from kingcuppost.tables.world import World

__all__ = ["check_feasibility", "jobs_with_pending_change"]

# A job also fails after this multiple of `job.failed_worker_limit` failures, if they
# occurred on fewer distinct workers than that limit.
MAX_FAILURES_PER_WORKER = 2


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=60)
def check_feasibility(world: World, now_ms: int) -> None:
    """Refuse, park or unpark new jobs, and all jobs after a change of the fleet."""
    if not is_scheduler(world) or not world.scheduling.unchecked_jobs:
        return
    pending = jobs_with_pending_change(world)
    for name in list(world.scheduling.unchecked_jobs):
        job = world.agreed.jobs.get(name)
        if name in pending or _check_job(world, job, now_ms):
            world.scheduling.unchecked_jobs.pop(name)


def jobs_with_pending_change(world: World) -> set[str]:
    """Return the names of jobs with a proposed refusal, parking or unparking."""
    return {
        row.record.body.job
        for row in world.proposals
        if isinstance(row.record.body, JobPark | JobRefuse)
    }


def _check_job(world: World, job: Job | None, now_ms: int) -> bool:
    """Propose a new state if a job needs one; return False to check it again later."""
    if job is None or job.state not in (JobState.WAITING, JobState.PARKED):
        return True
    if reason := _failure_reason(world, job):
        _refuse(world, job, reason, True, now_ms)
    elif reason := _limit_reason(world, job):
        _refuse(world, job, reason, False, now_ms)
    elif not _is_feasible(world, job, in_service_only=False):
        return _refuse_when_stable(world, job, now_ms)
    else:
        _park_or_unpark(world, job, now_ms)
    return True


def _failure_reason(world: World, job: Job) -> str:
    """Return why a job is refused for its failures; empty if it is not.

    Failures on quarantined workers do not count.
    """
    counted = []
    for worker in job.failed_workers:
        faults = world.scheduling.faults.get(worker)
        if faults is None or not faults.quarantined:
            counted.append(worker)
    path = team_path(job.team, job.urgency)
    limit = effective_value(world.agreed, "job.failed_worker_limit", path)
    if len(counted) >= limit:
        return f"the job failed on {len(counted)} workers: {', '.join(counted)}"
    if counted and job.failures >= MAX_FAILURES_PER_WORKER * limit:
        return f"the job failed {job.failures} times"
    return ""


def _limit_reason(world: World, job: Job) -> str:
    """Return why a job alone would exceed its team's limit; empty if it would not."""
    share = world.scheduling.shares.get(job.team)
    wanted = job.members * job.accelerators
    if share is None or not share.limit or wanted <= share.limit:
        return ""
    return f"the job needs {wanted} accelerators, its team may hold {share.limit}"


def _is_feasible(world: World, job: Job, in_service_only: bool) -> bool:
    """Return whether the gang would fit on the workers if nothing else ran there."""
    key = (job.members, job.accelerators, job.cores, job.memory_mb, in_service_only)
    cache = world.scheduling.feasibility_cache
    if key not in cache:
        cache[key] = _count_slots(world, job, in_service_only) >= job.members
    return cache[key]


def _count_slots(world: World, job: Job, in_service_only: bool) -> int:
    """Return how many members would fit, counted up to the number that is needed."""
    slots = 0
    for worker in world.scheduling.workers:
        if in_service_only and not worker.in_service:
            continue
        needs = (
            (worker.accelerators, job.accelerators),
            (worker.cores, job.cores),
            (worker.memory_mb, job.memory_mb),
        )
        slots += min(
            (total // need for total, need in needs if need), default=job.members
        )
        if slots >= job.members:
            break
    return slots


def _refuse_when_stable(world: World, job: Job, now_ms: int) -> bool:
    """Refuse a job if workers are known and the fleet has not changed for a while.

    Returns whether it was refused. If not, it is checked again later.
    """
    stable_for_ms = effective_value(world.agreed, "job.fleet_settle_ms")
    stable_at_ms = world.scheduling.fleet_changed_ms + stable_for_ms
    if now_ms < stable_at_ms or not len(world.scheduling.workers):
        world.deadlines.add(max(stable_at_ms, now_ms + stable_for_ms))
        return False
    reason = (
        f"no workers could ever hold {job.members} members with {job.accelerators} "
        f"adjacent accelerators, {job.cores} cores and {job.memory_mb} MB each"
    )
    _refuse(world, job, reason, False, now_ms)
    return True


def _refuse(world: World, job: Job, reason: str, failed: bool, now_ms: int) -> None:
    term = world.agreed.lease.term
    propose(world, JobRefuse(term, job.name, failed, reason), now_ms)
    note(world, "job.refuse", f"Job is refused: {reason}.", job=job.name, team=job.team)


def _park_or_unpark(world: World, job: Job, now_ms: int) -> None:
    """Park a job that only workers out of service could hold, or unpark it."""
    parked = not _is_feasible(world, job, in_service_only=True)
    if parked == (job.state is JobState.PARKED):
        return
    reason = "only workers that are out of service could hold it" if parked else ""
    body = JobPark(world.agreed.lease.term, job.name, parked, reason)
    propose(world, body, now_ms)
    text = f"Job is parked: {reason}." if parked else "Job waits in the queue again."
    note(world, "job.park", text, job=job.name, team=job.team)
