"""Changes of a task's phase, and the rows that follow from it.

The scheduler reads how many tasks of a plan wait, and which runs a minion holds, in
every decision. Both are kept up to date with each change of a phase, so that a decision
does not look at every task of every job.
"""

from kingcuppost.batch.systems.overload.running_work import add_run, remove_run
from kingcuppost.batch.systems.plan_parts import mark_task_changed
from kingcuppost.batch.tables.fleet import MinionLoad
from kingcuppost.batch.tables.job import MinionIncarnation, StepSpec, TaskPhase
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.world import Schedule

__all__ = [
    "add_plan",
    "change_phase",
    "mark_stopping",
    "move_run",
    "placed_runs",
    "remove_plan",
]


def add_plan(schedule: Schedule, plan: Plan) -> None:
    """Add a plan to the schedule, with its runs."""
    schedule.plans[plan.job.id] = plan
    for step in plan.tasks:
        for task in step:
            if task.phase is TaskPhase.PLACED:
                _add_run(schedule, plan, task)


def remove_plan(schedule: Schedule, job_id: str) -> None:
    """Remove a plan from the schedule, with its runs; ignore an unknown one."""
    plan = schedule.plans.pop(job_id, None)
    if plan is None:
        return
    for step in plan.tasks:
        for task in step:
            if task.phase is TaskPhase.PLACED:
                _remove_run(schedule, plan, task)


def change_phase(
    schedule: Schedule,
    plan: Plan,
    task: Task,
    phase: TaskPhase,
    incarnation: MinionIncarnation | None = None,
) -> None:
    """Change the phase of a task; its run is placed at `incarnation`, if at any."""
    if task.phase is TaskPhase.PLACED:
        _remove_run(schedule, plan, task)
    mark_task_changed(plan, task)
    _count_phase(plan, task, -1)
    task.phase = phase
    _count_phase(plan, task, 1)
    _update_ready(plan, task.name.step)
    if phase is TaskPhase.DONE and not plan.step_progress[task.name.step].not_done:
        _complete_step(plan, task.name.step)
    task.incarnation = incarnation
    task.stopping = False
    if phase is TaskPhase.PLACED:
        _add_run(schedule, plan, task)


def _count_phase(plan: Plan, task: Task, change: int) -> None:
    """Add a task to the counts by phase, or remove it if `change` is -1."""
    progress = plan.step_progress[task.name.step]
    plan.phase_counts[task.phase] += change
    if task.phase is TaskPhase.WAITING:
        progress.waiting += change
    if task.phase is not TaskPhase.DONE:
        progress.not_done += change


def _update_ready(plan: Plan, step: int) -> None:
    """Update whether a step is ready."""
    if plan.step_progress[step].is_ready:
        plan.ready_steps[step] = None
    else:
        plan.ready_steps.pop(step, None)


def _complete_step(plan: Plan, step: int) -> None:
    """Let the steps that depend on a step whose tasks are all done wait no more."""
    for dependent in plan.step_progress[step].dependents:
        plan.step_progress[dependent].open_needs -= 1
        _update_ready(plan, dependent)


def mark_stopping(schedule: Schedule, plan: Plan, task: Task) -> None:
    """Mark a placed run as one that is to be stopped."""
    if task.stopping:
        return
    task.stopping = True
    load = schedule.loads[task.incarnation]
    _add_demand(load.stopping, plan.job.steps[task.name.step], 1)


def move_run(
    schedule: Schedule, plan: Plan, task: Task, incarnation: MinionIncarnation
) -> None:
    """Place a run at another incarnation; one that is to be stopped remains so."""
    is_stopping = task.stopping
    change_phase(schedule, plan, task, TaskPhase.PLACED, incarnation)
    if is_stopping:
        mark_stopping(schedule, plan, task)
    task.stop_sent_ms = None


def placed_runs(
    schedule: Schedule, incarnation: MinionIncarnation
) -> list[tuple[Plan, Task]]:
    """Return the runs that are placed at a minion incarnation, with their plans."""
    load = schedule.loads.get(incarnation)
    return list(load.runs.values()) if load else []


def _add_run(schedule: Schedule, plan: Plan, task: Task) -> None:
    load = schedule.loads.setdefault(task.incarnation, MinionLoad())
    load.runs[task.name] = (plan, task)
    add_run(schedule.running_work, plan, task)
    step = plan.job.steps[task.name.step]
    _add_demand(load.used, step, 1)
    if task.stopping:
        _add_demand(load.stopping, step, 1)


def _remove_run(schedule: Schedule, plan: Plan, task: Task) -> None:
    load = schedule.loads[task.incarnation]
    del load.runs[task.name]
    remove_run(schedule.running_work, plan, task)
    if not load.runs:
        del schedule.loads[task.incarnation]
        return
    step = plan.job.steps[task.name.step]
    _add_demand(load.used, step, -1)
    if task.stopping:
        _add_demand(load.stopping, step, -1)


def _add_demand(resources: Resources, step: StepSpec, count: int) -> None:
    """Add the demand of `count` tasks of a step to `resources` in place."""
    resources.cpu_millis += count * step.cpu_millis
    resources.memory_mb += count * step.memory_mb
    resources.accelerators += count * step.accelerators
