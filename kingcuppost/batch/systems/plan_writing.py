"""Writing of plans to the log: one append at a time, numbered within the term."""

from dataclasses import replace
from itertools import islice

from kingcuppost.batch.systems.holder_election import step_down
from kingcuppost.batch.systems.plans import make_progress
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.term_opening import is_scheduling
from kingcuppost.batch.tables.fleet import Speed
from kingcuppost.batch.tables.messages import (
    Append,
    AppendEnded,
    AppendOutcome,
    ProgressRecord,
    Record,
    RemovalRecord,
    SpeedsRecord,
    Stream,
)
from kingcuppost.batch.tables.plan_writes import (
    MAX_JOBS_PER_APPEND,
    PlanAppend,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role
from kingcuppost.utils.backoff import Backoff
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["write_plans"]

APPEND_TIMEOUT_MS = 800
HOLD_MIN_MS = 1_000
HOLD_MAX_MS = 60_000
MAX_ABSENT_SPEEDS = 100
SPEEDS_PERIOD_MS = 10_000
JOB_KEY_KINDS = ("progress", "cancel", "job")


@system(Phase.PROPOSE, (Role.ENTRY,), order=20)
def write_plans(world: BatchWorld, now_ms: int) -> None:
    """Append changed plans, removals and speeds; resend an append until it is done.

    A resent append keeps its sequence number, so that the log applies it only once.
    The process steps down if the log has accepted a newer term or expects another
    append.
    """
    if not is_scheduling(world):
        world.schedule.append_results.clear()
        return
    for answer in world.schedule.append_results:
        _handle_append_answer(world, answer, now_ms)
    world.schedule.append_results.clear()
    if not world.schedule.is_loaded:
        return
    writes = world.schedule.plan_writes
    if now_ms < writes.backoff.until_ms:
        world.deadlines.add(writes.backoff.until_ms)
    elif writes.in_flight is None:
        _append_changes(world, now_ms)
    elif not writes.in_flight.is_sent:
        writes.in_flight.is_sent = True
        world.outbox.put(writes.in_flight.append)


def _append_changes(world: BatchWorld, now_ms: int) -> None:
    """Append what has changed, if anything has."""
    schedule = world.schedule
    job_ids = _choose_jobs(world, now_ms)
    records: list[Record] = []
    versions = {}
    for job_id in job_ids:
        del schedule.unwritten_jobs[job_id]
        plan = schedule.plans.get(job_id)
        if plan is not None:
            records.append(ProgressRecord(job_id, make_progress(plan)))
            versions[job_id] = plan.version
    is_searching = bool(schedule.plan_writes.suspects)
    removed_ids = () if is_searching else _take_removals(world)
    records += _make_removals(removed_ids)
    if not records:
        return
    speeds = [] if is_searching else _make_speed_records(world, now_ms)
    _send_records(
        world, records + speeds, versions, removed_ids, has_speeds=bool(speeds)
    )


def _send_records(
    world: BatchWorld,
    records: list[Record],
    versions: dict[str, int],
    removals: tuple[str, ...],
    has_speeds: bool,
) -> None:
    writes = world.schedule.plan_writes
    writes.sequence += 1
    append = Append(
        new_identifier(world.rng, "plans"),
        Stream.JOBS,
        tuple(records),
        term=world.schedule.term,
        sequence=writes.sequence,
        timeout_ms=APPEND_TIMEOUT_MS,
    )
    writes.in_flight = PlanAppend(append, versions, removals, has_speeds)
    world.outbox.put(append)


def _choose_jobs(world: BatchWorld, now_ms: int) -> list[str]:
    """Return the jobs whose plans are written next.

    A job that is held is written alone once its pause is over.
    """
    schedule = world.schedule
    writes = schedule.plan_writes
    writes.suspects = tuple(
        job_id for job_id in writes.suspects if job_id in schedule.unwritten_jobs
    )
    held = [job_id for job_id in writes.held if job_id in schedule.unwritten_jobs]
    for job_id in held:
        until_ms = writes.held[job_id].until_ms
        if now_ms >= until_ms:
            return [job_id]
        world.deadlines.add(until_ms)
    if writes.suspects:
        return list(writes.suspects[: max(len(writes.suspects) // 2, 1)])
    others = (job_id for job_id in schedule.unwritten_jobs if job_id not in writes.held)
    return list(islice(others, MAX_JOBS_PER_APPEND))


def _make_speed_records(world: BatchWorld, now_ms: int) -> list[SpeedsRecord]:
    """Return a list with the record of all known speeds if it is due, else empty."""
    schedule = world.schedule
    if not schedule.speeds_changed or now_ms < schedule.write_speeds_at_ms:
        return []
    schedule.speeds_changed = False
    schedule.write_speeds_at_ms = now_ms + SPEEDS_PERIOD_MS
    learned = {
        minion.sidecar: replace(minion.speed)
        for minion in schedule.minions
        if minion.speed.weight
    }
    return [SpeedsRecord({**_absent_speeds(world), **learned})]


def _absent_speeds(world: BatchWorld) -> dict[str, Speed]:
    """Return the last known speeds of machines whose minions are absent.

    At most `MAX_ABSENT_SPEEDS` of them are kept.
    """
    present = {minion.sidecar for minion in world.schedule.minions}
    speeds = world.schedule.speeds
    absent = [name for name in speeds if name not in present and speeds[name].weight]
    return {name: replace(speeds[name]) for name in absent[-MAX_ABSENT_SPEEDS:]}


def _take_removals(world: BatchWorld) -> tuple[str, ...]:
    """Return up to `MAX_JOBS_PER_APPEND` jobs to remove, which are due no more."""
    removals = world.schedule.removals
    job_ids = tuple(removals)[:MAX_JOBS_PER_APPEND]
    for job_id in job_ids:
        del removals[job_id]
    return job_ids


def _make_removals(job_ids: tuple[str, ...]) -> list[RemovalRecord]:
    """Return the removals of all records of jobs."""
    return [
        RemovalRecord(f"{kind}/{job_id}")
        for job_id in job_ids
        for kind in JOB_KEY_KINDS
    ]


def _handle_append_answer(world: BatchWorld, answer: AppendEnded, now_ms: int) -> None:
    writes = world.schedule.plan_writes
    sent = writes.in_flight
    if sent is None or answer.id != sent.append.id:
        return
    if answer.outcome is AppendOutcome.DONE:
        _mark_committed(world, sent)
    elif answer.outcome is AppendOutcome.FENCED:
        step_down(world, "a newer term has written")
    elif answer.outcome is AppendOutcome.CONFLICT:
        step_down(world, f"the log expects another append: {answer.reason}")
    elif answer.outcome is AppendOutcome.INVALID:
        _handle_invalid_append(world, sent, answer.reason, now_ms)
    else:
        sent.is_sent = False
        writes.backoff.fail(world.rng, now_ms)


def _mark_committed(world: BatchWorld, sent: PlanAppend) -> None:
    schedule = world.schedule
    writes = schedule.plan_writes
    for job_id, version in sent.versions.items():
        writes.held.pop(job_id, None)
        plan = schedule.plans.get(job_id)
        if plan is not None:
            plan.committed_version = version
    writes.in_flight = None
    writes.backoff.succeed()
    writes.suspects = tuple(
        job_id for job_id in writes.suspects if job_id not in sent.versions
    )


def _handle_invalid_append(
    world: BatchWorld, sent: PlanAppend, reason: str, now_ms: int
) -> None:
    """Find the plan for which an append is invalid, and hold that plan.

    Nothing of the append is in the log, so the next one has the same sequence number.
    Speeds are written again when they are next due.
    """
    schedule = world.schedule
    writes = schedule.plan_writes
    writes.in_flight = None
    writes.sequence -= 1
    schedule.unwritten_jobs.update(dict.fromkeys(sent.versions))
    schedule.removals.update(dict.fromkeys(sent.removals))
    writes.suspects = tuple(sent.versions)
    is_single = len(sent.versions) == 1 and not (sent.removals or sent.has_speeds)
    if is_single:
        writes.suspects = ()
        _hold_plan(world, next(iter(sent.versions)), reason, now_ms)
    elif not sent.versions:
        writes.backoff.fail(world.rng, now_ms)


def _hold_plan(world: BatchWorld, job_id: str, reason: str, now_ms: int) -> None:
    held = world.schedule.plan_writes.held
    backoff = held.setdefault(job_id, Backoff(HOLD_MIN_MS, HOLD_MAX_MS))
    backoff.fail(world.rng, now_ms)
    world.deadlines.add(backoff.until_ms)
    world.tally.add("plans_held")
    world.note(
        "log",
        "The plan of a job cannot be written.",
        job=job_id,
        failures=backoff.failures,
        retry_after_ms=backoff.until_ms - now_ms,
        reason=reason,
    )
