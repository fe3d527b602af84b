"""Monitoring of runs: stops those that are stalled, slow, unlisted or to be moved."""

from dataclasses import dataclass

from kingcuppost.batch.systems.departures import DrainDecisions
from kingcuppost.batch.systems.plans import mark_unwritten, request_run_stop
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.speeds import (
    corrected_estimate_ms,
    expected_remaining_ms,
    update_speed,
)
from kingcuppost.batch.systems.task_phases import placed_runs
from kingcuppost.batch.systems.term_opening import is_scheduling
from kingcuppost.batch.systems.unstarted_runs import (
    is_unlisted,
    withdraw_unlisted_run,
)
from kingcuppost.batch.tables.decision import URGENT_PRIORITY
from kingcuppost.batch.tables.end_cause import CAUSE_TEXTS, CauseKind, EndCause
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.plan import Plan, PlanPhase
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.waiting import StepName
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role

__all__ = ["monitor_runs"]

MONITOR_PERIOD_MS = 500
CHECKPOINT_PERIOD_MS = 2_000
STALLED_MS = 3_000
STALLED_COSTLY_MS = 9_000  # for runs that would lose much work
STALLED_ESTIMATE_PERCENT = 20
FULL_PERCENT = 100
ALMOST_DONE_PERCENT = 99
MIN_OBSERVED_MS = 2_000
MIN_GAIN_RATIO = 2.5  # estimates may be off by half
MIN_KNOWN_GAIN_RATIO = 1.4  # once other runs have corrected the estimate
MIN_KNOWN_RUNS = 2
MOVE_COST_MS = 700


@system(Phase.MEMBERSHIP, (Role.ENTRY,), order=80)
def monitor_runs(world: BatchWorld, now_ms: int) -> None:
    """Check all runs every `MONITOR_PERIOD_MS` and stop those that should move.

    Also has new checkpoints written to the log every `CHECKPOINT_PERIOD_MS`.
    """
    schedule = world.schedule
    if not is_scheduling(world) or now_ms < schedule.check_runs_at_ms:
        return
    schedule.check_runs_at_ms = now_ms + MONITOR_PERIOD_MS
    if now_ms >= schedule.write_checkpoints_at_ms:
        schedule.write_checkpoints_at_ms = now_ms + CHECKPOINT_PERIOD_MS
        _record_checkpoints(world)
    checks = _Checks(now_ms, _GangProgress(), DrainDecisions(world, now_ms))
    for minion in schedule.minions:
        for plan, task in placed_runs(schedule, minion.incarnation):
            if task.stopping or plan.phase is not PlanPhase.OPEN:
                continue
            if is_unlisted(world, minion, task):
                withdraw_unlisted_run(world, minion, plan, task, now_ms)
            elif task.confirmed:
                _check_run(world, minion, plan, task, checks)


class _GangProgress:
    """When gangs that are almost done last made progress, found once for each gang."""

    def __init__(self) -> None:
        self._changed_ms: dict[StepName, int | None] = {}

    def changed_ms(self, plan: Plan, step: int) -> int | None:
        """Return the time of the last progress of any member, in ms.

        It is None while a member is not almost done.
        """
        name = StepName(plan.job.id, step)
        if name not in self._changed_ms:
            members = plan.tasks[step]
            self._changed_ms[name] = (
                max(member.percent_changed_ms for member in members)
                if all(_is_almost_done(member) for member in members)
                else None
            )
        return self._changed_ms[name]


@dataclass(frozen=True, slots=True)
class _Checks:
    """What one pass over all runs finds out once for each gang."""

    now_ms: int
    gangs: _GangProgress
    drains: DrainDecisions


def _record_checkpoints(world: BatchWorld) -> None:
    """Mark the plans with new checkpoints for writing to the log.

    Checkpoints in the log survive the loss of all processes.
    """
    for plan in world.schedule.plans.values():
        if plan.has_new_checkpoint and plan.phase is PlanPhase.OPEN:
            plan.has_new_checkpoint = False
            mark_unwritten(world, plan)


def _check_run(
    world: BatchWorld,
    minion: MinionRow,
    plan: Plan,
    task: Task,
    checks: _Checks,
) -> None:
    if minion.is_unreachable:
        return
    if minion.speed.weight < 1:
        update_speed(world, minion, plan, task)
    if minion.draining and checks.drains.should_stop(minion, plan, task):
        _stop_run(world, plan, task, CauseKind.DRAINING)
    elif _is_too_slow(minion, plan, task):
        task.was_migrated = True
        task.avoided_minions.add(minion.incarnation.minion)
        _stop_run(world, plan, task, CauseKind.SLOW)
    elif _is_stalled(plan, task, checks.gangs):
        minion.stalled_ms = checks.now_ms
        task.avoided_minions.add(minion.incarnation.minion)
        _stop_run(world, plan, task, CauseKind.STALLED)


def _stop_run(world: BatchWorld, plan: Plan, task: Task, kind: CauseKind) -> None:
    world.note(
        "run",
        "A run is stopped.",
        task=str(task.name),
        run=task.run,
        reason=CAUSE_TEXTS[kind],
    )
    request_run_stop(world, plan, task, EndCause(kind, task.name))


def _is_too_slow(minion: MinionRow, plan: Plan, task: Task) -> bool:
    """Return whether an urgent run would end sooner if restarted on another minion.

    Estimates may be off by half, so the gain must be large unless other runs of the
    step have shown the actual duration. A task is moved at most once, since moving
    gains nothing if all minions are slow.
    """
    step = plan.job.steps[task.name.step]
    if plan.job.policy.priority != URGENT_PRIORITY or step.gang or task.was_migrated:
        return False
    observed_ms = task.percent_changed_ms - (
        task.running_since_ms or task.percent_changed_ms
    )
    if observed_ms < MIN_OBSERVED_MS:
        return False
    estimate_error = plan.estimate_errors.get(task.name.step)
    is_duration_known = (
        estimate_error is not None and estimate_error.count >= MIN_KNOWN_RUNS
    )
    restart_limit_ms = MIN_GAIN_RATIO * step.estimate_ms
    if is_duration_known:
        expected_ms = corrected_estimate_ms(plan, task.name.step)
        restart_limit_ms = MIN_KNOWN_GAIN_RATIO * expected_ms
    return expected_remaining_ms(minion, plan, task) > restart_limit_ms + MOVE_COST_MS


def _is_stalled(plan: Plan, task: Task, gangs: _GangProgress) -> bool:
    """Return whether a run has made no progress for too long.

    The limit is longer for runs that would lose much work, and at least
    `STALLED_ESTIMATE_PERCENT` of the step's estimate. A gang member that is almost done
    may wait for the others, so it counts as stalled only once all are almost done, from
    the last progress of any.
    """
    step = plan.job.steps[task.name.step]
    changed_ms = task.percent_changed_ms
    if step.gang and task.percent >= ALMOST_DONE_PERCENT:
        changed_ms = gangs.changed_ms(plan, task.name.step)
        if changed_ms is None:
            return False
    estimate_limit_ms = STALLED_ESTIMATE_PERCENT * step.estimate_ms / FULL_PERCENT
    loses_little = step.saves or plan.job.policy.priority == URGENT_PRIORITY
    stall_limit_ms = STALLED_MS if loses_little else STALLED_COSTLY_MS
    unchanged_ms = task.percent_read_ms - changed_ms
    return unchanged_ms > max(stall_limit_ms, estimate_limit_ms)


def _is_almost_done(task: Task) -> bool:
    return task.confirmed and task.percent >= ALMOST_DONE_PERCENT
