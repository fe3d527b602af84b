"""Plans of jobs: loading them, and how runs and their ends change them."""

from collections.abc import Iterator

from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import (
    Job,
    JobState,
    MinionIncarnation,
    Plan,
    PlanState,
    Progress,
    RunEnd,
    Task,
    TaskName,
    TaskPhase,
    TaskProgress,
)
from kingcuppost.batch.tables.world import BatchWorld

__all__ = [
    "all_tasks",
    "apply_end",
    "ask_stop",
    "change_plan",
    "find_task",
    "load_plan",
    "place_task",
    "progress_of",
    "stop_runs",
    "take_up",
]

OCCURRENCE = 0
AVOID_MS = 5_000
ENDED = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


def all_tasks(plan: Plan) -> Iterator[Task]:
    """Yield every task of a plan."""
    for step in plan.tasks:
        yield from step


def load_plan(job: Job) -> Plan:
    """Return the plan of a job, as its newest progress record leaves it."""
    tasks = [
        [Task(TaskName(job.id, OCCURRENCE, step, index)) for index in range(row.count)]
        for step, row in enumerate(job.steps)
    ]
    plan = Plan(job, tasks)
    if job.progress is not None:
        _load_progress(plan, job.progress)
    if job.state in ENDED:
        is_running = any(task.phase is TaskPhase.PLACED for task in all_tasks(plan))
        plan.phase = PlanState.CLOSING if is_running else PlanState.OVER
    return plan


def _load_progress(plan: Plan, progress: Progress) -> None:
    plan.state = progress.state
    plan.begun = progress.begun
    for row in progress.tasks:
        task = plan.tasks[row.step][row.index]
        task.phase = row.phase
        task.run = row.run
        task.failures = row.failures
        task.checkpoint = row.checkpoint
        if row.phase is TaskPhase.PLACED:
            task.incarnation = MinionIncarnation(row.minion, row.born_ms)
            task.sidecar = row.sidecar
            task.placed_ms = row.placed_ms


def progress_of(plan: Plan) -> Progress:
    """Return what the next progress record says of a plan."""
    rows = tuple(
        TaskProgress(
            task.name.step,
            task.name.index,
            task.phase,
            task.run,
            task.failures,
            task.incarnation.minion if task.incarnation else "",
            task.incarnation.born_ms if task.incarnation else 0,
            task.sidecar if task.incarnation else "",
            task.placed_ms if task.incarnation else 0,
            "" if task.phase is TaskPhase.DONE else task.checkpoint,
        )
        for task in all_tasks(plan)
        if task.run
    )
    return Progress(plan.state, plan.begun, rows)


def change_plan(world: BatchWorld, plan: Plan) -> None:
    """Note that a plan differs from its newest record."""
    plan.version += 1
    world.schedule.dirty[plan.job.id] = None
    world.schedule.changed = True


def take_up(world: BatchWorld, job_id: str) -> None:
    """Make the plan of a new job, or stop what a cancelled one runs."""
    schedule = world.schedule
    job = world.agreed.jobs.get(job_id)
    plan = schedule.plans.get(job_id)
    if job is None:
        schedule.plans.pop(job_id, None)
        return
    if plan is None:
        plan = schedule.plans[job_id] = load_plan(job)
        _stop_leftovers(world, plan)
    schedule.changed = True
    if job.cancelled and plan.phase is PlanState.OPEN:
        end_plan(world, plan, JobState.CANCELLED)


def _stop_leftovers(world: BatchWorld, plan: Plan) -> None:
    """Stop what an earlier term meant to stop: ended jobs and parted gangs."""
    if plan.phase is PlanState.CLOSING:
        stop_runs(world, plan)
    for index, spec in enumerate(plan.job.steps):
        phases = {task.phase for task in plan.tasks[index]}
        if spec.gang and TaskPhase.WAITING in phases:
            stop_runs(world, plan, index)


def end_plan(world: BatchWorld, plan: Plan, state: JobState) -> None:
    """End a job; what still runs is stopped."""
    plan.state = state
    stop_runs(world, plan)
    is_running = any(task.phase is TaskPhase.PLACED for task in all_tasks(plan))
    plan.phase = PlanState.CLOSING if is_running else PlanState.OVER
    world.note("job", "A job ends.", job=plan.job.id, state=state)
    change_plan(world, plan)


def ask_stop(world: BatchWorld, plan: Plan, task: Task) -> None:
    """Ask for the end of a task's run, if it has one."""
    if task.phase is TaskPhase.PLACED:
        task.stopping = True
        world.schedule.pending_runs[task.name] = (plan, task)


def stop_runs(world: BatchWorld, plan: Plan, step: int | None = None) -> None:
    """Ask for the end of all runs of a job, or of one step."""
    for task in all_tasks(plan):
        if step in (None, task.name.step):
            ask_stop(world, plan, task)


def find_task(world: BatchWorld, name: TaskName) -> tuple[Plan, Task] | None:
    """Return a task and its plan, or None if no such task is planned."""
    plan = world.schedule.plans.get(name.job)
    if plan is None or name.step >= len(plan.tasks):
        return None
    step = plan.tasks[name.step]
    if name.index >= len(step):
        return None
    return plan, step[name.index]


def place_task(
    world: BatchWorld, plan: Plan, task: Task, run: int, minion: MinionRow
) -> None:
    """Give a task a run at a minion; it starts once the plan is in the log."""
    world.schedule.pending_runs[task.name] = (plan, task)
    task.phase = TaskPhase.PLACED
    task.run = run
    task.incarnation = minion.incarnation
    task.sidecar = minion.sidecar
    task.placed_ms = world.clock.wall_ms()
    task.version = plan.version
    task.sent_ms = None
    task.confirmed = False
    task.running_since_ms = None
    task.stopping = False
    task.stop_sent_ms = None


def apply_end(
    world: BatchWorld, plan: Plan, task: Task, how: RunEnd, checkpoint: str
) -> None:
    """Take the sure end of a task's present run into its plan."""
    incarnation = task.incarnation
    task.phase = TaskPhase.WAITING
    task.incarnation = None
    task.stopping = False
    if checkpoint:
        _keep_saved(plan, task, checkpoint)
    if how is RunEnd.DONE:
        _done(plan, task)
    elif how is RunEnd.FAILED:
        _failed(plan, task, incarnation, world.clock.now_ms())
    if plan.job.steps[task.name.step].gang and how is not RunEnd.DONE:
        stop_runs(world, plan, task.name.step)
    _judge(world, plan)
    change_plan(world, plan)


def _keep_saved(plan: Plan, task: Task, checkpoint: str) -> None:
    """Keep a checkpoint; one of any member is good for the whole gang."""
    task.checkpoint = checkpoint
    if plan.job.steps[task.name.step].gang:
        for member in plan.tasks[task.name.step]:
            member.checkpoint = checkpoint


def _done(plan: Plan, task: Task) -> None:
    """Finish a task; one end stands for all members of a gang."""
    task.phase = TaskPhase.DONE
    if not plan.job.steps[task.name.step].gang:
        return
    for member in plan.tasks[task.name.step]:
        member.phase = TaskPhase.DONE
        member.incarnation = None


def _failed(
    plan: Plan, task: Task, incarnation: MinionIncarnation | None, now_ms: int
) -> None:
    """Count a failed run; a gang counts a run once, at its first member."""
    gang = plan.job.steps[task.name.step].gang
    members = plan.tasks[task.name.step] if gang else [task]
    counted = members[0]
    if gang and task.run <= counted.last_failed_run:
        return
    counted.last_failed_run = task.run
    counted.failures += 1
    if incarnation is not None:
        for member in members:
            member.avoided_minions.add(incarnation.minion)
            member.avoid_until_ms = now_ms + AVOID_MS


def _judge(world: BatchWorld, plan: Plan) -> None:
    """End the job if all is done or a task has failed too often."""
    tasks = list(all_tasks(plan))
    if plan.phase is PlanState.CLOSING:
        if not any(task.phase is TaskPhase.PLACED for task in tasks):
            plan.phase = PlanState.OVER
    elif plan.phase is PlanState.OPEN:
        if all(task.phase is TaskPhase.DONE for task in tasks):
            end_plan(world, plan, JobState.COMPLETED)
        elif any(task.failures >= plan.job.policy.most_failures for task in tasks):
            end_plan(world, plan, JobState.FAILED)
