"""Reports of sidecars: minions, what runs at them, and how runs ended."""

from kingcuppost.batch.systems.holder_election import has_authority, refer
from kingcuppost.batch.systems.losses import lost_by_end
from kingcuppost.batch.systems.plans import apply_end, find_task, take_up
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.speeds import learn_speed
from kingcuppost.batch.systems.term import is_scheduling, sure_lapse_ms
from kingcuppost.batch.tables.fleet import MinionRow, Speed
from kingcuppost.batch.tables.job import (
    MinionIncarnation,
    Plan,
    PlanState,
    RunEnd,
    Task,
    TaskName,
    TaskPhase,
)
from kingcuppost.batch.tables.messages import (
    EndedRun,
    MinionReport,
    RefusedRun,
    RunningRun,
    SyncCall,
    SyncReply,
)
from kingcuppost.batch.tables.world import BatchWorld, OrphanRun, PendingSync
from kingcuppost.tables.identity import Role

__all__ = ["hear_sidecars", "lose_life", "take_up_jobs"]

REST_MS = 1_000
WHOLE = 100


@system(Phase.INTAKE, (Role.ENTRY,), order=80)
def take_up_jobs(world: BatchWorld, now_ms: int) -> None:
    """Plan what the log has brought since the last tick."""
    schedule = world.schedule
    if not is_scheduling(world):
        return
    for job_id in list(schedule.changed_jobs):
        take_up(world, job_id)
    schedule.changed_jobs.clear()


@system(Phase.MEMBERSHIP, (Role.ENTRY,), order=60)
def hear_sidecars(world: BatchWorld, now_ms: int) -> None:
    """Take reports in; a newer one of the same sidecar ends the wait of an older."""
    for call in world.inbox.take(SyncCall):
        if not is_scheduling(world) or not has_authority(world, now_ms):
            world.outbox.put(refer(world, call.exchange_id))
            continue
        older = world.schedule.pending_syncs.pop(call.sidecar, None)
        if older is not None:
            world.outbox.put(SyncReply(older.call.exchange_id, world.schedule.term))
        _hear(world, call, now_ms)
        until_ms = now_ms + call.wait_ms
        world.schedule.pending_syncs[call.sidecar] = PendingSync(call, until_ms)
        world.deadlines.add(until_ms)


def _hear(world: BatchWorld, call: SyncCall, now_ms: int) -> None:
    schedule = world.schedule
    old = schedule.minions.get(call.sidecar)
    if call.minion is None:
        if old is not None:
            world.note("minion", "A minion is gone.", minion=old.incarnation.minion)
            schedule.minions.delete(call.sidecar)
            schedule.changed = True
        return
    if old is not None and old.incarnation != call.minion.incarnation:
        if call.minion.incarnation.born_ms < old.incarnation.born_ms:
            return
        old = None
    _lose_earlier_lives(world, call.sidecar, call.minion.incarnation)
    row = _minion_of(world, call, old, now_ms)
    sure_ms = now_ms + sure_lapse_ms(world.cfg.bounds.lease_ms)
    schedule.lapse_times_ms[row.incarnation] = sure_ms
    world.deadlines.add(sure_ms)
    if call.minion.listed:
        _take_lists(world, call, row, now_ms)


def _lose_earlier_lives(
    world: BatchWorld, sidecar: str, incarnation: MinionIncarnation
) -> None:
    """End the runs of lives that the minion beside a sidecar had before this one."""
    incarnation_sidecars = world.schedule.incarnation_sidecars
    for earlier, home in list(incarnation_sidecars.items()):
        if home == sidecar and earlier.born_ms < incarnation.born_ms:
            lose_life(world, earlier, "the minion began a new life")
    incarnation_sidecars[incarnation] = sidecar


def _minion_of(
    world: BatchWorld, call: SyncCall, old: MinionRow | None, now_ms: int
) -> MinionRow:
    """Return the row of a reported minion, made or brought up to date."""
    report = call.minion
    if old is None:
        old = _new_minion(world, call, report)
        world.schedule.minions.put(old)
        world.schedule.changed = True
        world.note(
            "minion",
            "A minion is known.",
            minion=report.incarnation.minion,
            sidecar=call.sidecar,
            availability_zone=report.availability_zone,
            rack=old.rack,
        )
    if old.draining != report.draining:
        world.note("minion", "A minion drains.", minion=report.incarnation.minion)
        world.schedule.changed = True
    if old.is_unreachable:
        world.schedule.changed = True
    old.is_unreachable = False
    old.draining = report.draining
    old.remaining_ms = report.remaining_ms
    old.last_report_ms = now_ms
    return old


def _new_minion(world: BatchWorld, call: SyncCall, report: MinionReport) -> MinionRow:
    rack = next((label for label in report.labels if "-" in label), "")
    return MinionRow(
        call.sidecar,
        report.incarnation,
        report.service,
        report.availability_zone,
        rack,
        frozenset(report.labels),
        report.resources,
        speed=world.schedule.speeds.setdefault(call.sidecar, Speed()),
    )


def lose_life(world: BatchWorld, incarnation: MinionIncarnation, reason: str) -> None:
    """End all runs of a life that is over."""
    schedule = world.schedule
    schedule.lapse_times_ms.pop(incarnation, None)
    schedule.incarnation_sidecars.pop(incarnation, None)
    for plan in list(schedule.plans.values()):
        for step in plan.tasks:
            for task in step:
                if task.phase is TaskPhase.PLACED and task.incarnation == incarnation:
                    _note_end(world, plan, task, RunEnd.LOST, reason)
                    apply_end(world, plan, task, RunEnd.LOST, "")


def _note_end(
    world: BatchWorld, plan: Plan, task: Task, how: RunEnd, reason: str = ""
) -> None:
    wall_ms = world.clock.wall_ms()
    lost = lost_by_end(plan, task, how, wall_ms)
    world.tally.add("ends", how)
    world.tally.add("lost_core_seconds", how, amount=round(lost))
    world.note(
        "run",
        "A run ended.",
        task=str(task.name),
        run=task.run,
        how=how,
        minion=task.incarnation.minion if task.incarnation else "",
        reason=reason,
        took_ms=wall_ms - task.placed_ms,
        estimate_ms=plan.job.steps[task.name.step].estimate_ms,
        lost_core_s=round(lost, 1),
    )


def _take_lists(world: BatchWorld, call: SyncCall, row: MinionRow, now_ms: int) -> None:
    orphans = world.schedule.orphans.get(call.sidecar, {})
    present = {(str(running.task), running.run) for running in call.running}
    for key in [key for key in orphans if key not in present]:
        del orphans[key]
    for running in call.running:
        _see_running(world, row, running, now_ms)
    known = world.schedule.reported_ends.setdefault(call.sidecar, {})
    listed = {ended.number for ended in call.ended}
    for number in [number for number in known if number not in listed]:
        del known[number]
    for ended in call.ended:
        if ended.number not in known:
            known[ended.number] = _see_end(world, row, ended, now_ms)
    for refused in call.refused:
        _see_refusal(world, row, refused, now_ms)


def _present(
    world: BatchWorld, incarnation: MinionIncarnation, name: TaskName, run: int
) -> tuple[Plan, Task] | None:
    """Return the task whose present run is this one, or None."""
    found = find_task(world, name)
    if found is None:
        return None
    task = found[1]
    is_present = task.phase is TaskPhase.PLACED and task.run == run
    return found if is_present and task.incarnation == incarnation else None


def _see_running(
    world: BatchWorld, row: MinionRow, running: RunningRun, now_ms: int
) -> None:
    found = _present(world, row.incarnation, running.task, running.run)
    if found is None and _is_through(world, running):
        return
    if found is None:
        _stop_stray(world, row, running)
        return
    plan, task = found
    if task.running_since_ms is None:
        task.running_since_ms = now_ms
        task.initial_percent = running.percent
        task.percent_changed_ms = now_ms
    task.confirmed = True
    if running.percent != task.percent:
        task.percent = running.percent
        task.percent_changed_ms = now_ms
    if running.checkpoint and running.checkpoint != task.checkpoint:
        task.checkpoint = running.checkpoint
        task.checkpoint_ms = world.clock.wall_ms()
        plan.has_new_checkpoint = True


def _is_through(world: BatchWorld, running: RunningRun) -> bool:
    """Return whether the end of a gang's run has reached us by another member."""
    found = find_task(world, running.task)
    if found is None:
        return False
    task = found[1]
    return task.phase is TaskPhase.DONE and task.run == running.run


def _stop_stray(world: BatchWorld, row: MinionRow, running: RunningRun) -> None:
    """Stop a run that is no task's present run."""
    orphans = world.schedule.orphans.setdefault(row.sidecar, {})
    key = (str(running.task), running.run)
    if key not in orphans:
        orphans[key] = OrphanRun(running)
        world.note("run", "A stray run is stopped.", task=key[0], run=key[1])


def _see_end(
    world: BatchWorld, row: MinionRow, ended: EndedRun, now_ms: int
) -> tuple[str, int]:
    """Apply an end, and return the job and version that must be in the log."""
    found = _present(world, row.incarnation, ended.task, ended.run)
    if found is None and ended.how is RunEnd.DONE:
        found = _done_after_all(world, ended)
    if found is None:
        plan = world.schedule.plans.get(ended.task.job)
        return ended.task.job, plan.version if plan else 0
    plan, task = found
    _learn(world, row, plan, task, ended, now_ms)
    _note_end(world, plan, task, ended.how)
    apply_end(world, plan, task, ended.how, ended.checkpoint)
    return plan.job.id, plan.version


def _done_after_all(world: BatchWorld, ended: EndedRun) -> tuple[Plan, Task] | None:
    """Return the task of a run that was given up but is done, if it waits again."""
    found = find_task(world, ended.task)
    if found is None:
        return None
    plan, task = found
    is_newest = task.phase is TaskPhase.WAITING and task.run == ended.run
    return found if is_newest and plan.phase is PlanState.OPEN else None


def _learn(
    world: BatchWorld,
    row: MinionRow,
    plan: Plan,
    task: Task,
    ended: EndedRun,
    now_ms: int,
) -> None:
    """Learn from an end whether the minion does its work."""
    if ended.how is RunEnd.DONE:
        if not plan.job.steps[task.name.step].gang:
            # a member of a gang may have waited for the others
            task.percent = WHOLE
            task.percent_changed_ms = now_ms
        learn_speed(world, row, plan, task)
        row.failures = 0
        row.failed_jobs.clear()
        row.has_completed_run = True
    elif ended.how is RunEnd.FAILED:
        row.failures += 1
        row.failed_jobs.add(plan.job.id)
        row.failed_ms = now_ms


def _see_refusal(
    world: BatchWorld, row: MinionRow, refused: RefusedRun, now_ms: int
) -> None:
    """Take a run back that surely never began; its minion rests for a moment."""
    found = _present(world, row.incarnation, refused.task, refused.run)
    if found is None:
        return
    plan, task = found
    if not task.stopping:
        row.backoff_until_ms = now_ms + REST_MS
    _note_end(world, plan, task, RunEnd.REFUSED, refused.reason)
    apply_end(world, plan, task, RunEnd.REFUSED, "")
