"""Work that is lost when a run ends, in core-seconds."""

from kingcuppost.batch.systems.units import task_core_equivalents
from kingcuppost.batch.tables.job import RunEnd
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.task import Task

__all__ = ["work_lost_by_end", "work_lost_by_stop"]

MS_PER_SECOND = 1_000


def work_lost_by_stop(plan: Plan, task: Task, wall_ms: int, restore_ms: int) -> float:
    """Return the core-seconds of work lost by stopping a run together with its gang.

    A task that saves checkpoints does so once more when it is stopped, so it loses at
    most the time that resuming takes.

    Parameters
    ----------
    plan : Plan
        The job's plan.
    task : Task
        The task whose run would be stopped.
    wall_ms : int
        Current Unix time, in ms.
    restore_ms : int
        Time that resuming from a checkpoint takes.
    """
    step = plan.job.steps[task.name.step]
    lost_ms = max(wall_ms - task.placed_ms, 0)
    if step.saves:
        lost_ms = min(lost_ms, restore_ms)
    members = len(plan.tasks[task.name.step]) if step.gang else 1
    return task_core_equivalents(step) * members * lost_ms / MS_PER_SECOND


def work_lost_by_end(plan: Plan, task: Task, run_end: RunEnd, wall_ms: int) -> float:
    """Return the core-seconds of work that a run has lost by its end, without its gang.

    Nothing is lost if the work was completed, or if the run saved a checkpoint when it
    was stopped. Otherwise the work since the newest checkpoint is lost.
    """
    step = plan.job.steps[task.name.step]
    if run_end is RunEnd.DONE or (run_end is RunEnd.STOPPED and step.saves):
        return 0.0
    since_ms = max(task.placed_ms, task.checkpoint_ms)
    return task_core_equivalents(step) * max(wall_ms - since_ms, 0) / MS_PER_SECOND
