"""Runs that stand still, and runs at minions that are about to leave."""

from kingcuppost.batch.systems.plans import all_tasks, ask_stop, stop_runs
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.speeds import (
    expected_left_ms,
    fair_estimate_ms,
    learn_speed,
)
from kingcuppost.batch.systems.term import is_scheduling
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import Plan, PlanState, Task, TaskPhase
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role

__all__ = ["watch_runs"]

PERIOD_MS = 500
SAVE_PERIOD_MS = 2_000
STALLED_MS = 3_000
STALLED_LONG_MS = 9_000
SLOWEST = 20
WHOLE = 100
ALMOST_DONE = 99
DRAIN_SLACK = 1.5
DRAIN_SLACK_MS = 1_000
URGENT = 0
LEAST_WATCHED_MS = 2_000
MOVE_GAIN = 2.5
SURE_GAIN = 1.4
SURE_RUNS = 2
MOVE_COST_MS = 700


@system(Phase.MEMBERSHIP, (Role.ENTRY,), order=80)
def watch_runs(world: BatchWorld, now_ms: int) -> None:
    """Look at every run twice a second, and stop those that would not end there."""
    schedule = world.schedule
    if not is_scheduling(world) or now_ms < schedule.check_runs_at_ms:
        return
    schedule.check_runs_at_ms = now_ms + PERIOD_MS
    if now_ms >= schedule.write_checkpoints_at_ms:
        schedule.write_checkpoints_at_ms = now_ms + SAVE_PERIOD_MS
        _keep_checkpoints(world)
    rows = {row.incarnation: row for row in schedule.minions}
    for plan in list(schedule.plans.values()):
        if plan.phase is not PlanState.OPEN:
            continue
        for task in all_tasks(plan):
            row = rows.get(task.incarnation)
            if row is not None and task.confirmed and not task.stopping:
                _watch(world, row, plan, task, now_ms)


def _keep_checkpoints(world: BatchWorld) -> None:
    """Write new checkpoints into the log, where they outlive all processes."""
    for plan in world.schedule.plans.values():
        if plan.has_new_checkpoint and plan.phase is PlanState.OPEN:
            plan.has_new_checkpoint = False
            plan.version += 1
            world.schedule.dirty[plan.job.id] = None


def _watch(
    world: BatchWorld, row: MinionRow, plan: Plan, task: Task, now_ms: int
) -> None:
    if task.phase is not TaskPhase.PLACED or row.is_unreachable:
        return
    if row.speed.weight < 1:
        learn_speed(world, row, plan, task)
    if row.draining and _should_leave(row, plan, task):
        _stop(world, plan, task, "the minion drains")
    elif _is_too_slow(row, plan, task):
        task.was_migrated = True
        task.avoided_minions.add(row.incarnation.minion)
        _stop(world, plan, task, "the minion is slow")
    elif _is_stalled(plan, task, now_ms):
        row.stalled_ms = now_ms
        task.avoided_minions.add(row.incarnation.minion)
        _stop(world, plan, task, "the run stands still")


def _stop(world: BatchWorld, plan: Plan, task: Task, reason: str) -> None:
    world.note(
        "run", "A run is stopped.", task=str(task.name), run=task.run, reason=reason
    )
    if plan.job.steps[task.name.step].gang:
        stop_runs(world, plan, task.name.step)
    else:
        ask_stop(world, plan, task)


def _should_leave(row: MinionRow, plan: Plan, task: Task) -> bool:
    """Return whether a run would be cut off, or loses nothing by moving."""
    if plan.job.steps[task.name.step].saves:
        return True
    limit_ms = row.remaining_ms * DRAIN_SLACK + DRAIN_SLACK_MS
    return expected_left_ms(row, plan, task) > limit_ms


def _is_too_slow(row: MinionRow, plan: Plan, task: Task) -> bool:
    """Return whether an urgent run would be done sooner if it began anew elsewhere.

    Estimates may be off by half, so the gain must be large unless other runs of the
    step have told how long they really take; a task is moved once at
    most, since moving gains nothing where all minions are slow.
    """
    step = plan.job.steps[task.name.step]
    if plan.job.policy.priority != URGENT or step.gang or task.was_migrated:
        return False
    watched_ms = task.percent_changed_ms - (
        task.running_since_ms or task.percent_changed_ms
    )
    if watched_ms < LEAST_WATCHED_MS:
        return False
    estimate_error = plan.estimate_errors.get(task.name.step)
    is_sure = estimate_error is not None and estimate_error.count >= SURE_RUNS
    anew_ms = MOVE_GAIN * step.estimate_ms
    if is_sure:
        anew_ms = SURE_GAIN * fair_estimate_ms(plan, task)
    return expected_left_ms(row, plan, task) > anew_ms + MOVE_COST_MS


def _is_stalled(plan: Plan, task: Task, now_ms: int) -> bool:
    """Return whether a run has shown no progress for too long.

    A run that would lose much by moving is given longer to go on. A member of a gang
    that is through with its own work waits for the others.
    """
    if task.percent >= ALMOST_DONE:
        return False
    step = plan.job.steps[task.name.step]
    slow_ms = SLOWEST * step.estimate_ms / WHOLE
    loses_little = step.saves or plan.job.policy.priority == URGENT
    bound_ms = STALLED_MS if loses_little else STALLED_LONG_MS
    return now_ms - task.percent_changed_ms > max(bound_ms, slow_ms)
