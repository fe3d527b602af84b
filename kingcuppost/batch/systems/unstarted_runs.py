"""What the holder does about runs that do not begin, or vanish without an end."""

from kingcuppost.batch.systems.plans import request_run_stop
from kingcuppost.batch.systems.start_limits import (
    start_limit_ms,
    unconfirmed_limit_ms,
    unlisted_limit_ms,
)
from kingcuppost.batch.tables.end_cause import CAUSE_TEXTS, CauseKind, EndCause
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["avoid_after_refusal", "is_unlisted", "withdraw_unlisted_run"]

REFUSAL_PAUSE_MS = 1_000
MAX_PAUSE_DOUBLINGS = 2


def is_unlisted(world: BatchWorld, minion: MinionRow, task: Task) -> bool:
    """Return whether a minion's reports have lacked a run for too long.

    Only reports that are in contact with the minion count, and none counts before the
    start was sent.
    """
    if task.reported_ms is None:
        return False
    limit = unlisted_limit_ms if task.confirmed else unconfirmed_limit_ms
    limit_ms = limit(world.cfg.bounds)
    return minion.listed_ms - task.reported_ms > limit_ms


def withdraw_unlisted_run(
    world: BatchWorld, minion: MinionRow, plan: Plan, task: Task, now_ms: int
) -> None:
    """Stop a run that reports lack, with its gang; it ends once that is certain."""
    kind = CauseKind.VANISHED if task.confirmed else CauseKind.NOT_BEGUN
    _avoid_minion(world, minion, plan, task, CAUSE_TEXTS[kind], now_ms)
    request_run_stop(world, plan, task, EndCause(kind, task.name))


def avoid_after_refusal(
    world: BatchWorld,
    minion: MinionRow,
    plan: Plan,
    task: Task,
    reason: str,
    now_ms: int,
) -> None:
    """Leave out a minion for a while after a refusal that the holder did not request.

    If the run did not begin in time, or vanished, its task also avoids the minion, and
    the pause grows with repetition.
    """
    if _has_not_begun(world, task, now_ms):
        _avoid_minion(world, minion, plan, task, reason, now_ms)
    elif not task.stopping:
        _pause(minion, now_ms + REFUSAL_PAUSE_MS)


def _has_not_begun(world: BatchWorld, task: Task, now_ms: int) -> bool:
    """Return whether a refused run did not begin in time, or vanished."""
    if task.was_lost or task.reported_ms is None:
        return False
    age_ms = now_ms - task.reported_ms
    return task.confirmed or age_ms >= start_limit_ms(world.cfg.bounds)


def _avoid_minion(
    world: BatchWorld,
    minion: MinionRow,
    plan: Plan,
    task: Task,
    reason: str,
    now_ms: int,
) -> None:
    """Let a task and its gang avoid a minion, and leave the minion out for a while."""
    is_gang = plan.job.steps[task.name.step].gang
    for member in plan.tasks[task.name.step] if is_gang else [task]:
        member.avoided_minions.add(minion.incarnation.minion)
    if now_ms >= minion.backoff_until_ms:
        minion.unstarted_runs += 1
    doublings = min(max(minion.unstarted_runs - 1, 0), MAX_PAUSE_DOUBLINGS)
    pause_ms = REFUSAL_PAUSE_MS << doublings
    _pause(minion, now_ms + pause_ms)
    world.tally.add("runs_unstarted", reason)
    world.note(
        "run",
        "A run has vanished." if task.confirmed else "A run did not begin.",
        task=str(task.name),
        run=task.run,
        minion=minion.incarnation.minion,
        age_ms=world.clock.wall_ms() - task.placed_ms,
        reason=reason,
        pause_ms=pause_ms,
    )


def _pause(minion: MinionRow, until_ms: int) -> None:
    minion.backoff_until_ms = max(minion.backoff_until_ms, until_ms)
