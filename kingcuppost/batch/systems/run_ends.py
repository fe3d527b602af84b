"""Ends of runs that no minion reports: of expired and of earlier incarnations."""

from kingcuppost.batch.systems.end_causes import cause_for_members, cause_of_end
from kingcuppost.batch.systems.lost_work import work_lost_by_end
from kingcuppost.batch.systems.plans import (
    apply_run_end,
    request_run_stop,
    request_stop,
)
from kingcuppost.batch.systems.run_end_rule import RunFate, fate_after_restart
from kingcuppost.batch.systems.task_phases import move_run, placed_runs
from kingcuppost.batch.tables.end_cause import CauseKind, EndCause
from kingcuppost.batch.tables.job import MinionIncarnation, RunEnd
from kingcuppost.batch.tables.messages import SyncCall
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.world import BatchWorld

__all__ = [
    "MINION_ENDED",
    "NEW_INCARNATION",
    "end_incarnation_runs",
    "record_run_end",
    "settle_earlier_incarnations",
]

MINION_ENDED = "the minion has ended"
NEW_INCARNATION = "the minion has a new incarnation"


def record_run_end(
    world: BatchWorld, plan: Plan, task: Task, run_end: RunEnd, reason: str = ""
) -> None:
    """Count and log the end of a run, before it is applied to the plan."""
    wall_ms = world.clock.wall_ms()
    lost_core_s = work_lost_by_end(plan, task, run_end, wall_ms)
    cause = cause_of_end(task, run_end)
    world.tally.add("ends", run_end)
    world.tally.add("lost_core_seconds", run_end, amount=round(lost_core_s))
    world.tally.add("lost_core_seconds_by_cause", cause.kind, amount=round(lost_core_s))
    world.note(
        "run",
        "A run ended.",
        task=str(task.name),
        run=task.run,
        how=run_end,
        cause=cause.kind,
        cause_task=str(cause.task or ""),
        cause_job=cause.job,
        minion=task.incarnation.minion if task.incarnation else "",
        reason=reason,
        took_ms=wall_ms - task.placed_ms,
        estimate_ms=plan.job.steps[task.name.step].estimate_ms,
        lost_core_s=round(lost_core_s, 1),
    )


def end_incarnation_runs(
    world: BatchWorld, incarnation: MinionIncarnation, reason: str
) -> None:
    """End all runs of a minion incarnation that is over."""
    schedule = world.schedule
    schedule.leases.delete(incarnation)
    for plan, task in placed_runs(schedule, incarnation):
        record_run_end(world, plan, task, RunEnd.LOST, reason)
        apply_run_end(world, plan, task, RunEnd.LOST, "")


def settle_earlier_incarnations(world: BatchWorld, call: SyncCall) -> None:
    """Decide on the runs of earlier incarnations of a minion that has answered."""
    for lease in world.schedule.leases.find("sidecar", call.sidecar):
        if lease.incarnation.born_ms < call.minion.incarnation.born_ms:
            _settle_runs(world, call, lease.incarnation)


def _settle_runs(world: BatchWorld, call: SyncCall, earlier: MinionIncarnation) -> None:
    """Move the runs of an earlier incarnation that have not ended; end the others."""
    present = call.minion.incarnation
    listed = {(running.task, running.run) for running in call.running}
    for plan, task in placed_runs(world.schedule, earlier):
        is_listed = (task.name, task.run) in listed
        fate = fate_after_restart(earlier, present, is_listed)
        if fate is not RunFate.ENDED:
            _move_run(world, plan, task, present, fate)
    end_incarnation_runs(world, earlier, NEW_INCARNATION)


def _move_run(
    world: BatchWorld,
    plan: Plan,
    task: Task,
    present: MinionIncarnation,
    fate: RunFate,
) -> None:
    """Place a run at the present incarnation, where it continues or is stopped."""
    move_run(world.schedule, plan, task, present)
    world.note(
        "run",
        "The minion of a run has a new incarnation.",
        task=str(task.name),
        run=task.run,
        minion=present.minion,
        fate=fate,
    )
    if fate is RunFate.CONTINUES:
        return
    task.was_lost = True
    cause = EndCause(CauseKind.LOST)
    request_stop(world, plan, task, cause)
    request_run_stop(world, plan, task, cause_for_members(task, cause))
