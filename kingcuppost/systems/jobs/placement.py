"""Passes over the queue of waiting jobs with the policy in the settings."""

from kingcuppost.settings import effective_value, resolve_setting, team_path
from kingcuppost.systems.agreement.follow import is_fresh, request_barrier
from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.agreement.scheduling_lease import is_scheduler
from kingcuppost.systems.events import note
from kingcuppost.systems.jobs.advance_reservations import (
    drop_reservation,
    drop_stale_reservations,
    plan_reservation,
    put_reservation,
    schedule_preemption_pass,
)
from kingcuppost.systems.jobs.choice import Choice, Policy, policies
from kingcuppost.systems.jobs.feasibility import jobs_with_pending_change
from kingcuppost.systems.jobs.occupancy import (
    build_allocation,
    drop_allocation,
    put_allocation,
)
from kingcuppost.systems.jobs.queueing import POLICY_KEY
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import (
    Decision,
    Gang,
    GangState,
    Job,
    Urgency,
    gang_key,
)
from kingcuppost.tables.record import GangPlace, GangStop
from kingcuppost.tables.world import World

__all__ = ["place_jobs", "stop_gang"]

MAX_REFUSED_ALTERNATIVES = 8  # recorded in the decision about one job
# Settings recorded in a decision, besides the policy.
DECISION_KEYS = ("job.lease_ms", "job.reserve_timeout_ms")

Signature = tuple[str, Urgency, int, int, int, int, int, tuple[str, ...]]


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=70)
def place_jobs(world: World, now_ms: int) -> None:
    """Place waiting jobs after a change, once no earlier placement is pending.

    A pass over the queue needs a fresh view of the log.
    """
    scheduling = world.scheduling
    if not is_scheduler(world) or world.stopping:
        return
    if scheduling.next_pass_ms and now_ms >= scheduling.next_pass_ms:
        scheduling.pass_due = True
    if not scheduling.pass_due or _has_pending_placements(world):
        return
    if not scheduling.queue:
        scheduling.pass_due = False
        drop_stale_reservations(world)
        return
    if not is_fresh(world, now_ms):
        request_barrier(world, now_ms)
        return
    _begin_pass(world)
    _run_pass(world, policies[scheduling.queue_policy], now_ms)


def _has_pending_placements(world: World) -> bool:
    return any(isinstance(row.record.body, GangPlace) for row in world.proposals)


def _begin_pass(world: World) -> None:
    """Drop allocations of rejected placements, and stale advance reservations."""
    scheduling = world.scheduling
    scheduling.pass_due = False
    scheduling.next_pass_ms = 0
    for key in sorted(scheduling.pending_gangs):
        if key not in world.agreed.gangs:
            drop_allocation(scheduling, key)
    scheduling.pending_gangs.clear()
    drop_stale_reservations(world)


def _run_pass(world: World, policy: Policy, now_ms: int) -> None:
    """Try to place the jobs in order, at most `job.queue_depth` of each urgency.

    A job without a reservation is skipped, and not counted, if it has the same
    signature as a job that could not be placed.
    """
    depth = effective_value(world.agreed, "job.queue_depth")
    attempts = {urgency: 0 for urgency in Urgency}
    unplaceable: set[Signature] = set()
    may_reserve = dict.fromkeys(Urgency, policy.reserves)
    skipped = jobs_with_pending_change(world)
    for entry in list(world.scheduling.queue):
        job = world.agreed.jobs.get(entry.job)
        if job.name in skipped:
            continue
        if attempts[job.urgency] >= depth:
            if job.urgency is Urgency.OVERNIGHT:
                break
            continue
        reservation = world.scheduling.advance_reservations.get(job.name)
        signature = _signature(job)
        if reservation is None and signature in unplaceable:
            continue
        attempts[job.urgency] += 1
        choice = policy.choose(world, job, now_ms)
        if _commit(world, job, choice, now_ms):
            continue
        unplaceable.add(signature)
        if policy.strict:
            break
        if (
            may_reserve[job.urgency]
            and choice.reservation is None
            and choice.lacks_capacity
        ):
            since_ms = reservation.since_ms if reservation is not None else now_ms
            is_reserved = _reserve_accelerators(world, job, since_ms, now_ms)
            may_reserve[job.urgency] = not is_reserved
        elif choice.reservation is not None and not choice.reservation.guaranteed:
            may_reserve[job.urgency] = False


def _signature(job: Job) -> Signature:
    """Return the properties that decide whether a job can be placed.

    Declared run times count as equal if their bit lengths are.
    """
    return (
        job.team,
        job.urgency,
        job.members,
        job.accelerators,
        job.cores,
        job.memory_mb,
        job.declared_ms.bit_length(),
        job.failed_workers,
    )


def _reserve_accelerators(world: World, job: Job, since_ms: int, now_ms: int) -> bool:
    if not job.accelerators:
        return False
    _drop_later_reservations(world, job)
    reservation = plan_reservation(world, job, since_ms, now_ms)
    if reservation is None:
        return False
    put_reservation(world, job, reservation, now_ms)
    note(
        world,
        "job.keep",
        "Accelerators are reserved in advance.",
        job=job.name,
        team=job.team,
    )
    return True


def _drop_later_reservations(world: World, job: Job) -> None:
    """Delete the reservations beyond guarantees that jobs of the same urgency have.

    They were made before this job became first in the queue. Each urgency has one such
    reservation at a time: otherwise each job that arrives at the head of the queue
    would add one more. If the later job's reservation had precedence, the first job
    would never get one.
    """
    for reservation in world.scheduling.advance_reservations:
        other = world.agreed.jobs.get(reservation.job)
        if not reservation.guaranteed and other.urgency is job.urgency:
            drop_reservation(world.scheduling, reservation.job)


def _commit(world: World, job: Job, choice: Choice, now_ms: int) -> bool:
    """Propose the stops and placements of a choice.

    Returns whether the job was placed.
    """
    for key in sorted(choice.victims):
        gang = world.agreed.gangs.get(key)
        reason = f"reclaimed for job {job.name}"
        stop_gang(world, gang, reason, now_ms, _grace_key(job, choice))
    if choice.placements is None:
        _store_reservation(world, job, choice, now_ms)
        return False
    drop_reservation(world.scheduling, job.name)
    _propose_gang(world, job, choice, now_ms)
    return True


def _store_reservation(world: World, job: Job, choice: Choice, now_ms: int) -> None:
    if choice.reservation is None:
        return
    if job.name in world.scheduling.advance_reservations:
        schedule_preemption_pass(world, choice.reservation, now_ms)
    else:
        put_reservation(world, job, choice.reservation, now_ms)


def _grace_key(job: Job, choice: Choice) -> str:
    """Return the key of the grace setting for the gangs that a choice stops.

    The grace is short for interactive work within a guarantee.
    """
    guaranteed = choice.reservation is not None and choice.reservation.guaranteed
    urgent = guaranteed and job.urgency is Urgency.INTERACTIVE
    return "job.urgent_grace_ms" if urgent else "job.checkpoint_grace_ms"


def stop_gang(
    world: World, gang: Gang | None, reason: str, now_ms: int, grace_key: str
) -> None:
    """Propose to stop a gang, unless it is stopping or a stop is pending.

    Parameters
    ----------
    world : World
        Tables of the process.
    gang : Gang or None
        The gang; None does nothing.
    reason : str
        Why it is stopped, without a full stop.
    now_ms : int
        Monotonic time.
    grace_key : str
        Key of the setting that limits the time for a checkpoint.
    """
    if gang is None or gang.state is GangState.STOPPING:
        return
    if _is_stop_pending(world, gang):
        return
    grace_ms = effective_value(world.agreed, grace_key, team_path(gang.team))
    term = world.agreed.lease.term
    body = GangStop(term, gang.job, gang.incarnation, reason, "", grace_ms)
    propose(world, body, now_ms)
    note(world, "gang.reclaim", f"Gang is {reason}.", job=gang.job, team=gang.team)


def _is_stop_pending(world: World, gang: Gang) -> bool:
    for row in world.proposals:
        body = row.record.body
        if isinstance(body, GangStop) and body.job == gang.job:
            return True
    return False


def _propose_gang(world: World, job: Job, choice: Choice, now_ms: int) -> None:
    path = team_path(job.team, job.urgency)
    policy = resolve_setting(world.agreed, "", POLICY_KEY)
    values = [resolve_setting(world.agreed, path, key) for key in DECISION_KEYS]
    decision = Decision(
        str(policy.value),
        world.log_view.folded_offset,
        (policy, *values),
        choice.refused[:MAX_REFUSED_ALTERNATIVES],
    )
    incarnation = job.incarnation + 1
    body = GangPlace(
        world.agreed.lease.term,
        job.name,
        incarnation,
        choice.placements,
        choice.borrowed,
        decision,
    )
    key = gang_key(job.name, incarnation)
    put_allocation(world.scheduling, build_allocation(key, job, choice.placements))
    world.scheduling.pending_gangs.add(key)
    propose(world, body, now_ms)
    note(world, "job.place", "Placement proposed.", job=job.name, team=job.team)
