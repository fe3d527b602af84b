"""The policy that honours guarantees as shapes and lends what is not used."""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.systems.jobs.baselines import choose_first_fit
from kingcuppost.systems.jobs.choice import Choice, Policy, policies
from kingcuppost.systems.jobs.keeps import (
    bound_of,
    drop_keep,
    is_ready,
    overdue_gangs,
    put_keep,
    still_holds,
    waits_for_earlier,
)
from kingcuppost.systems.jobs.run_times import expected_run_ms
from kingcuppost.systems.jobs.search import (
    Plan,
    find_borrowed,
    find_free,
    find_guaranteed,
    find_kept,
)
from kingcuppost.tables.job import Job, RefusedAlternative, Urgency
from kingcuppost.tables.scheduling import Keep
from kingcuppost.tables.world import World

__all__ = ["choose_shapes", "rank_by_run_time"]

INTERACTIVE_RANK = 0
OVERNIGHT_RANK = 1
LEAST_LOAN_MS = 60_000


def rank_by_run_time(world: World, job: Job) -> tuple[int, int, int]:
    """Rank interactive work first, then by age and expected run time.

    A job may be overtaken by shorter ones that come later, but only by those that
    come within its own expected run time, and within the overtake limit.
    """
    submitted_ms = job.submitted_wall_ms
    if job.urgency is Urgency.INTERACTIVE:
        return (INTERACTIVE_RANK, submitted_ms, job.submitted_offset)
    path = team_path(job.team, job.urgency)
    limit_ms = effective_value(world.agreed, "job.overtake_limit_ms", path)
    run_ms = expected_run_ms(world.scheduling, job)
    rank_ms = submitted_ms + min(run_ms, limit_ms)
    return (OVERNIGHT_RANK, rank_ms, job.submitted_offset)


def choose_shapes(world: World, job: Job, now_ms: int) -> Choice:
    """Place a job within its team's guarantee, else as a borrower.

    Within the guarantee borrowers are stopped for it, the least work first.
    Interactive work beyond it may stop overnight borrowers.
    """
    if reason := _fault_of_limit(world, job):
        drop_keep(world.scheduling, job.name)
        refused = (RefusedAlternative(job.team, reason),)
        return Choice(None, refused=refused, lacks_place=False)
    since_ms = now_ms
    keep = world.scheduling.keeps.get(job.name)
    if keep is not None:
        since_ms = keep.since_ms
        choice = _choose_kept(world, job, keep, now_ms)
        if choice is not None:
            return choice
        drop_keep(world.scheduling, job.name)
    avoid = _avoided(world, job)
    choice = _choose_new(world, job, since_ms, now_ms, avoid)
    if choice.placements is None and avoid and job.members > 1:
        return _choose_new(world, job, since_ms, now_ms, frozenset())
    return choice


def _avoided(world: World, job: Job) -> frozenset[str]:
    """Return workers on which the job failed and that may be good for others."""
    faults = world.scheduling.faults
    return frozenset(
        name
        for name in job.failed_workers
        if name not in faults or not faults.get(name).aside
    )


def _choose_new(
    world: World, job: Job, since_ms: int, now_ms: int, avoid: frozenset[str]
) -> Choice:
    plan = find_guaranteed(world, job, avoid)
    if plan is not None:
        return _choice_of(job, plan, since_ms, now_ms, guaranteed=True)
    return _choose_borrowed(world, job, since_ms, now_ms, avoid)


def _choose_kept(world: World, job: Job, keep: Keep, now_ms: int) -> Choice | None:
    """Use the kept place, or wait for it; None if it can't be had any more."""
    if is_ready(world, keep, job):
        return Choice(keep.placements, not keep.guaranteed)
    if not still_holds(world, keep):
        return None
    if not keep.guaranteed:
        plan = _find_elsewhere(world, job, keep, now_ms)
        if plan is not None:
            return Choice(plan.placements, not plan.placements[0].cell)
    return Choice(None, stops=overdue_gangs(world, keep, job, now_ms), keep=keep)


def _find_elsewhere(world: World, job: Job, keep: Keep, now_ms: int) -> Plan | None:
    """Return free places, those that are kept for the job itself included."""
    avoid = _avoided(world, job)
    drop_keep(world.scheduling, job.name)
    plan = find_guaranteed(world, job, avoid)
    if plan is None or plan.victims:
        plan = find_free(world.scheduling, job, avoid)
    if plan is None:
        put_keep(world, job, keep, now_ms)
    return plan


def _fault_of_limit(world: World, job: Job) -> str:
    share = world.scheduling.shares.get(job.team)
    wanted = job.members * job.accelerators
    if share is None or not share.limit or share.used + wanted <= share.limit:
        return ""
    return f"the team holds {share.used} of at most {share.limit} accelerators"


def _choice_of(
    job: Job, plan: Plan, since_ms: int, now_ms: int, guaranteed: bool
) -> Choice:
    if not plan.victims:
        return Choice(plan.placements, not guaranteed)
    keep = Keep(job.name, plan.placements, guaranteed, since_ms, now_ms)
    return Choice(None, stops=plan.victims, keep=keep)


def _choose_borrowed(
    world: World, job: Job, since_ms: int, now_ms: int, avoid: frozenset[str]
) -> Choice:
    plan = find_free(world.scheduling, job, avoid)
    if plan is not None:
        return Choice(plan.placements, borrowed=True)
    if job.urgency is Urgency.INTERACTIVE:
        plan = find_borrowed(world, job, avoid)
        if plan is not None:
            return _choice_of(job, plan, since_ms, now_ms, guaranteed=False)
    for keep in world.scheduling.keeps:
        if _may_lend(world, job, keep, now_ms):
            plan = find_kept(world.scheduling, keep, job, avoid)
            if plan is not None:
                return Choice(plan.placements, borrowed=True)
    if job.accelerators.bit_count() > 1 and not avoid:
        choice = choose_first_fit(world, job, now_ms)
        return Choice(choice.placements, True, choice.refused)
    return Choice(None, refused=(RefusedAlternative("all workers", "no free place"),))


def _may_lend(world: World, job: Job, keep: Keep, now_ms: int) -> bool:
    """Return whether a kept place may be lent to a job.

    It is as long as the place waits for an earlier gang; the job is stopped when
    that one has gone. Past the bound it would be stopped at once. Interactive work
    is lent a place only if it should end in time, since it can't be stopped.
    """
    due_ms = bound_of(world, keep)
    if keep.guaranteed or now_ms >= due_ms:
        return False
    owner = world.agreed.jobs.get(keep.job)
    if not waits_for_earlier(world, keep):
        return False
    if overdue_gangs(world, keep, owner, now_ms):
        return False
    if job.urgency is Urgency.INTERACTIVE:
        due_ms = min(due_ms, keep.date_ms)
        return now_ms + expected_run_ms(world.scheduling, job) <= due_ms
    return now_ms + LEAST_LOAN_MS <= due_ms


policies.register("shapes")(Policy(rank_by_run_time, choose_shapes))
