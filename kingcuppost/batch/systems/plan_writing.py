"""Writing of plans to the log: one append at a time, numbered within the term."""

from dataclasses import replace

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
    RemovalRecord,
    SpeedsRecord,
    Stream,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["write_plans"]

APPEND_TIMEOUT_MS = 800
MAX_JOBS_PER_APPEND = 64
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
        _handle_append_answer(world, answer)
    schedule = world.schedule
    schedule.append_results.clear()
    has_changes = schedule.unwritten_jobs or schedule.removals
    if schedule.is_loaded and schedule.in_flight is None and has_changes:
        _append_changes(world, now_ms)


def _append_changes(world: BatchWorld, now_ms: int) -> None:
    schedule = world.schedule
    job_ids = list(schedule.unwritten_jobs)[:MAX_JOBS_PER_APPEND]
    records = []
    versions = {}
    for job_id in job_ids:
        del schedule.unwritten_jobs[job_id]
        plan = schedule.plans.get(job_id)
        if plan is not None:
            records.append(ProgressRecord(job_id, make_progress(plan)))
            versions[job_id] = plan.version
    records += _make_removals(world)
    records += _make_speed_records(world, now_ms)
    schedule.sequence += 1
    schedule.in_flight = Append(
        new_identifier(world.rng, "plans"),
        Stream.JOBS,
        tuple(records),
        term=schedule.term,
        sequence=schedule.sequence,
        timeout_ms=APPEND_TIMEOUT_MS,
    )
    schedule.in_flight_versions = versions
    world.outbox.put(schedule.in_flight)


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


def _make_removals(world: BatchWorld) -> list[RemovalRecord]:
    """Return the removals of all records of up to `MAX_JOBS_PER_APPEND` ended jobs."""
    removals = world.schedule.removals
    job_ids = list(removals)[:MAX_JOBS_PER_APPEND]
    for job_id in job_ids:
        del removals[job_id]
    return [
        RemovalRecord(f"{kind}/{job_id}")
        for job_id in job_ids
        for kind in JOB_KEY_KINDS
    ]


def _handle_append_answer(world: BatchWorld, answer: AppendEnded) -> None:
    schedule = world.schedule
    if schedule.in_flight is None or answer.id != schedule.in_flight.id:
        return
    if answer.outcome is AppendOutcome.DONE:
        _mark_committed(world)
    elif answer.outcome is AppendOutcome.FENCED:
        step_down(world, "a newer term has written")
    elif answer.outcome is AppendOutcome.CONFLICT:
        step_down(world, f"the log expects another append: {answer.reason}")
    else:
        world.outbox.put(schedule.in_flight)


def _mark_committed(world: BatchWorld) -> None:
    schedule = world.schedule
    for job_id, version in schedule.in_flight_versions.items():
        plan = schedule.plans.get(job_id)
        if plan is not None:
            plan.committed_version = version
    schedule.in_flight = None
    schedule.in_flight_versions = {}
