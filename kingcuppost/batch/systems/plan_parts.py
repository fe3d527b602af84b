"""Parts of the plan of a wide job, each of which is a record of its own.

A change of one task is written with the part that has the task, so that its cost does
not grow with the number of tasks, and no record exceeds what the log takes. The plan of
a job that is not wider than one part is written whole.
"""

from bisect import bisect_right
from collections.abc import Iterator
from itertools import islice

from kingcuppost.batch.systems.gang_checkpoints import newest_checkpoint, started_from
from kingcuppost.batch.tables.job import Progress, StepSpec, TaskPhase, TaskProgress
from kingcuppost.batch.tables.messages import ProgressPartRecord
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.task import Task

__all__ = [
    "count_parts",
    "is_wide",
    "iter_tasks",
    "make_part_record",
    "make_progress",
    "mark_task_changed",
    "take_changed_parts",
]

PART_TASKS = 10


def count_parts(steps: tuple[StepSpec, ...]) -> int:
    """Return the number of parts of a job's plan."""
    return -(-sum(step.count for step in steps) // PART_TASKS)


def is_wide(plan: Plan) -> bool:
    """Return whether a plan has several parts."""
    return sum(plan.phase_counts.values()) > PART_TASKS


def iter_tasks(plan: Plan) -> Iterator[Task]:
    """Yield every task of a plan."""
    for step in plan.tasks:
        yield from step


def mark_task_changed(plan: Plan, task: Task) -> None:
    """Mark the part of a task as different from its newest record."""
    number = plan.step_starts[task.name.step] + task.name.index
    plan.changed_parts[number // PART_TASKS] = None


def take_changed_parts(plan: Plan, max_parts: int) -> tuple[int, ...]:
    """Return up to `max_parts` changed parts, which count as unchanged from now on.

    If only the state of the job has changed, it is the first part, since each part has
    that state.
    """
    parts = tuple(islice(plan.changed_parts, max_parts)) or (0,)
    for part in parts:
        plan.changed_parts.pop(part, None)
    return parts


def make_part_record(plan: Plan, part: int) -> ProgressPartRecord:
    """Return the next record of a part of a plan."""
    progress = Progress(
        plan.state, plan.begun, _make_rows(plan, _iter_part(plan, part))
    )
    return ProgressPartRecord(plan.job.id, part, progress)


def _iter_part(plan: Plan, part: int) -> Iterator[Task]:
    """Yield the tasks of a part, which may be of several steps."""
    number = part * PART_TASKS
    step = bisect_right(plan.step_starts, number) - 1
    missing = PART_TASKS
    while missing and step < len(plan.tasks):
        index = number - plan.step_starts[step]
        tasks = plan.tasks[step][index : index + missing]
        yield from tasks
        missing -= len(tasks)
        number += len(tasks)
        step += 1


def make_progress(plan: Plan) -> Progress:
    """Return the content of the next progress record of a whole plan."""
    return Progress(plan.state, plan.begun, _make_rows(plan, iter_tasks(plan)))


def _make_rows(plan: Plan, tasks: Iterator[Task]) -> tuple[TaskProgress, ...]:
    """Return the progress of those tasks that ever had a run."""
    return tuple(_make_row(plan, task) for task in tasks if task.run)


def _make_row(plan: Plan, task: Task) -> TaskProgress:
    placed_at = task.incarnation
    return TaskProgress(
        task.name.step,
        task.name.index,
        task.phase,
        task.run,
        task.failures,
        placed_at.minion if placed_at else "",
        placed_at.born_ms if placed_at else 0,
        task.sidecar if placed_at else "",
        task.placed_ms if placed_at else 0,
        "" if task.phase is TaskPhase.DONE else newest_checkpoint(plan, task),
        started_from(plan, task),
    )
