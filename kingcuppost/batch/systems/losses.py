"""How much work the end of a run throws away, in core-seconds."""

from kingcuppost.batch.systems.units import task_weight
from kingcuppost.batch.tables.job import Plan, RunEnd, Task

__all__ = ["lost_by_end", "lost_by_stop"]

MS_PER_SECOND = 1_000


def lost_by_stop(plan: Plan, task: Task, wall_ms: int, restore_ms: int) -> float:
    """Return what stopping a run loses, with the other members of its gang.

    A task that checkpoints does so once more when it is stopped: it loses no more
    than the time that resuming takes.

    Parameters
    ----------
    plan : Plan
        The job's plan.
    task : Task
        The task whose run would be stopped.
    wall_ms : int
        Unix time, in ms.
    restore_ms : int
        Time that resuming from a checkpoint takes, in ms.
    """
    step = plan.job.steps[task.name.step]
    lost_ms = max(wall_ms - task.placed_ms, 0)
    if step.saves:
        lost_ms = min(lost_ms, restore_ms)
    members = len(plan.tasks[task.name.step]) if step.gang else 1
    return task_weight(step) * members * lost_ms / MS_PER_SECOND


def lost_by_end(plan: Plan, task: Task, how: RunEnd, wall_ms: int) -> float:
    """Return what one run has lost by the way that it ended."""
    step = plan.job.steps[task.name.step]
    if how is RunEnd.DONE or (how is RunEnd.STOPPED and step.saves):
        return 0.0
    since_ms = max(task.placed_ms, task.checkpoint_ms)
    return task_weight(step) * max(wall_ms - since_ms, 0) / MS_PER_SECOND
