"""Writing of plans to the log: one append at a time, numbered within the term."""

from dataclasses import dataclass, field, replace
from itertools import islice

from kingcuppost.batch.systems.holder_election import step_down
from kingcuppost.batch.systems.plan_layout import choose_layout
from kingcuppost.batch.systems.plan_parts import (
    count_parts,
    is_wide,
    make_part_record,
    make_progress,
    take_changed_parts,
)
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
    MAX_PARTS_PER_APPEND,
    PlanAppend,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role
from kingcuppost.utils.backoff import Backoff
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["write_plans"]

APPEND_TIMEOUT_MS = 800
MAX_REMOVED_RECORDS = 2_000
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
    writes = world.schedule.plan_writes
    choose_layout(world)
    chosen = _take_plans(world, _choose_jobs(world, now_ms))
    is_searching = bool(writes.suspects)
    chosen.removals = () if is_searching else _take_removals(world)
    chosen.records += _make_removals(world, chosen.removals)
    if not chosen.records:
        return
    if not is_searching:
        speeds = _make_speed_records(world, now_ms)
        chosen.records += speeds
        chosen.has_speeds = bool(speeds)
    _send_changes(world, chosen)


@dataclass(slots=True)
class _Changes:
    """Content of the next append; see `PlanAppend`."""

    records: list[Record] = field(default_factory=list)
    parts: dict[str, tuple[int, ...]] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    removals: tuple[str, ...] = ()
    has_speeds: bool = False


def _take_plans(world: BatchWorld, job_ids: list[str]) -> _Changes:
    """Return the records of changed plans, which count as written from now on.

    What is left of the last plan, if it has too many changed parts, stays unwritten.
    """
    schedule = world.schedule
    changes = _Changes()
    free_parts = schedule.plan_writes.max_parts
    for job_id in job_ids:
        plan = schedule.plans.get(job_id)
        if plan is None:
            del schedule.unwritten_jobs[job_id]
            continue
        if free_parts <= 0:
            break
        if is_wide(plan) and schedule.plan_writes.in_parts:
            parts = take_changed_parts(plan, free_parts)
            changes.records += [make_part_record(plan, part) for part in parts]
        else:
            parts = take_changed_parts(plan, count_parts(plan.job.steps))
            changes.records.append(ProgressRecord(job_id, make_progress(plan)))
        free_parts -= len(parts)
        changes.parts[job_id] = parts
        if not plan.changed_parts:
            changes.versions[job_id] = plan.version
            del schedule.unwritten_jobs[job_id]
    return changes


def _send_changes(world: BatchWorld, changes: _Changes) -> None:
    writes = world.schedule.plan_writes
    writes.sequence += 1
    append = Append(
        new_identifier(world.rng, "plans"),
        Stream.JOBS,
        tuple(changes.records),
        term=world.schedule.term,
        sequence=writes.sequence,
        timeout_ms=APPEND_TIMEOUT_MS,
    )
    writes.in_flight = PlanAppend(
        append, changes.parts, changes.versions, changes.removals, changes.has_speeds
    )
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
    """Return jobs to remove, which are not due any more.

    Their records are up to `MAX_REMOVED_RECORDS`, but those of one job in any case.
    """
    removals = world.schedule.removals
    job_ids: list[str] = []
    free_records = MAX_REMOVED_RECORDS
    for job_id in list(removals):
        free_records -= len(_job_keys(world, job_id))
        if job_ids and free_records < 0:
            break
        del removals[job_id]
        job_ids.append(job_id)
    return tuple(job_ids)


def _make_removals(world: BatchWorld, job_ids: tuple[str, ...]) -> list[Record]:
    """Return the removals of all records of jobs."""
    return [
        RemovalRecord(key) for job_id in job_ids for key in _job_keys(world, job_id)
    ]


def _job_keys(world: BatchWorld, job_id: str) -> list[str]:
    """Return the keys of all records that a job may have."""
    keys = [f"{kind}/{job_id}" for kind in JOB_KEY_KINDS]
    job = world.agreed.jobs.get(job_id)
    part_count = count_parts(job.steps) if job is not None else 0
    if part_count > 1:
        keys += [f"progress/{job_id}/{part}" for part in range(part_count)]
    return keys


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
    elif answer.outcome is AppendOutcome.INVALID and sent.has_unknown_outcome:
        # another append of this number could be taken for a repeat of this one
        step_down(
            world, f"an append that may be in the log is invalid: {answer.reason}"
        )
    elif answer.outcome is AppendOutcome.INVALID:
        _handle_invalid_append(world, sent, answer.reason, now_ms)
    else:
        sent.is_sent = False
        if answer.outcome is AppendOutcome.UNKNOWN:
            sent.has_unknown_outcome = True
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
        job_id for job_id in writes.suspects if job_id not in sent.parts
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
    schedule.removals.update(dict.fromkeys(sent.removals))
    for job_id, parts in sent.parts.items():
        _put_back(world, job_id, parts)
    writes.suspects = tuple(sent.parts)
    if not sent.parts:
        writes.backoff.fail(world.rng, now_ms)
    elif len(sent.append.records) == 1:
        writes.suspects = ()
        writes.max_parts = MAX_PARTS_PER_APPEND
        _hold_plan(world, next(iter(sent.parts)), reason, now_ms)
    elif len(sent.parts) == 1 and not (sent.removals or sent.has_speeds):
        writes.max_parts = len(sent.append.records) // 2


def _put_back(world: BatchWorld, job_id: str, parts: tuple[int, ...]) -> None:
    """Mark parts of a plan as changed again, before its later changes."""
    world.schedule.unwritten_jobs[job_id] = None
    plan = world.schedule.plans.get(job_id)
    if plan is not None:
        plan.changed_parts = dict.fromkeys((*parts, *plan.changed_parts))


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
