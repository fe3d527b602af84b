"""Plans of jobs: loading them from the log and applying placements and run ends."""

from collections.abc import Iterable

from kingcuppost.batch.systems.end_causes import (
    JOB_END_CAUSES,
    cause_for_members,
    cause_of_end,
    name_origin,
)
from kingcuppost.batch.systems.gang_checkpoints import (
    load_gang_checkpoint,
    newest_checkpoint,
    store_gang_checkpoint,
)
from kingcuppost.batch.systems.plan_parts import (
    iter_tasks,
    make_progress,
    mark_task_changed,
)
from kingcuppost.batch.systems.task_phases import (
    add_plan,
    change_phase,
    mark_stopping,
    remove_plan,
)
from kingcuppost.batch.tables.end_cause import CauseKind, EndCause
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import (
    ENDED_STATES,
    Job,
    JobState,
    MinionIncarnation,
    ProgressParts,
    RunEnd,
    TaskName,
    TaskPhase,
    TaskProgress,
)
from kingcuppost.batch.tables.plan import Plan, PlanPhase
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.world import BatchWorld, Schedule

__all__ = [
    "adopt_job",
    "apply_run_end",
    "find_task",
    "iter_tasks",
    "load_plan",
    "make_progress",
    "mark_begun",
    "mark_plan_changed",
    "mark_unwritten",
    "place_task",
    "request_run_stop",
    "request_stop",
    "request_stops",
]

OCCURRENCE = 0  # the same for all tasks, since repeated jobs are not supported
AVOID_MS = 5_000  # time for which a failed task waits for other minions


def load_plan(job: Job, parts: ProgressParts | None = None) -> Plan:
    """Return the plan of a job in the state of its newest progress records.

    The rows of `parts` are newer than those of the job's progress record.
    """
    tasks = [
        [Task(TaskName(job.id, OCCURRENCE, step, index)) for index in range(spec.count)]
        for step, spec in enumerate(job.steps)
    ]
    starts: dict[TaskName, str] = {}
    if job.progress is not None:
        _load_rows(tasks, job.progress.tasks, starts)
    if parts is not None:
        for rows in parts.rows.values():
            _load_rows(tasks, rows, starts)
    plan = Plan(job, tasks, state=job.state, begun=job.begun)
    _load_gang_checkpoints(plan, starts)
    if job.state in ENDED_STATES:
        plan.phase = _phase_after_end(plan)
    return plan


def _load_gang_checkpoints(plan: Plan, starts: dict[TaskName, str]) -> None:
    """Take the newest checkpoints of gangs from their members, as they were loaded.

    The members of placed runs then have what these start from, by task in `starts` if
    that is not the newest.
    """
    for step, spec in enumerate(plan.job.steps):
        if not spec.gang:
            continue
        members = plan.tasks[step]
        load_gang_checkpoint(plan, step, (member.checkpoint for member in members))
        for member in members:
            member.checkpoint = starts.get(member.name, member.checkpoint)


def _phase_after_end(plan: Plan) -> PlanPhase:
    """Return the phase of the plan of a job that has ended."""
    is_running = plan.phase_counts[TaskPhase.PLACED] > 0
    return PlanPhase.CLOSING if is_running else PlanPhase.OVER


def _load_rows(
    tasks: list[list[Task]],
    rows: Iterable[TaskProgress],
    starts: dict[TaskName, str],
) -> None:
    for row in rows:
        task = tasks[row.step][row.index]
        starts.pop(task.name, None)
        if row.started_from is not None:
            starts[task.name] = row.started_from
        task.phase = row.phase
        task.run = row.run
        task.failures = row.failures
        task.checkpoint = row.checkpoint
        if row.phase is TaskPhase.PLACED:
            task.incarnation = MinionIncarnation(row.minion, row.born_ms)
            task.sidecar = row.sidecar
            task.placed_ms = row.placed_ms
        else:
            task.incarnation = None
            task.sidecar = ""
            task.placed_ms = 0


def mark_plan_changed(world: BatchWorld, plan: Plan) -> None:
    """Mark a plan as different from its newest record; decisions depend on it."""
    mark_unwritten(world, plan)
    world.schedule.inputs_changed = True


def mark_unwritten(world: BatchWorld, plan: Plan) -> None:
    """Mark a plan as different from its newest record; no decision depends on it."""
    plan.version += 1
    world.schedule.unwritten_jobs[plan.job.id] = None


def mark_begun(world: BatchWorld, plan: Plan) -> None:
    """Note that a minion has begun a run of a job; no decision depends on it."""
    if plan.begun:
        return
    plan.begun = True
    if plan.phase is PlanPhase.OPEN:
        plan.state = JobState.RUNNING
    mark_unwritten(world, plan)


def adopt_job(world: BatchWorld, job_id: str) -> None:
    """Create, end or drop the plan of a job that was added, cancelled or removed."""
    schedule = world.schedule
    job = world.agreed.jobs.get(job_id)
    plan = schedule.plans.get(job_id)
    if job is None:
        remove_plan(schedule, job_id)
        return
    if plan is None:
        plan = load_plan(job, world.agreed.progress_parts.get(job_id))
        add_plan(schedule, plan)
        schedule.added_plans[job_id] = None
        _repeat_stops(world, plan)
    schedule.inputs_changed = True
    if job.cancelled and plan.phase is PlanPhase.OPEN:
        end_job(world, plan, JobState.CANCELLED)


def _repeat_stops(world: BatchWorld, plan: Plan) -> None:
    """Request again the stops that an earlier term may not have completed.

    They concern the runs of ended jobs, and of gangs with waiting members.
    """
    if plan.phase is PlanPhase.CLOSING:
        request_stops(world, plan, EndCause(JOB_END_CAUSES[plan.state]))
    for index, spec in enumerate(plan.job.steps):
        if spec.gang and plan.step_progress[index].waiting:
            request_stops(world, plan, EndCause(CauseKind.EARLIER_HOLDER), index)


def end_job(world: BatchWorld, plan: Plan, state: JobState) -> None:
    """End a job and request the stop of its runs."""
    plan.state = state
    request_stops(world, plan, EndCause(JOB_END_CAUSES[state]))
    plan.phase = _phase_after_end(plan)
    world.note("job", "A job ends.", job=plan.job.id, state=state)
    mark_plan_changed(world, plan)


def request_stop(world: BatchWorld, plan: Plan, task: Task, cause: EndCause) -> None:
    """Request the stop of a task's run, if it has one; the first cause is kept."""
    if task.phase is TaskPhase.PLACED:
        if not task.stopping:
            task.stop_requested_ms = world.clock.now_ms()
            task.stop_cause = cause
        mark_stopping(world.schedule, plan, task)
        world.schedule.pending_runs[task.name] = (plan, task)


def request_run_stop(
    world: BatchWorld, plan: Plan, task: Task, cause: EndCause
) -> None:
    """Request the stop of a task's run, with its gang if it belongs to one."""
    if plan.job.steps[task.name.step].gang:
        request_stops(world, plan, cause, task.name.step)
    else:
        request_stop(world, plan, task, cause)


def request_stops(
    world: BatchWorld, plan: Plan, cause: EndCause, step: int | None = None
) -> None:
    """Request the stop of all runs of a job, or of one step."""
    for task in iter_tasks(plan) if step is None else plan.tasks[step]:
        request_stop(world, plan, task, cause)


def find_task(world: BatchWorld, name: TaskName) -> tuple[Plan, Task] | None:
    """Return a task and its plan, or None if there is no such task."""
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
    """Assign a task to a minion; its run starts once the plan is in the log."""
    world.schedule.pending_runs[task.name] = (plan, task)
    task.placed_ms = world.clock.wall_ms()  # the run's expected end counts from it
    change_phase(world.schedule, plan, task, TaskPhase.PLACED, minion.incarnation)
    task.run = run
    task.sidecar = minion.sidecar
    task.plan_version = plan.version
    task.checkpoint = newest_checkpoint(plan, task)
    task.listed_checkpoint = ""
    task.start_sent_ms = None
    task.reported_ms = None
    task.confirmed = False
    task.running_since_ms = None
    task.stop_sent_ms = None
    task.stop_cause = None
    task.was_lost = False
    task.reserved_incarnation = None


def apply_run_end(
    world: BatchWorld, plan: Plan, task: Task, run_end: RunEnd, checkpoint: str
) -> None:
    """Apply the confirmed end of a task's current run to its plan."""
    incarnation, was_stopping = task.incarnation, task.stopping
    cause, requested = cause_of_end(task, run_end), task.stop_cause
    is_counted = False
    change_phase(world.schedule, plan, task, TaskPhase.WAITING)
    if checkpoint:
        _store_checkpoint(plan, task, checkpoint, world.clock.now_ms())
    if run_end is RunEnd.DONE:
        _mark_done(world.schedule, plan, task)
    elif run_end is RunEnd.FAILED:
        is_counted = _count_failure(plan, task, incarnation, world.clock.now_ms())
    is_gang = plan.job.steps[task.name.step].gang
    if is_gang and run_end is not RunEnd.DONE and not was_stopping:
        # else the first member that ended has had the stop of all requested
        request_stops(world, plan, cause_for_members(task, cause), task.name.step)
    elif is_gang and run_end is not RunEnd.DONE and cause != requested:
        name_origin(plan.tasks[task.name.step], cause_for_members(task, cause))
    _update_job_outcome(world, plan, task, is_counted)
    mark_plan_changed(world, plan)


def _store_checkpoint(plan: Plan, task: Task, checkpoint: str, now_ms: int) -> None:
    """Store the checkpoint that a run ended with, for its whole gang if it has one.

    A member that has saved none since its start, or since its newest listing, does not
    set the gang back to it.
    """
    step = task.name.step
    if not plan.job.steps[step].gang:
        task.checkpoint = checkpoint
        return
    if checkpoint in (task.checkpoint, task.listed_checkpoint):
        return
    task.listed_checkpoint = checkpoint
    store_gang_checkpoint(plan, step, checkpoint, now_ms)
    for member in plan.tasks[step]:
        mark_task_changed(plan, member)


def _mark_done(schedule: Schedule, plan: Plan, task: Task) -> None:
    """Mark a task as done, with all members if it belongs to a gang."""
    is_gang = plan.job.steps[task.name.step].gang
    for member in plan.tasks[task.name.step] if is_gang else [task]:
        change_phase(schedule, plan, member, TaskPhase.DONE)


def _count_failure(
    plan: Plan, task: Task, incarnation: MinionIncarnation | None, now_ms: int
) -> bool:
    """Count a failed run; a gang counts each run once, at its first member.

    Returns
    -------
    bool
        Whether the run had not been counted before.
    """
    gang = plan.job.steps[task.name.step].gang
    members = plan.tasks[task.name.step] if gang else [task]
    first_member = members[0]
    if gang and task.run <= first_member.last_failed_run:
        return False
    first_member.last_failed_run = task.run
    first_member.failures += 1
    mark_task_changed(plan, first_member)
    if incarnation is not None:
        for member in members:
            member.avoided_minions.add(incarnation.minion)
            member.avoid_until_ms = now_ms + AVOID_MS
    return True


def _update_job_outcome(
    world: BatchWorld, plan: Plan, task: Task, has_failed: bool
) -> None:
    """End the job once all tasks are done or `task` has failed too often.

    A job that has ended is over once none of its runs is left.

    Parameters
    ----------
    has_failed : bool
        Whether a failure of `task` was just counted.
    """
    if plan.phase is PlanPhase.CLOSING:
        plan.phase = _phase_after_end(plan)
    elif plan.phase is PlanPhase.OPEN:
        counts = plan.phase_counts
        if not counts[TaskPhase.WAITING] and not counts[TaskPhase.PLACED]:
            end_job(world, plan, JobState.COMPLETED)
        elif has_failed and (
            _count_failures(plan, task) >= plan.job.policy.most_failures
        ):
            end_job(world, plan, JobState.FAILED)


def _count_failures(plan: Plan, task: Task) -> int:
    """Return the number of failed runs of a task; of a gang, that of its members."""
    members = plan.tasks[task.name.step]
    is_gang = plan.job.steps[task.name.step].gang
    return max(member.failures for member in (members if is_gang else [task]))
