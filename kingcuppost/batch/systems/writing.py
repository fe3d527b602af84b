"""Writing plans into the log: one append at a time, numbered within the term."""

from dataclasses import replace

from kingcuppost.batch.systems.holder_election import step_down
from kingcuppost.batch.systems.plans import progress_of
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.term import is_scheduling
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

ANSWER_MS = 800
MOST_JOBS = 64
MOST_AWAY = 100
SPEEDS_PERIOD_MS = 10_000
JOB_KEYS = ("progress", "cancel", "job")


@system(Phase.PROPOSE, (Role.ENTRY,), order=20)
def write_plans(world: BatchWorld, now_ms: int) -> None:
    """Append the plans that have changed; send an append again until it is settled.

    An append keeps its number, so that the log takes it once however often it is sent.
    """
    if not is_scheduling(world):
        world.schedule.append_results.clear()
        return
    for answer in world.schedule.append_results:
        _settle(world, answer)
    schedule = world.schedule
    schedule.append_results.clear()
    has_work = schedule.dirty or schedule.removals
    if schedule.is_loaded and schedule.in_flight is None and has_work:
        _append(world, now_ms)


def _append(world: BatchWorld, now_ms: int) -> None:
    schedule = world.schedule
    job_ids = list(schedule.dirty)[:MOST_JOBS]
    records = []
    versions = {}
    for job_id in job_ids:
        del schedule.dirty[job_id]
        plan = schedule.plans.get(job_id)
        if plan is not None:
            records.append(ProgressRecord(job_id, progress_of(plan)))
            versions[job_id] = plan.version
    records += _removals(world)
    records += _speeds(world, now_ms)
    schedule.sequence += 1
    schedule.in_flight = Append(
        new_identifier(world.rng, "plans"),
        Stream.JOBS,
        tuple(records),
        term=schedule.term,
        sequence=schedule.sequence,
        timeout_ms=ANSWER_MS,
    )
    schedule.in_flight_versions = versions
    world.outbox.put(schedule.in_flight)


def _speeds(world: BatchWorld, now_ms: int) -> list[SpeedsRecord]:
    """Return the learned speeds of present minions, if their record is due."""
    schedule = world.schedule
    if not schedule.speeds_changed or now_ms < schedule.write_speeds_at_ms:
        return []
    schedule.speeds_changed = False
    schedule.write_speeds_at_ms = now_ms + SPEEDS_PERIOD_MS
    learned = {
        row.sidecar: replace(row.speed) for row in schedule.minions if row.speed.weight
    }
    return [SpeedsRecord({**_elsewhere(world), **learned})]


def _elsewhere(world: BatchWorld) -> dict[str, Speed]:
    """Return the speeds of machines whose minions are away, as they were agreed."""
    present = {row.sidecar for row in world.schedule.minions}
    speeds = world.schedule.speeds
    away = [name for name in speeds if name not in present and speeds[name].weight]
    return {name: replace(speeds[name]) for name in away[-MOST_AWAY:]}


def _removals(world: BatchWorld) -> list[RemovalRecord]:
    """Return the removal of all records of some jobs that ended long ago."""
    removals = world.schedule.removals
    job_ids = list(removals)[:MOST_JOBS]
    for job_id in job_ids:
        del removals[job_id]
    return [
        RemovalRecord(f"{kind}/{job_id}") for job_id in job_ids for kind in JOB_KEYS
    ]


def _settle(world: BatchWorld, answer: AppendEnded) -> None:
    schedule = world.schedule
    if schedule.in_flight is None or answer.id != schedule.in_flight.id:
        return
    if answer.outcome is AppendOutcome.DONE:
        _commit(world)
    elif answer.outcome is AppendOutcome.FENCED:
        step_down(world, "a newer term writes")
    elif answer.outcome is AppendOutcome.CONFLICT:
        step_down(world, f"the log expects another append: {answer.reason}")
    else:
        world.outbox.put(schedule.in_flight)


def _commit(world: BatchWorld) -> None:
    schedule = world.schedule
    for job_id, version in schedule.in_flight_versions.items():
        plan = schedule.plans.get(job_id)
        if plan is not None:
            plan.committed = version
    schedule.in_flight = None
    schedule.in_flight_versions = {}
