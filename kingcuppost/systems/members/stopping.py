"""Stopping members, and forgetting those whose gang has ended."""

from kingcuppost.systems.events import note
from kingcuppost.systems.member_timing import grace_ms, isolation_ms, lease_ms
from kingcuppost.systems.members.orders import (
    ENDED_STATES,
    HELD_STATES,
    OPEN_STATES,
    gang_of,
    order_timeout_ms,
)
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.outbox import CheckpointTask, StopTask
from kingcuppost.tables.task import MemberTask, TaskState
from kingcuppost.tables.world import World

__all__ = [
    "forget_members",
    "give_up_silent",
    "order_stop",
    "stop_isolated",
    "stop_lapsed",
    "stop_task",
]

CLOCK_DRIFT_MARGIN_MS = 500


def stop_task(world: World, task: MemberTask, now_ms: int) -> None:
    """Checkpoint a running member, then stop it; stop others at once."""
    if task.state in ENDED_STATES or task.state is TaskState.STOPPING:
        return
    running = task.state is TaskState.RUNNING
    world.tasks.update(task.task_id, state=TaskState.STOPPING)
    note(world, "member.stop", "Stopping a member.", job=task.job)
    if not running:
        order_stop(world, task, now_ms)
        return
    bound_ms = grace_ms(world, gang_of(world, task))
    world.tasks.update(task.task_id, stop_ms=now_ms + bound_ms)
    world.outbox.put(CheckpointTask(task.task_id, bound_ms))


def order_stop(world: World, task: MemberTask, now_ms: int) -> None:
    """Order the worker to stop a member, and again until it has."""
    world.tasks.update(task.task_id, stop_ms=now_ms)
    world.outbox.put(StopTask(task.task_id, order_timeout_ms(world)))


@system(Phase.MEMBERSHIP, roles=(Role.SIDECAR,), order=90)
def stop_lapsed(world: World, now_ms: int) -> None:
    """Stop members whose lease has lapsed."""
    for state in HELD_STATES:
        for task in world.tasks.find("state", state):
            if task.lease_ms <= now_ms:
                note(world, "member.lapse", "The lease has lapsed.", job=task.job)
                stop_task(world, task, now_ms)


@system(Phase.MEMBERSHIP, roles=(Role.SIDECAR,), order=70)
def give_up_silent(world: World, now_ms: int) -> None:
    """Take stopping members as stopped once their silent worker has ended them.

    A stopping member is renewed no more, so that the worker ends it when its lease
    runs out, plus what the last renewal was late.
    """
    for task in world.tasks.find("state", TaskState.STOPPING):
        ended_ms = _ended_by_worker_ms(world, task)
        if now_ms < ended_ms:
            world.deadlines.add(ended_ms)
        elif world.worker_view.heard_ms <= task.lease_ms:
            world.tasks.update(task.task_id, state=TaskState.STOPPED)
            note(world, "member.silent", "The worker is silent.", job=task.job)


def _ended_by_worker_ms(world: World, task: MemberTask) -> int:
    gang = gang_of(world, task)
    bound_ms = order_timeout_ms(world) + CLOCK_DRIFT_MARGIN_MS
    if not task.confirmed and gang is not None:
        bound_ms += lease_ms(world, gang)
    return task.lease_ms + bound_ms


@system(Phase.MEMBERSHIP, roles=(Role.SIDECAR,), order=80)
def stop_isolated(world: World, now_ms: int) -> None:
    """Stop all members once neither log nor entry was heard for the bound.

    The scheduler counts on it when it hears nothing of a whole gang.
    """
    tasks = [task for state in OPEN_STATES for task in world.tasks.find("state", state)]
    if not tasks:
        return
    bound_ms = isolation_ms(world)
    heard_ms = max(world.log_view.fresh_as_of_ms, world.heartbeat_view.heard_ms)
    if now_ms - heard_ms < bound_ms:
        world.deadlines.add(heard_ms + bound_ms)
        return
    note(world, "member.isolated", f"No log and no entry for {bound_ms} ms.")
    for task in tasks:
        stop_task(world, task, now_ms)


@system(Phase.REPORT, roles=(Role.SIDECAR,), order=30)
def forget_members(world: World, now_ms: int) -> None:
    """Forget members that are over once their gang has ended."""
    for state in ENDED_STATES:
        for task in world.tasks.find("state", state):
            if gang_of(world, task) is None:
                world.tasks.delete(task.task_id)
