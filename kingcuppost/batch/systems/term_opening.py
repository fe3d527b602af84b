"""Opening of a term: fence older writers, read up to the fence, load the plans."""

from dataclasses import replace

from kingcuppost.batch.systems.append_results import take_append_results
from kingcuppost.batch.systems.holder_election import holds_lease, step_down
from kingcuppost.batch.systems.minion_leases import extend_lease
from kingcuppost.batch.systems.plans import adopt_job
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.tick_budget import TickBudget
from kingcuppost.batch.tables.messages import (
    Append,
    AppendEnded,
    AppendOutcome,
    Stream,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["is_scheduling", "open_term"]

APPEND_TIMEOUT_MS = 800


def is_scheduling(world: BatchWorld) -> bool:
    """Return whether this process may schedule: its term is open and loaded."""
    return world.schedule.is_loaded and holds_lease(world)


@system(Phase.MEMBERSHIP, (Role.ENTRY,), order=70)
def open_term(world: BatchWorld, now_ms: int) -> None:
    """Open the term once the log rejects older writers and is read up to the fence."""
    schedule = world.schedule
    if not holds_lease(world):
        return
    if schedule.term < 0:
        schedule.term = world.agreed.holder.term
    for answer in take_append_results(world, {schedule.lease_writes.fence_id}):
        _handle_fence_answer(world, answer, now_ms)
    schedule = world.schedule
    if schedule.term >= 0 and not schedule.is_open:
        _send_fence_if_due(world, now_ms)
    is_caught_up = world.agreed.views[Stream.JOBS].end >= schedule.required_offset
    if schedule.is_open and not schedule.is_loaded and is_caught_up:
        _load_plans(world, now_ms)


def _send_fence_if_due(world: BatchWorld, now_ms: int) -> None:
    """Append an empty batch under the new term; the log then rejects older terms."""
    schedule = world.schedule
    writes = schedule.lease_writes
    if writes.is_fence_sent:
        return
    if now_ms < writes.fence_backoff.until_ms:
        world.deadlines.add(writes.fence_backoff.until_ms)
        return
    writes.is_fence_sent = True
    writes.fence_id = new_identifier(world.rng, "fence")
    world.outbox.put(
        Append(
            writes.fence_id,
            Stream.JOBS,
            (),
            term=schedule.term,
            sequence=0,
            timeout_ms=APPEND_TIMEOUT_MS,
        )
    )


def _handle_fence_answer(world: BatchWorld, answer: AppendEnded, now_ms: int) -> None:
    schedule = world.schedule
    schedule.lease_writes.is_fence_sent = False
    if answer.outcome is AppendOutcome.DONE:
        schedule.is_open = True
        schedule.required_offset = answer.end
        schedule.plan_writes.sequence = 0
    elif answer.outcome is AppendOutcome.FENCED:
        step_down(world, "a newer term has written")
    else:
        schedule.lease_writes.fence_backoff.fail(world.rng, now_ms)


def _load_plans(world: BatchWorld, now_ms: int) -> None:
    """Load the plans of all jobs from the agreed state, in several ticks if need be.

    Jobs that change meanwhile are adopted once all are loaded.
    """
    schedule = world.schedule
    if schedule.unloaded_jobs is None:
        schedule.unloaded_jobs = [job.id for job in world.agreed.jobs]
        schedule.unloaded_jobs.reverse()
        schedule.changed_jobs.clear()
    budget = TickBudget(world.clock)
    while schedule.unloaded_jobs:
        if budget.is_spent():
            world.deadlines.add(now_ms)
            return
        adopt_job(world, schedule.unloaded_jobs.pop())
    _begin_scheduling(world, now_ms)


def _begin_scheduling(world: BatchWorld, now_ms: int) -> None:
    """Begin to schedule once the plans of all jobs are loaded.

    The previous holder may have extended the minion leases until now, and may go on for
    a while, so each minion with a placed run counts as expired only a full lease after
    that.
    """
    schedule = world.schedule
    schedule.unloaded_jobs = None
    schedule.is_loaded = True
    schedule.loaded_ms = schedule.minion_added_ms = now_ms
    schedule.speeds = {
        name: replace(speed) for name, speed in world.agreed.speeds.items()
    }
    extended_until_ms = max(now_ms, world.agreed.holder.extended_until_ms)
    for incarnation, load in schedule.loads.items():
        for plan, task in load.runs.values():
            schedule.pending_runs[task.name] = (plan, task)
            extend_lease(world, incarnation, task.sidecar, extended_until_ms)
    schedule.inputs_changed = True
    world.note(
        "lease", "The term is open.", term=schedule.term, jobs=len(schedule.plans)
    )
