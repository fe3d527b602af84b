"""Passes over the queue of waiting jobs, by the policy that the settings name."""

from kingcuppost.settings import effective, effective_value, team_path
from kingcuppost.systems.agreement.follow import is_fresh, request_barrier
from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.agreement.scheduling_lease import is_scheduler
from kingcuppost.systems.events import note
from kingcuppost.systems.jobs.choice import Choice, Policy, policies
from kingcuppost.systems.jobs.intake import POLICY_KEY
from kingcuppost.systems.jobs.judging import judged_jobs
from kingcuppost.systems.jobs.keeps import (
    drop_keep,
    drop_stale_keeps,
    keep_for_first,
    put_keep,
    wake_for_keep,
)
from kingcuppost.systems.jobs.occupancy import drop_hold, hold_of, put_hold
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

REFUSALS_KEPT = 8
DECISION_KEYS = ("job.lease_ms", "job.reserve_timeout_ms")

Signature = tuple[str, Urgency, int, int, int, int, int, tuple[str, ...]]


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=70)
def place_jobs(world: World, now_ms: int) -> None:
    """Place waiting jobs after a change, one batch at a time, on a fresh view."""
    scheduling = world.scheduling
    if not is_scheduler(world) or world.stopping:
        return
    if scheduling.pass_ms and now_ms >= scheduling.pass_ms:
        scheduling.due = True
    if not scheduling.due or _batch_under_way(world):
        return
    if not scheduling.queue:
        scheduling.due = False
        drop_stale_keeps(world)
        return
    if not is_fresh(world, now_ms):
        request_barrier(world, now_ms)
        return
    _begin_pass(world)
    _pass(world, policies[scheduling.queue_policy], now_ms)


def _batch_under_way(world: World) -> bool:
    return any(isinstance(row.record.body, GangPlace) for row in world.proposals)


def _begin_pass(world: World) -> None:
    """Forget placements that the fold rejected, and keeps of jobs that went."""
    scheduling = world.scheduling
    scheduling.due = False
    scheduling.pass_ms = 0
    for key in sorted(scheduling.pending):
        if key not in world.agreed.gangs:
            drop_hold(scheduling, key)
    scheduling.pending.clear()
    drop_stale_keeps(world)


def _pass(world: World, policy: Policy, now_ms: int) -> None:
    """Try jobs in order; of jobs that are alike, one failure speaks for all."""
    depth = effective_value(world.agreed, "job.queue_depth")
    tries = {urgency: 0 for urgency in Urgency}
    failed: set[Signature] = set()
    may_keep = dict.fromkeys(Urgency, policy.keeps)
    judged = judged_jobs(world)
    for entry in list(world.scheduling.queue):
        job = world.agreed.jobs.get(entry.job)
        if job.name in judged:
            continue
        if tries[job.urgency] >= depth:
            if job.urgency is Urgency.OVERNIGHT:
                break
            continue
        kept = world.scheduling.keeps.get(job.name)
        signature = _signature(job)
        if kept is None and signature in failed:
            continue
        tries[job.urgency] += 1
        choice = policy.choose(world, job, now_ms)
        if _commit(world, job, choice, now_ms):
            continue
        failed.add(signature)
        if policy.strict:
            break
        if may_keep[job.urgency] and choice.keep is None and choice.lacks_place:
            since_ms = kept.since_ms if kept is not None else now_ms
            kept_now = _keep_first(world, job, since_ms, now_ms)
            may_keep[job.urgency] = not kept_now
        elif choice.keep is not None and not choice.keep.guaranteed:
            may_keep[job.urgency] = False


def _signature(job: Job) -> Signature:
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


def _keep_first(world: World, job: Job, since_ms: int, now_ms: int) -> bool:
    if not job.accelerators:
        return False
    _drop_later_keeps(world, job)
    keep = keep_for_first(world, job, since_ms, now_ms)
    if keep is None:
        return False
    put_keep(world, job, keep, now_ms)
    note(world, "job.keep", "A place is kept.", job=job.name, team=job.team)
    return True


def _drop_later_keeps(world: World, job: Job) -> None:
    """Give up places kept for jobs that come after this one, now first.

    One place at a time: else every arrival that goes first adds one more, and if
    the later job had its way, the first would never be kept one.
    """
    for keep in world.scheduling.keeps:
        other = world.agreed.jobs.get(keep.job)
        if not keep.guaranteed and other.urgency is job.urgency:
            drop_keep(world.scheduling, keep.job)


def _commit(world: World, job: Job, choice: Choice, now_ms: int) -> bool:
    """Carry a choice out; return whether the job was placed."""
    for key in sorted(choice.stops):
        gang = world.agreed.gangs.get(key)
        reason = f"reclaimed for job {job.name}"
        stop_gang(world, gang, reason, now_ms, _grace(job, choice))
    if choice.placements is None:
        _note_keep(world, job, choice, now_ms)
        return False
    drop_keep(world.scheduling, job.name)
    _propose_gang(world, job, choice, now_ms)
    return True


def _note_keep(world: World, job: Job, choice: Choice, now_ms: int) -> None:
    if choice.keep is None:
        return
    if job.name in world.scheduling.keeps:
        wake_for_keep(world, choice.keep, now_ms)
    else:
        put_keep(world, job, choice.keep, now_ms)


def _grace(job: Job, choice: Choice) -> str:
    """Return the setting for the grace; it is short only within a guarantee."""
    guaranteed = choice.keep is not None and choice.keep.guaranteed
    urgent = guaranteed and job.urgency is Urgency.INTERACTIVE
    return "job.urgent_grace_ms" if urgent else "job.checkpoint_grace_ms"


def stop_gang(
    world: World, gang: Gang | None, reason: str, now_ms: int, grace_key: str
) -> None:
    """Propose to stop a gang, unless it stops or is to stop already.

    Parameters
    ----------
    world : World
        Tables of the process.
    gang : Gang or None
        The gang; nothing is done for None.
    reason : str
        Why, one sentence without a full stop.
    now_ms : int
        Monotonic time.
    grace_key : str
        Setting that gives the time for a checkpoint.
    """
    if gang is None or gang.state is GangState.STOPPING:
        return
    if _stop_under_way(world, gang):
        return
    grace_ms = effective_value(world.agreed, grace_key, team_path(gang.team))
    term = world.agreed.lease.term
    body = GangStop(term, gang.job, gang.incarnation, reason, "", grace_ms)
    propose(world, body, now_ms)
    note(world, "gang.reclaim", f"Gang is {reason}.", job=gang.job, team=gang.team)


def _stop_under_way(world: World, gang: Gang) -> bool:
    for row in world.proposals:
        body = row.record.body
        if isinstance(body, GangStop) and body.job == gang.job:
            return True
    return False


def _propose_gang(world: World, job: Job, choice: Choice, now_ms: int) -> None:
    path = team_path(job.team, job.urgency)
    policy = effective(world.agreed, "", POLICY_KEY)
    values = [effective(world.agreed, path, key) for key in DECISION_KEYS]
    decision = Decision(
        str(policy.value),
        world.log_view.folded_offset,
        (policy, *values),
        choice.refused[:REFUSALS_KEPT],
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
    put_hold(world.scheduling, hold_of(key, job, choice.placements))
    world.scheduling.pending.add(key)
    propose(world, body, now_ms)
    note(world, "job.place", "Placement proposed.", job=job.name, team=job.team)
