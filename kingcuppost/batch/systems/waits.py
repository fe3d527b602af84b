"""Why ready work waits: kept for each step, logged and counted when it waits long.

Without it, neither logs nor metrics tell work that finds no capacity from work that
could run and does not.
"""

from kingcuppost.batch.systems.candidates import (
    Decision,
    exclude_avoided,
)
from kingcuppost.batch.systems.placement import fits_now
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.term_opening import is_scheduling
from kingcuppost.batch.systems.wait_ages import unanswered_orders
from kingcuppost.batch.tables.decision import Candidate, FailedTry, PlacementUnit
from kingcuppost.batch.tables.job import TaskPhase
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.waiting import StepName, Wait, WaitReason
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role

__all__ = [
    "find_wait_reason",
    "forget_ended_waits",
    "log_long_waits",
    "note_wait",
    "put_wait",
]

LONG_WAIT_MS = 2_000
CHECK_PERIOD_MS = 1_000
MAX_LINES_PER_CHECK = 5


def note_wait(
    decision: Decision,
    unit: PlacementUnit,
    tasks: list[Task],
    eligible: list[Candidate],
) -> FailedTry | None:
    """Note why tasks still wait after a decision on their unit, if any do.

    Parameters
    ----------
    unit : PlacementUnit
        The unit after the decision; its tasks are those without capacity.
    tasks : list of Task
        Its tasks before the decision.
    eligible : list of Candidate
        Minions that suit the unit and may be given tasks.

    Returns
    -------
    FailedTry or None
        What was noted; None if no task waits.
    """
    waiting = sum(task.phase is TaskPhase.WAITING for task in tasks)
    if not waiting:
        return None
    reason, fits = find_wait_reason(unit, eligible)
    return put_wait(decision, unit, waiting, reason, fits)


def put_wait(
    decision: Decision,
    unit: PlacementUnit,
    waiting: int,
    reason: WaitReason,
    fits: bool,
) -> FailedTry:
    """Note that a decision has left a number of tasks of a unit waiting.

    Parameters
    ----------
    fits : bool
        Whether the free capacity would hold the unit.
    """
    waits = decision.world.schedule.waits
    now_ms, number = decision.now_ms, decision.round.number
    step = StepName(unit.plan.job.id, unit.step)
    old = waits.get(step)
    if old is None:
        old = Wait(step, 0, reason, now_ms, now_ms, None, number)
        waits.put(old)
    fits_since_ms = old.fits_since_ms
    if fits_since_ms is None and fits:
        fits_since_ms = now_ms
    waits.update(
        step,
        tasks=waiting + (old.tasks if old.round_number == number else 0),
        reason=reason,
        reason_since_ms=old.reason_since_ms if old.reason is reason else now_ms,
        fits_since_ms=fits_since_ms,
        round_number=number,
    )
    return FailedTry(reason, fits_since_ms)


def find_wait_reason(
    unit: PlacementUnit, eligible: list[Candidate]
) -> tuple[WaitReason, bool]:
    """Return why a unit waits, and whether the free capacity holds it."""
    if not unit.tasks:
        return WaitReason.PREEMPTION, False
    if not eligible:
        return WaitReason.NO_MINION, False
    if not fits_now(unit.spec, eligible):
        return WaitReason.NO_CAPACITY, False
    if unit.awaits_rollout:
        return WaitReason.ROLLOUT, True
    if fits_now(unit.spec, exclude_avoided(unit, eligible)):
        return WaitReason.LOCALITY, True
    return WaitReason.FAILED_MINIONS, True


def forget_ended_waits(world: BatchWorld, round_number: int) -> None:
    """Remove the waits of steps that a round of decisions left without any."""
    waits = world.schedule.waits
    for wait in waits:
        if wait.round_number != round_number:
            waits.delete(wait.step)


@system(Phase.DECIDE, (Role.ENTRY,), order=30)
def log_long_waits(world: BatchWorld, now_ms: int) -> None:
    """Log what has waited for `LONG_WAIT_MS`, every `CHECK_PERIOD_MS`, longest first.

    At most `MAX_LINES_PER_CHECK` lines, so that a full deployment does not fill the
    log; the metrics have the longest wait for each reason.
    """
    schedule = world.schedule
    if not is_scheduling(world) or now_ms < schedule.check_waits_at_ms:
        return
    schedule.check_waits_at_ms = now_ms + CHECK_PERIOD_MS
    rows = [wait for wait in schedule.waits if now_ms - wait.since_ms >= LONG_WAIT_MS]
    rows.sort(key=lambda wait: (wait.fits_since_ms is None, wait.since_ms))
    for wait in rows[:MAX_LINES_PER_CHECK]:
        _log_wait(world, wait, now_ms)
    unanswered = sorted(
        (age_ms, str(task.name), reason, task)
        for age_ms, reason, task in unanswered_orders(world)
        if age_ms >= LONG_WAIT_MS
    )
    for age_ms, _, reason, task in unanswered[-MAX_LINES_PER_CHECK:]:
        _log_unanswered(world, task, reason, age_ms)
    if schedule.waits or schedule.pending_runs:
        world.deadlines.add(schedule.check_waits_at_ms)


def _log_wait(world: BatchWorld, wait: Wait, now_ms: int) -> None:
    fits_ms = 0 if wait.fits_since_ms is None else now_ms - wait.fits_since_ms
    world.note(
        "wait",
        "A step waits.",
        job=wait.step.job,
        step=wait.step.index,
        tasks=wait.tasks,
        reason=wait.reason,
        waited_ms=now_ms - wait.since_ms,
        reason_ms=now_ms - wait.reason_since_ms,
        fits_ms=fits_ms,
    )


def _log_unanswered(
    world: BatchWorld, task: Task, reason: WaitReason, age_ms: int
) -> None:
    world.note(
        "wait",
        "An order has no result.",
        task=str(task.name),
        run=task.run,
        minion=task.incarnation.minion if task.incarnation else "",
        reason=reason,
        waited_ms=age_ms,
    )
