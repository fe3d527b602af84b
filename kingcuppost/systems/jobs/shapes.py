"""The policy that guarantees shapes to teams and lends unused capacity."""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.systems.jobs.advance_reservations import (
    can_start,
    drop_reservation,
    find_preemption_victims,
    is_still_feasible,
    preempt_at_ms,
    put_reservation,
    waits_for_earlier_gang,
)
from kingcuppost.systems.jobs.baselines import choose_first_fit
from kingcuppost.systems.jobs.choice import Choice, Policy, policies
from kingcuppost.systems.jobs.placement_search import (
    Plan,
    find_borrowed,
    find_free,
    find_guaranteed,
    find_reserved,
)
from kingcuppost.systems.jobs.run_times import expected_run_ms
from kingcuppost.tables.job import Job, RefusedAlternative, Urgency
from kingcuppost.tables.scheduling import AdvanceReservation
from kingcuppost.tables.world import World

__all__ = ["choose_shapes", "sort_key_by_run_time"]

INTERACTIVE_SORT_GROUP = 0  # first element of the sort key
OVERNIGHT_SORT_GROUP = 1
MIN_LOAN_MS = 60_000  # least time that an overnight borrower gets on a reservation


def sort_key_by_run_time(world: World, job: Job) -> tuple[int, int, int]:
    """Return a key: interactive first, then submission time plus expected run time.

    A job may be overtaken by shorter jobs that arrive later, but only by those that
    arrive within its own expected run time and within the overtake limit.
    """
    submitted_ms = job.submitted_wall_ms
    if job.urgency is Urgency.INTERACTIVE:
        return (INTERACTIVE_SORT_GROUP, submitted_ms, job.submitted_offset)
    path = team_path(job.team, job.urgency)
    limit_ms = effective_value(world.agreed, "job.overtake_limit_ms", path)
    run_ms = expected_run_ms(world.scheduling, job)
    sort_time_ms = submitted_ms + min(run_ms, limit_ms)
    return (OVERNIGHT_SORT_GROUP, sort_time_ms, job.submitted_offset)


def choose_shapes(world: World, job: Job, now_ms: int) -> Choice:
    """Place a job within its team's guarantee, or otherwise as a borrower.

    Within the guarantee, the borrowers whose stop loses the least work are stopped for
    the job. Interactive work beyond the guarantee may stop overnight borrowers. A gang
    of several members avoids the workers on which its job failed only if it can be
    placed at once without them.
    """
    if reason := _limit_reason(world, job):
        drop_reservation(world.scheduling, job.name)
        refused = (RefusedAlternative(job.team, reason),)
        return Choice(None, refused=refused, lacks_capacity=False)
    since_ms = now_ms
    reservation = world.scheduling.advance_reservations.get(job.name)
    if reservation is not None:
        since_ms = reservation.since_ms
        choice = _choose_reserved(world, job, reservation, now_ms)
        if choice is not None:
            return choice
        drop_reservation(world.scheduling, job.name)
    excluded = _excluded_workers(world, job)
    choice = _choose_without_reservation(world, job, since_ms, now_ms, excluded)
    if choice.placements is None and excluded and job.members > 1:
        return _choose_without_reservation(world, job, since_ms, now_ms, frozenset())
    return choice


def _excluded_workers(world: World, job: Job) -> frozenset[str]:
    """Return the workers on which the job failed and that are not quarantined.

    They may still be good for other jobs. A quarantined worker gets no work from any
    job, except for a probe.
    """
    faults = world.scheduling.faults
    return frozenset(
        name
        for name in job.failed_workers
        if name not in faults or not faults.get(name).quarantined
    )


def _choose_without_reservation(
    world: World, job: Job, since_ms: int, now_ms: int, excluded: frozenset[str]
) -> Choice:
    """Choose placements on workers not excluded, within the guarantee or beyond it."""
    plan = find_guaranteed(world, job, excluded)
    if plan is not None:
        return _build_choice(job, plan, since_ms, now_ms, guaranteed=True)
    return _choose_borrowed(world, job, since_ms, now_ms, excluded)


def _choose_reserved(
    world: World, job: Job, reservation: AdvanceReservation, now_ms: int
) -> Choice | None:
    """Start on the reservation or wait for it; None if it is no longer feasible."""
    if can_start(world, reservation, job):
        return Choice(reservation.placements, not reservation.guaranteed)
    if not is_still_feasible(world, reservation):
        return None
    if not reservation.guaranteed:
        plan = _find_elsewhere(world, job, reservation, now_ms)
        if plan is not None:
            return Choice(plan.placements, not plan.placements[0].cell)
    return Choice(
        None,
        victims=find_preemption_victims(world, reservation, job, now_ms),
        reservation=reservation,
    )


def _find_elsewhere(
    world: World, job: Job, reservation: AdvanceReservation, now_ms: int
) -> Plan | None:
    """Return free placements, including accelerators reserved for the job itself.

    The job keeps its reservation if there are none.
    """
    excluded = _excluded_workers(world, job)
    drop_reservation(world.scheduling, job.name)
    plan = find_guaranteed(world, job, excluded)
    if plan is None or plan.victims:
        plan = find_free(world.scheduling, job, excluded)
    if plan is None:
        put_reservation(world, job, reservation, now_ms)
    return plan


def _limit_reason(world: World, job: Job) -> str:
    """Return why the job would now exceed its team's limit; empty if it would not."""
    share = world.scheduling.shares.get(job.team)
    wanted = job.members * job.accelerators
    if share is None or not share.limit or share.used + wanted <= share.limit:
        return ""
    return f"the team holds {share.used} of at most {share.limit} accelerators"


def _build_choice(
    job: Job, plan: Plan, since_ms: int, now_ms: int, guaranteed: bool
) -> Choice:
    if not plan.victims:
        return Choice(plan.placements, not guaranteed)
    reservation = AdvanceReservation(
        job.name, plan.placements, guaranteed, since_ms, now_ms
    )
    return Choice(None, victims=plan.victims, reservation=reservation)


def _choose_borrowed(
    world: World, job: Job, since_ms: int, now_ms: int, excluded: frozenset[str]
) -> Choice:
    plan = find_free(world.scheduling, job, excluded)
    if plan is not None:
        return Choice(plan.placements, borrowed=True)
    if job.urgency is Urgency.INTERACTIVE:
        plan = find_borrowed(world, job, excluded)
        if plan is not None:
            return _build_choice(job, plan, since_ms, now_ms, guaranteed=False)
    for reservation in world.scheduling.advance_reservations:
        if _may_lend(world, job, reservation, now_ms):
            plan = find_reserved(world.scheduling, reservation, job, excluded)
            if plan is not None:
                return Choice(plan.placements, borrowed=True)
    # First fit also finds unaligned accelerators, which helps only if their number is
    # not a power of two. It cannot exclude workers.
    if job.accelerators.bit_count() > 1 and not excluded:
        choice = choose_first_fit(world, job, now_ms)
        return Choice(choice.placements, True, choice.refused)
    return Choice(None, refused=(RefusedAlternative("all workers", "no free place"),))


def _may_lend(
    world: World, job: Job, reservation: AdvanceReservation, now_ms: int
) -> bool:
    """Return whether reserved accelerators may be lent to a job.

    They may while the reservation waits for an earlier gang; once that gang has ended,
    the borrower is stopped. After the reservation's time limit, a borrower would be
    stopped at once. Interactive work gets a loan only if it is expected to end in
    time, since it cannot be stopped.
    """
    limit_ms = preempt_at_ms(world, reservation)
    if reservation.guaranteed or now_ms >= limit_ms:
        return False
    reserving_job = world.agreed.jobs.get(reservation.job)
    if not waits_for_earlier_gang(world, reservation):
        return False
    if find_preemption_victims(world, reservation, reserving_job, now_ms):
        return False
    if job.urgency is Urgency.INTERACTIVE:
        limit_ms = min(limit_ms, reservation.expected_free_ms)
        return now_ms + expected_run_ms(world.scheduling, job) <= limit_ms
    return now_ms + MIN_LOAN_MS <= limit_ms


policies.register("shapes")(Policy(sort_key_by_run_time, choose_shapes))
