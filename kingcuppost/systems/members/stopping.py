"""Stopping of members, and deletion of those whose gang has ended."""

from kingcuppost.systems.events import note
from kingcuppost.systems.member_timing import grace_ms, isolation_ms, lease_ms
from kingcuppost.systems.members.orders import (
    ENDED_STATES,
    LEASED_STATES,
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
    "order_stop",
    "presume_stopped_members",
    "stop_isolated_members",
    "stop_lapsed_members",
    "stop_task",
]

CLOCK_DRIFT_MARGIN_MS = 500


def stop_task(world: World, task: MemberTask, now_ms: int) -> None:
    """Stop a member at once, or after its checkpoint if it is running."""
    if task.state in ENDED_STATES or task.state is TaskState.STOPPING:
        return
    running = task.state is TaskState.RUNNING
    world.tasks.update(task.task_id, state=TaskState.STOPPING)
    note(world, "member.stop", "Stopping a member.", job=task.job)
    if not running:
        order_stop(world, task, now_ms)
        return
    limit_ms = grace_ms(world, gang_of(world, task))
    world.tasks.update(task.task_id, stop_after_ms=now_ms + limit_ms)
    world.outbox.put(CheckpointTask(task.task_id, limit_ms))


def order_stop(world: World, task: MemberTask, now_ms: int) -> None:
    """Order the worker to stop a member.

    The order is repeated after each renewal that still lists the task as open.
    """
    world.tasks.update(task.task_id, stop_after_ms=now_ms)
    world.outbox.put(StopTask(task.task_id, order_timeout_ms(world)))


@system(Phase.MEMBERSHIP, roles=(Role.SIDECAR,), order=90)
def stop_lapsed_members(world: World, now_ms: int) -> None:
    """Stop members whose lease has lapsed."""
    for state in LEASED_STATES:
        for task in world.tasks.find("state", state):
            if task.lease_expiry_ms <= now_ms:
                note(
                    world,
                    "member.lapse",
                    "The lease of a member has lapsed.",
                    job=task.job,
                )
                stop_task(world, task, now_ms)


@system(Phase.MEMBERSHIP, roles=(Role.SIDECAR,), order=70)
def presume_stopped_members(world: World, now_ms: int) -> None:
    """Mark stopping members as stopped once their unresponsive worker has ended them.

    A stopping member is not renewed any more, so that the worker ends it when its
    lease lapses, delayed at most by the latency of the last renewal. If the worker
    has answered an order sent after the lease expired, its answers are used instead.
    """
    for task in world.tasks.find("state", TaskState.STOPPING):
        ended_ms = _worker_end_ms(world, task)
        if now_ms < ended_ms:
            world.deadlines.add(ended_ms)
        elif world.worker_order_view.last_confirmed_order_ms <= task.lease_expiry_ms:
            world.tasks.update(task.task_id, state=TaskState.STOPPED)
            note(
                world,
                "member.silent",
                "The worker is unresponsive; a stopping member's lease has lapsed.",
                job=task.job,
            )


def _worker_end_ms(world: World, task: MemberTask) -> int:
    """Return when the worker has ended a task that is not renewed, monotonic ms.

    The last renewal may have reached the worker up to one order timeout late, and the
    clocks drift apart. An unconfirmed task was adopted: its lease at the worker is not
    known, and may be a whole lease.
    """
    gang = gang_of(world, task)
    limit_ms = order_timeout_ms(world) + CLOCK_DRIFT_MARGIN_MS
    if not task.confirmed and gang is not None:
        limit_ms += lease_ms(world, gang)
    return task.lease_expiry_ms + limit_ms


@system(Phase.MEMBERSHIP, roles=(Role.SIDECAR,), order=80)
def stop_isolated_members(world: World, now_ms: int) -> None:
    """Stop all members once neither log nor entry has answered for the isolation limit.

    The scheduler relies on this when it receives no report of any member of a gang.
    """
    tasks = [task for state in OPEN_STATES for task in world.tasks.find("state", state)]
    if not tasks:
        return
    limit_ms = isolation_ms(world)
    last_contact_ms = max(
        world.log_view.fresh_as_of_ms, world.heartbeat_view.last_reply_ms
    )
    if now_ms - last_contact_ms < limit_ms:
        world.deadlines.add(last_contact_ms + limit_ms)
        return
    note(
        world,
        "member.isolated",
        f"Neither the log nor an entry has answered for {limit_ms} ms.",
    )
    for task in tasks:
        stop_task(world, task, now_ms)


@system(Phase.REPORT, roles=(Role.SIDECAR,), order=30)
def forget_members(world: World, now_ms: int) -> None:
    """Delete ended members whose gang has ended."""
    for state in ENDED_STATES:
        for task in world.tasks.find("state", state):
            if gang_of(world, task) is None:
                world.tasks.delete(task.task_id)
