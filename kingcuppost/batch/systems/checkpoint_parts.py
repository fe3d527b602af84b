"""Marking of the parts of plans whose tasks may have new checkpoints."""

from kingcuppost.batch.systems.gang_checkpoints import newest_checkpoint
from kingcuppost.batch.systems.plan_parts import iter_tasks, mark_task_changed
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.term_opening import is_scheduling
from kingcuppost.batch.tables.job import TaskPhase
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role

__all__ = ["mark_checkpoint_parts"]


@system(Phase.MEMBERSHIP, (Role.ENTRY,), order=75)
def mark_checkpoint_parts(world: BatchWorld, now_ms: int) -> None:
    """Mark the parts with running tasks when new checkpoints are due to be written.

    The monitor of runs marks their plans in the same tick. Most running tasks of a job
    that saves checkpoints have a new one each time.
    """
    schedule = world.schedule
    due_ms = max(schedule.check_runs_at_ms, schedule.write_checkpoints_at_ms)
    if not is_scheduling(world) or now_ms < due_ms:
        return
    for plan in schedule.plans.values():
        if not plan.has_new_checkpoint:
            continue
        for task in iter_tasks(plan):
            if task.phase is TaskPhase.PLACED and newest_checkpoint(plan, task):
                mark_task_changed(plan, task)
