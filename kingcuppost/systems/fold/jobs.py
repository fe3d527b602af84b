"""Records about jobs, gangs and the scheduling lease."""

from kingcuppost.systems.fold.record_rules import (
    FoldInput,
    Rejection,
    appliers,
    checkers,
)
from kingcuppost.tables.agreed_rows import EndedJob, SchedulingLease
from kingcuppost.tables.job import Gang, GangState, Job, JobState, gang_key
from kingcuppost.tables.record import (
    GangEnd,
    GangFinish,
    GangPlace,
    GangRelease,
    GangStop,
    JobCancel,
    JobPark,
    JobRefuse,
    JobSubmit,
    LeaseClaim,
)
from kingcuppost.tables.world import Agreed

__all__ = ["FINAL_STATES"]

FINAL_STATES = frozenset(
    {JobState.DONE, JobState.FAILED, JobState.CANCELLED, JobState.REFUSED}
)
MAX_ENDED_GANGS = 1_000
MAX_ENDED_JOBS = 1_000
WAITING_STATES = frozenset({JobState.WAITING, JobState.PARKED})


def _check_term(agreed: Agreed, term: int) -> Rejection | None:
    if term == agreed.lease.term:
        return None
    return Rejection(
        f"term {term} is over, term {agreed.lease.term} holds",
        is_conflict=True,
    )


def _check_open_job(agreed: Agreed, name: str) -> Rejection | None:
    job = agreed.jobs.get(name)
    if job is None:
        return Rejection(f"there is no job {name!r}", is_not_found=True)
    if job.state in FINAL_STATES:
        return Rejection(f"job {name} is already {job.state}", is_conflict=True)
    return None


def _check_waiting_job(agreed: Agreed, name: str, term: int) -> Rejection | None:
    """Check that a job is waiting or parked, and that the term is current."""
    job = agreed.jobs.get(name)
    if job is None or job.state not in WAITING_STATES:
        return Rejection(f"job {name} does not wait", is_conflict=True)
    return _check_term(agreed, term)


def _check_gang_exists(agreed: Agreed, job: str, incarnation: int) -> Rejection | None:
    if agreed.gangs.get(gang_key(job, incarnation)) is None:
        return Rejection(
            f"there is no gang {gang_key(job, incarnation)}", is_conflict=True
        )
    return None


@checkers.register(LeaseClaim)
def check_lease_claim(agreed: Agreed, body: LeaseClaim) -> Rejection | None:
    """Reject a claim that is not based on the current term."""
    return _check_term(agreed, body.base_term)


@appliers.register(LeaseClaim)
def apply_lease_claim(agreed: Agreed, body: LeaseClaim, fold_input: FoldInput) -> None:
    """Open a new term; its number is the offset of the claim."""
    agreed.lease = SchedulingLease(fold_input.offset, body.holder, body.incarnation)


@checkers.register(JobSubmit)
def check_job_submit(agreed: Agreed, body: JobSubmit) -> Rejection | None:
    """Reject unknown teams, names in use and invalid sizes."""
    if body.team not in agreed.teams:
        return Rejection(f"there is no team {body.team!r}", is_not_found=True)
    if body.job in agreed.jobs:
        return Rejection(f"there is already a job {body.job!r}", is_conflict=True)
    if body.members < 1 or body.accelerators < 0 or body.cores < 0:
        return Rejection("a gang has at least one member and no negative needs")
    return None


@appliers.register(JobSubmit)
def apply_job_submit(agreed: Agreed, body: JobSubmit, fold_input: FoldInput) -> None:
    """Create the job in the waiting state."""
    agreed.jobs.put(
        Job(
            body.job,
            body.team,
            body.members,
            body.accelerators,
            body.cores,
            body.memory_mb,
            body.urgency,
            body.declared_ms,
            body.payload,
            JobState.WAITING,
            0,
            fold_input.offset,
            fold_input.record.wall_ms,
        )
    )


@checkers.register(JobCancel)
def check_job_cancel(agreed: Agreed, body: JobCancel) -> Rejection | None:
    """Reject the cancellation of a job that has ended."""
    return _check_open_job(agreed, body.job)


@appliers.register(JobCancel)
def apply_job_cancel(agreed: Agreed, body: JobCancel, fold_input: FoldInput) -> None:
    """End the job as cancelled, and stop its gangs."""
    _end_job(agreed, body.job, JobState.CANCELLED, body.reason, fold_input)
    for gang in agreed.gangs.find("job", body.job):
        agreed.gangs.update(gang.key, state=GangState.STOPPING, reason="cancelled")


@checkers.register(JobRefuse)
def check_job_refuse(agreed: Agreed, body: JobRefuse) -> Rejection | None:
    """Reject records of an old term, and jobs neither waiting nor parked."""
    return _check_waiting_job(agreed, body.job, body.term)


@appliers.register(JobRefuse)
def apply_job_refuse(agreed: Agreed, body: JobRefuse, fold_input: FoldInput) -> None:
    """End the job as failed if it failed wherever it ran, else as refused.

    The scheduler has decided this; the record carries it in `failed`.
    """
    state = JobState.FAILED if body.failed else JobState.REFUSED
    _end_job(agreed, body.job, state, body.reason, fold_input)


@checkers.register(JobPark)
def check_job_park(agreed: Agreed, body: JobPark) -> Rejection | None:
    """Reject records of an old term, and jobs neither waiting nor parked."""
    return _check_waiting_job(agreed, body.job, body.term)


@appliers.register(JobPark)
def apply_job_park(agreed: Agreed, body: JobPark, fold_input: FoldInput) -> None:
    """Mark the job as parked, or as waiting again."""
    state = JobState.PARKED if body.parked else JobState.WAITING
    agreed.jobs.update(body.job, state=state, reason=body.reason)


@checkers.register(GangPlace)
def check_gang_place(agreed: Agreed, body: GangPlace) -> Rejection | None:
    """Reject a placement that the agreed tables do not allow.

    Reasons are an old term, a job that is not waiting, an incarnation that is not the
    next one, a wrong number of members, an unknown worker, and an availability zone
    that is out of service.
    """
    job = agreed.jobs.get(body.job)
    if job is None or job.state is not JobState.WAITING:
        return Rejection(f"job {body.job} does not wait", is_conflict=True)
    if body.incarnation != job.incarnation + 1:
        return Rejection(f"gang {body.incarnation} is not the next", is_conflict=True)
    if len(body.placements) != job.members:
        return Rejection(f"job {body.job} has {job.members} members")
    if rejection := _check_term(agreed, body.term):
        return rejection
    return _check_placements(agreed, body)


def _check_placements(agreed: Agreed, body: GangPlace) -> Rejection | None:
    """Check that each worker exists and that its zone is in service."""
    for placement in body.placements:
        worker = agreed.workers.get(placement.worker)
        if worker is None:
            return Rejection(f"there is no worker {placement.worker}", is_conflict=True)
        zone = agreed.availability_zones.get(worker.availability_zone)
        if zone is None or not zone.in_service:
            return Rejection(
                f"availability zone {worker.availability_zone} is out",
                is_conflict=True,
            )
    return None


@appliers.register(GangPlace)
def apply_gang_place(agreed: Agreed, body: GangPlace, fold_input: FoldInput) -> None:
    """Create the gang in the reserving state."""
    job = agreed.jobs.get(body.job)
    agreed.jobs.update(
        body.job, state=JobState.ACTIVE, incarnation=body.incarnation, reason=""
    )
    agreed.gangs.put(
        Gang(
            gang_key(body.job, body.incarnation),
            body.job,
            job.team,
            body.incarnation,
            body.term,
            body.placements,
            body.borrowed,
            GangState.RESERVING,
            body.decision,
            fold_input.offset,
            fold_input.record.wall_ms,
        )
    )


@checkers.register(GangRelease)
def check_gang_release(agreed: Agreed, body: GangRelease) -> Rejection | None:
    """Reject old terms, gangs that are not reserving, and zones out of service."""
    if rejection := _check_term(agreed, body.term):
        return rejection
    gang = agreed.gangs.get(gang_key(body.job, body.incarnation))
    if gang is None or gang.state is not GangState.RESERVING:
        return Rejection("the gang is not reserving", is_conflict=True)
    return _check_placements(agreed, gang)


@appliers.register(GangRelease)
def apply_gang_release(
    agreed: Agreed, body: GangRelease, fold_input: FoldInput
) -> None:
    """Release the gang, so that all members may start."""
    agreed.gangs.update(
        gang_key(body.job, body.incarnation),
        state=GangState.RELEASED,
        released_wall_ms=fold_input.record.wall_ms,
    )


@checkers.register(GangStop)
def check_gang_stop(agreed: Agreed, body: GangStop) -> Rejection | None:
    """Reject old terms, and gangs that have ended or are already stopping."""
    if rejection := _check_term(agreed, body.term):
        return rejection
    gang = agreed.gangs.get(gang_key(body.job, body.incarnation))
    if gang is None or gang.state is GangState.STOPPING:
        return Rejection("the gang is gone or stops already", is_conflict=True)
    return None


@appliers.register(GangStop)
def apply_gang_stop(agreed: Agreed, body: GangStop, fold_input: FoldInput) -> None:
    """Stop all members; add the worker that failed, if any, to the job's row."""
    key = gang_key(body.job, body.incarnation)
    agreed.gangs.update(
        key, state=GangState.STOPPING, reason=body.reason, grace_ms=body.grace_ms
    )
    job = agreed.jobs.get(body.job)
    if not body.failed_worker:
        return
    failed = tuple(dict.fromkeys((*job.failed_workers, body.failed_worker)))
    agreed.jobs.update(body.job, failed_workers=failed, failures=job.failures + 1)


@checkers.register(GangEnd)
def check_gang_end(agreed: Agreed, body: GangEnd) -> Rejection | None:
    """Reject old terms, and gangs that have ended or are not stopping."""
    if rejection := _check_term(agreed, body.term):
        return rejection
    gang = agreed.gangs.get(gang_key(body.job, body.incarnation))
    if gang is None or gang.state is not GangState.STOPPING:
        return Rejection("the gang is gone or does not stop", is_conflict=True)
    return None


@appliers.register(GangEnd)
def apply_gang_end(agreed: Agreed, body: GangEnd, fold_input: FoldInput) -> None:
    """Free the gang's accelerators; return an active job to the waiting state."""
    _end_gang(agreed, gang_key(body.job, body.incarnation))
    job = agreed.jobs.get(body.job)
    if job.state is JobState.ACTIVE:
        agreed.jobs.update(body.job, state=JobState.WAITING)


@checkers.register(GangFinish)
def check_gang_finish(agreed: Agreed, body: GangFinish) -> Rejection | None:
    """Accept only the first finish, and only of a gang that was released."""
    if rejection := _check_open_job(agreed, body.job):
        return rejection
    if rejection := _check_gang_exists(agreed, body.job, body.incarnation):
        return rejection
    gang = agreed.gangs.get(gang_key(body.job, body.incarnation))
    if not gang.released_wall_ms:
        return Rejection("the gang was not released")
    return None


@appliers.register(GangFinish)
def apply_gang_finish(agreed: Agreed, body: GangFinish, fold_input: FoldInput) -> None:
    """End the job with its result and free the accelerators."""
    _end_job(agreed, body.job, JobState.DONE, "", fold_input)
    agreed.jobs.update(body.job, result=body.result)
    _end_gang(agreed, gang_key(body.job, body.incarnation))


def _end_job(
    agreed: Agreed, name: str, state: JobState, reason: str, fold_input: FoldInput
) -> None:
    """Set the job's final state, and evict the oldest ended jobs beyond the maximum.

    Eviction stops at a job that still has a gang, since the gang holds accelerators.
    """
    agreed.jobs.update(
        name, state=state, reason=reason, finished_wall_ms=fold_input.record.wall_ms
    )
    agreed.ended_jobs.put(EndedJob(name, fold_input.offset))
    while len(agreed.ended_jobs) > MAX_ENDED_JOBS:
        oldest = agreed.ended_jobs.first().name
        if agreed.gangs.count("job", oldest):
            return
        agreed.ended_jobs.delete(oldest)
        agreed.jobs.delete(oldest)


def _end_gang(agreed: Agreed, key: str) -> None:
    """Move the gang to the bounded table of ended gangs, and so free its accelerators.

    That table keeps the gang's decision for later explanation.
    """
    agreed.ended_gangs.put(agreed.gangs.delete(key))
    while len(agreed.ended_gangs) > MAX_ENDED_GANGS:
        agreed.ended_gangs.delete(agreed.ended_gangs.first().key)
