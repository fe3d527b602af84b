"""Jobs that can never run are refused, those that can't now are parked."""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.agreement.scheduling_lease import is_scheduler
from kingcuppost.systems.events import note
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import Job, JobState
from kingcuppost.tables.record import JobPark, JobRefuse
from kingcuppost.tables.world import World

__all__ = ["judge_jobs", "judged_jobs"]

TRIES_PER_WORKER = 2


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=60)
def judge_jobs(world: World, now_ms: int) -> None:
    """Refuse, park or unpark jobs that are new or that meet a changed fleet."""
    if not is_scheduler(world) or not world.scheduling.unjudged:
        return
    under_way = judged_jobs(world)
    for name in list(world.scheduling.unjudged):
        job = world.agreed.jobs.get(name)
        if name in under_way or _judge(world, job, now_ms):
            world.scheduling.unjudged.pop(name)


def judged_jobs(world: World) -> set[str]:
    """Return the jobs whose refusal or parking is on its way to the log."""
    return {
        row.record.body.job
        for row in world.proposals
        if isinstance(row.record.body, JobPark | JobRefuse)
    }


def _judge(world: World, job: Job | None, now_ms: int) -> bool:
    """Propose what is to become of a job; return whether it is settled."""
    if job is None or job.state not in (JobState.WAITING, JobState.PARKED):
        return True
    if reason := _fault_of_failures(world, job):
        _refuse(world, job, reason, True, now_ms)
    elif reason := _fault_of_limit(world, job):
        _refuse(world, job, reason, False, now_ms)
    elif not _could_hold(world, job, in_service_only=False):
        return _refuse_when_settled(world, job, now_ms)
    else:
        _park(world, job, now_ms)
    return True


def _fault_of_failures(world: World, job: Job) -> str:
    """Return why a job is given up; workers that are set aside do not count."""
    good = []
    for worker in job.failed_workers:
        faults = world.scheduling.faults.get(worker)
        if faults is None or not faults.aside:
            good.append(worker)
    path = team_path(job.team, job.urgency)
    limit = effective_value(world.agreed, "job.failed_worker_limit", path)
    if len(good) >= limit:
        return f"the job failed on {len(good)} workers: {', '.join(good)}"
    if good and job.failures >= TRIES_PER_WORKER * limit:
        return f"the job failed {job.failures} times"
    return ""


def _fault_of_limit(world: World, job: Job) -> str:
    share = world.scheduling.shares.get(job.team)
    wanted = job.members * job.accelerators
    if share is None or not share.limit or wanted <= share.limit:
        return ""
    return f"the job needs {wanted} accelerators, its team may hold {share.limit}"


def _could_hold(world: World, job: Job, in_service_only: bool) -> bool:
    """Return whether the workers could hold the gang with nothing else on them."""
    key = (job.members, job.accelerators, job.cores, job.memory_mb, in_service_only)
    known = world.scheduling.holdable
    if key not in known:
        known[key] = _count_slots(world, job, in_service_only) >= job.members
    return known[key]


def _count_slots(world: World, job: Job, in_service_only: bool) -> int:
    slots = 0
    for row in world.scheduling.workers:
        if in_service_only and not row.in_service:
            continue
        needs = (
            (row.accelerators, job.accelerators),
            (row.cores, job.cores),
            (row.memory_mb, job.memory_mb),
        )
        slots += min((has // need for has, need in needs if need), default=job.members)
        if slots >= job.members:
            break
    return slots


def _refuse_when_settled(world: World, job: Job, now_ms: int) -> bool:
    """Refuse once no worker has come or gone for a while."""
    settle_ms = effective_value(world.agreed, "job.fleet_settle_ms")
    settled_ms = world.scheduling.fleet_changed_ms + settle_ms
    if now_ms < settled_ms or not len(world.scheduling.workers):
        world.deadlines.add(max(settled_ms, now_ms + settle_ms))
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
    note(world, "job.refuse", f"Refused: {reason}.", job=job.name, team=job.team)


def _park(world: World, job: Job, now_ms: int) -> None:
    """Park a job that only workers out of use could hold; unpark it after."""
    parked = not _could_hold(world, job, in_service_only=True)
    if parked == (job.state is JobState.PARKED):
        return
    reason = "only workers that are out of service could hold it" if parked else ""
    body = JobPark(world.agreed.lease.term, job.name, parked, reason)
    propose(world, body, now_ms)
    text = f"Parked: {reason}." if parked else "Waits again."
    note(world, "job.park", text, job=job.name, team=job.team)
