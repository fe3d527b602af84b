"""Handling of sidecars' reports: minions, their runs, and how runs ended."""

from heapq import heappush

from kingcuppost.batch.systems.gang_checkpoints import note_listed_checkpoint
from kingcuppost.batch.systems.holder_election import (
    make_redirect,
    may_extend_leases,
)
from kingcuppost.batch.systems.minion_leases import extend_lease
from kingcuppost.batch.systems.minion_rows import find_silent_minion, update_minion
from kingcuppost.batch.systems.plans import apply_run_end, find_task, mark_begun
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.run_end_rule import extends_lease
from kingcuppost.batch.systems.run_ends import (
    MINION_ENDED,
    NEW_INCARNATION,
    end_incarnation_runs,
    record_run_end,
    settle_earlier_incarnations,
)
from kingcuppost.batch.systems.speeds import update_speed
from kingcuppost.batch.systems.term_opening import is_scheduling
from kingcuppost.batch.systems.unstarted_runs import avoid_after_refusal
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import MinionIncarnation, RunEnd, TaskName, TaskPhase
from kingcuppost.batch.tables.messages import (
    EndedRun,
    RefusedRun,
    RunningRun,
    SyncCall,
    SyncReply,
)
from kingcuppost.batch.tables.plan import Plan, PlanPhase
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.world import BatchWorld, OrphanRun, PendingSync
from kingcuppost.tables.identity import Role

__all__ = ["handle_sidecar_reports"]

FULL_PERCENT = 100


@system(Phase.MEMBERSHIP, (Role.ENTRY,), order=60)
def handle_sidecar_reports(world: BatchWorld, now_ms: int) -> None:
    """Handle reports; a newer report of a sidecar ends the wait of its older one."""
    for call in world.inbox.take(SyncCall):
        if not is_scheduling(world) or not may_extend_leases(world, now_ms):
            world.outbox.put(make_redirect(world, call.exchange_id))
            continue
        older = world.schedule.pending_syncs.pop(call.sidecar, None)
        if older is not None:
            world.outbox.put(SyncReply(older.call.exchange_id, world.schedule.term))
        _handle_report(world, call, now_ms)
        _add_pending_sync(world, call, now_ms + call.wait_ms)


def _add_pending_sync(world: BatchWorld, call: SyncCall, until_ms: int) -> None:
    """Let a report wait until there is an answer, but not after `until_ms`."""
    schedule = world.schedule
    schedule.pending_syncs[call.sidecar] = PendingSync(call, until_ms)
    heappush(schedule.sync_ends, (until_ms, call.sidecar))
    schedule.reported_results.pop(call.sidecar, None)
    if call.ended or call.refused:
        schedule.reported_results[call.sidecar] = None
    world.deadlines.add(until_ms)


def _handle_report(world: BatchWorld, call: SyncCall, now_ms: int) -> None:
    """Update a reported minion and its runs, or remove a minion that has left.

    Reports of an earlier incarnation are ignored.
    """
    schedule = world.schedule
    old = schedule.minions.get(call.sidecar)
    if call.minion is None:
        _remove_minion(world, call, old, now_ms)
        return
    if old is not None and old.incarnation != call.minion.incarnation:
        if call.minion.incarnation.born_ms < old.incarnation.born_ms:
            return
        old = None
    if extends_lease(call.minion):
        settle_earlier_incarnations(world, call)
        minion = update_minion(world, call, old, now_ms)
        extend_lease(world, minion.incarnation, call.sidecar, now_ms)
    else:
        minion = find_silent_minion(world, call, old)
    if minion is not None and call.minion.listed:
        if extends_lease(call.minion) and call.minion.lists_are_whole:
            minion.listed_ms = now_ms
        _handle_run_lists(world, call, minion, now_ms)


def _remove_minion(
    world: BatchWorld, call: SyncCall, minion: MinionRow | None, now_ms: int
) -> None:
    """Remove a minion that has left, and end its runs if it has certainly ended.

    Otherwise its runs end when its lease expires. Ends that it had listed come first.
    """
    schedule = world.schedule
    if call.ended_minion is not None:
        row = minion
        if row is not None and row.incarnation != call.ended_minion:
            row = None
        for ended in call.ended:
            _handle_run_end(world, call.ended_minion, row, ended, now_ms)
        end_incarnation_runs(world, call.ended_minion, MINION_ENDED)
    if minion is not None:
        world.note("minion", "A minion has left.", minion=minion.incarnation.minion)
        schedule.minions.delete(call.sidecar)
        schedule.inputs_changed = True


def _handle_run_lists(
    world: BatchWorld, call: SyncCall, minion: MinionRow, now_ms: int
) -> None:
    orphans = world.schedule.orphans.get(call.sidecar, {})
    present = {(str(running.task), running.run) for running in call.running}
    for key in [key for key in orphans if key not in present]:
        del orphans[key]
    if not orphans:
        world.schedule.orphans.pop(call.sidecar, None)
    for running in call.running:
        _handle_running_run(world, minion, running, call.lists_age_ms, now_ms)
    reported_ends = world.schedule.reported_ends.setdefault(call.sidecar, {})
    listed = {ended.number for ended in call.ended}
    for number in [number for number in reported_ends if number not in listed]:
        del reported_ends[number]
    for ended in call.ended:
        if ended.number not in reported_ends:
            reported_ends[ended.number] = _handle_run_end(
                world, minion.incarnation, minion, ended, now_ms
            )
    for refused in call.refused:
        _handle_refused_run(world, minion, refused, now_ms)


def _find_current_run(
    world: BatchWorld, incarnation: MinionIncarnation, name: TaskName, run: int
) -> tuple[Plan, Task] | None:
    """Return the task whose current run this is, with its plan, or None."""
    found = find_task(world, name)
    if found is None:
        return None
    task = found[1]
    is_current = task.phase is TaskPhase.PLACED and task.run == run
    return found if is_current and task.incarnation == incarnation else None


def _handle_running_run(
    world: BatchWorld,
    minion: MinionRow,
    running: RunningRun,
    age_ms: int,
    now_ms: int,
) -> None:
    """Update the task of a reported run, or stop the run if it is no task's.

    The minion listed the run `age_ms` ago, or has accepted its start since then.
    """
    found = _find_current_run(world, minion.incarnation, running.task, running.run)
    if found is None and _has_ended_elsewhere(world, running):
        return
    if found is None:
        _stop_orphan_run(world, minion, running)
        return
    plan, task = found
    mark_begun(world, plan)
    placed_ago_ms = max(world.clock.wall_ms() - task.placed_ms, 0)
    read_ms = now_ms - min(age_ms, placed_ago_ms)
    if task.running_since_ms is None:
        task.running_since_ms = read_ms
        task.initial_percent = running.percent
        task.percent_changed_ms = read_ms
    task.confirmed = True
    task.percent_read_ms = read_ms
    task.reported_ms = now_ms
    if running.percent != task.percent:
        task.percent = running.percent
        task.percent_changed_ms = read_ms
    _update_checkpoint(world, plan, task, running.checkpoint, read_ms)


def _update_checkpoint(
    world: BatchWorld, plan: Plan, task: Task, checkpoint: str, read_ms: int
) -> None:
    """Keep the checkpoint of a reported run, or of its gang, if it is a new one."""
    if plan.job.steps[task.name.step].gang:
        if not note_listed_checkpoint(plan, task, checkpoint, read_ms):
            return
    elif checkpoint and checkpoint != task.checkpoint:
        task.checkpoint = checkpoint
    else:
        return
    task.checkpoint_ms = world.clock.wall_ms()
    plan.has_new_checkpoint = True


def _has_ended_elsewhere(world: BatchWorld, running: RunningRun) -> bool:
    """Return whether another member has already reported the gang's run as done."""
    found = find_task(world, running.task)
    if found is None:
        return False
    task = found[1]
    return task.phase is TaskPhase.DONE and task.run == running.run


def _stop_orphan_run(world: BatchWorld, minion: MinionRow, running: RunningRun) -> None:
    """Request the stop of a run that is not the current run of any task."""
    orphans = world.schedule.orphans.setdefault(minion.sidecar, {})
    key = (str(running.task), running.run)
    if key not in orphans:
        orphans[key] = OrphanRun(running)
        world.note("run", "An orphan run is stopped.", task=key[0], run=key[1])


def _handle_run_end(
    world: BatchWorld,
    incarnation: MinionIncarnation,
    minion: MinionRow | None,
    ended: EndedRun,
    now_ms: int,
) -> tuple[str, int]:
    """Apply the end of a run.

    Parameters
    ----------
    minion : MinionRow or None
        Row of the minion; None if it ended before this term has heard of it.

    Returns
    -------
    tuple of str and int
        Job and version of its plan that must be in the log before the sidecar may
        forget the end.
    """
    found = _find_current_run(world, incarnation, ended.task, ended.run)
    if found is None and ended.run_end is RunEnd.DONE:
        found = _find_lost_run(world, ended)
    if found is None:
        plan = world.schedule.plans.get(ended.task.job)
        return ended.task.job, plan.version if plan else 0
    plan, task = found
    if minion is not None:
        _update_reliability(world, minion, plan, task, ended, now_ms)
    mark_begun(world, plan)
    record_run_end(world, plan, task, ended.run_end)
    apply_run_end(world, plan, task, ended.run_end, ended.checkpoint)
    return plan.job.id, plan.version


def _find_lost_run(world: BatchWorld, ended: EndedRun) -> tuple[Plan, Task] | None:
    """Return the waiting task of a run that counted as lost but is done, or None.

    The task is returned with its plan.
    """
    found = find_task(world, ended.task)
    if found is None:
        return None
    plan, task = found
    is_newest = task.phase is TaskPhase.WAITING and task.run == ended.run
    return found if is_newest and plan.phase is PlanPhase.OPEN else None


def _update_reliability(
    world: BatchWorld,
    minion: MinionRow,
    plan: Plan,
    task: Task,
    ended: EndedRun,
    now_ms: int,
) -> None:
    """Update a minion's speed and reliability from the end of a run."""
    minion.unstarted_runs = 0
    if ended.run_end is RunEnd.DONE:
        if not plan.job.steps[task.name.step].gang:
            # not for gangs: a member may have waited for the others after its own work
            task.percent = FULL_PERCENT
            task.percent_changed_ms = now_ms
        update_speed(world, minion, plan, task)
        minion.failures = 0
        minion.failed_jobs.clear()
        minion.has_completed_run = True
    elif ended.run_end is RunEnd.FAILED:
        minion.failures += 1
        minion.failed_jobs.add(plan.job.id)
        minion.failed_ms = now_ms


def _handle_refused_run(
    world: BatchWorld, minion: MinionRow, refused: RefusedRun, now_ms: int
) -> None:
    """Withdraw a run that never began, or that was lost with an earlier incarnation.

    Its minion is left out for a while, unless the run was to be stopped anyway.
    """
    found = _find_current_run(world, minion.incarnation, refused.task, refused.run)
    if found is None:
        return
    plan, task = found
    avoid_after_refusal(world, minion, plan, task, refused.reason, now_ms)
    run_end, reason = RunEnd.REFUSED, refused.reason
    if task.was_lost:
        run_end, reason = RunEnd.LOST, NEW_INCARNATION
    record_run_end(world, plan, task, run_end, reason)
    apply_run_end(world, plan, task, run_end, "")
