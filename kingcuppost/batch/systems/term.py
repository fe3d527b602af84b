"""Opening a term: fence older writers, read up to the fence, load the plans."""

from dataclasses import replace

from kingcuppost.batch.systems.holder_election import holds_lease, step_down
from kingcuppost.batch.systems.plans import all_tasks, take_up
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.tables.messages import (
    Append,
    AppendEnded,
    AppendOutcome,
    Stream,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["is_scheduling", "open_term", "sure_lapse_ms"]

ANSWER_MS = 800
LAPSE_MARGIN_MS = 400
CLOCK_DRIFT = 1.03


def sure_lapse_ms(lease_ms: int) -> int:
    """Return after how long a lease has lapsed on any minion's clock, in ms."""
    return int(lease_ms * CLOCK_DRIFT) + LAPSE_MARGIN_MS


def is_scheduling(world: BatchWorld) -> bool:
    """Return whether this process may decide: its term is open and loaded."""
    return world.schedule.is_loaded and holds_lease(world)


@system(Phase.MEMBERSHIP, (Role.ENTRY,), order=70)
def open_term(world: BatchWorld, now_ms: int) -> None:
    """Take the term up once the log refuses older writers."""
    schedule = world.schedule
    if not holds_lease(world):
        return
    if schedule.term < 0:
        schedule.term = world.agreed.holder.term
        _send_fence(world)
    for answer in [
        row for row in schedule.append_results if row.id == schedule.fence_id
    ]:
        schedule.append_results.remove(answer)
        _fence_answered(world, answer)
    schedule = world.schedule
    is_caught_up = world.agreed.views[Stream.JOBS].end >= schedule.required_offset
    if schedule.is_open and not schedule.is_loaded and is_caught_up:
        _load(world, now_ms)


def _send_fence(world: BatchWorld) -> None:
    """Append nothing under the new term: from then on the log refuses older ones."""
    schedule = world.schedule
    schedule.fence_id = new_identifier(world.rng, "fence")
    world.outbox.put(
        Append(
            schedule.fence_id,
            Stream.JOBS,
            (),
            term=schedule.term,
            sequence=0,
            timeout_ms=ANSWER_MS,
        )
    )


def _fence_answered(world: BatchWorld, answer: AppendEnded) -> None:
    schedule = world.schedule
    if answer.outcome is AppendOutcome.DONE:
        schedule.is_open = True
        schedule.required_offset = answer.end
        schedule.sequence = 0
    elif answer.outcome is AppendOutcome.FENCED:
        step_down(world, "a newer term writes")
    else:
        _send_fence(world)


def _load(world: BatchWorld, now_ms: int) -> None:
    """Make plans of all jobs; what runs anywhere may run for a lease yet."""
    schedule = world.schedule
    schedule.is_loaded = True
    schedule.speeds = {
        name: replace(speed) for name, speed in world.agreed.speeds.items()
    }
    sure_ms = now_ms + sure_lapse_ms(world.cfg.bounds.lease_ms)
    for job in world.agreed.jobs:
        take_up(world, job.id)
        plan = schedule.plans[job.id]
        for task in all_tasks(plan):
            if task.incarnation is not None:
                schedule.pending_runs[task.name] = (plan, task)
                schedule.lapse_times_ms[task.incarnation] = sure_ms
                schedule.incarnation_sidecars[task.incarnation] = task.sidecar
    world.deadlines.add(sure_ms)
    schedule.changed_jobs.clear()
    schedule.changed = True
    world.note(
        "lease", "The term is open.", term=schedule.term, jobs=len(schedule.plans)
    )
