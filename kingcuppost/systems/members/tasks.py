"""Reservation of members when their gang is placed, and start at its release."""

from kingcuppost.systems.agreement.follow import is_fresh, request_barrier
from kingcuppost.systems.events import note
from kingcuppost.systems.member_timing import lease_ms, reservation_ms
from kingcuppost.systems.members.orders import (
    gang_of,
    is_zone_in_service,
    order_timeout_ms,
    task_id_of,
)
from kingcuppost.systems.members.stopping import stop_task
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import Gang, GangState
from kingcuppost.tables.outbox import ReserveTask, StartTask
from kingcuppost.tables.task import MemberTask, TaskState
from kingcuppost.tables.world import World

__all__ = ["reconcile_gangs", "start_members"]


@system(Phase.MEMBERSHIP, roles=(Role.SIDECAR,), order=100)
def reconcile_gangs(world: World, now_ms: int) -> None:
    """Reserve members of new gangs on this worker, and stop those of ended gangs.

    This waits until the log has been read to its head and the tasks of an earlier
    sidecar process have been adopted from the worker.
    """
    if not world.log_view.caught_up or not world.worker_order_view.adopted:
        return
    for key in world.agreed.gangs.take_changes("members"):
        gang = world.agreed.gangs.get(key)
        if gang is None or gang.state is GangState.STOPPING:
            _stop_gang(world, str(key), now_ms)
        else:
            _reconcile_gang(world, gang, now_ms)


def _stop_gang(world: World, key: str, now_ms: int) -> None:
    job, _, incarnation = key.rpartition("/")
    for task in world.tasks.find("job", job):
        if task.incarnation == int(incarnation):
            stop_task(world, task, now_ms)


def _reconcile_gang(world: World, gang: Gang, now_ms: int) -> None:
    """Reserve members without a task; report them stopped if they were released.

    A released member without a task has been lost by the worker.
    """
    for member, placement in enumerate(gang.placements):
        task_id = task_id_of(gang.job, gang.incarnation, member)
        if placement.worker != world.cfg.sidecar.worker.name or task_id in world.tasks:
            continue
        task = MemberTask(
            task_id,
            gang.job,
            gang.incarnation,
            member,
            TaskState.STOPPED,
            now_ms + reservation_ms(world),
        )
        world.tasks.put(task)
        if gang.state is GangState.RESERVING:
            _reserve(world, gang, task, placement.accelerators)
        else:
            note(
                world,
                "member.lost",
                "The worker no longer has the task of a member.",
                job=gang.job,
            )


def _reserve(
    world: World, gang: Gang, task: MemberTask, accelerators: tuple[int, ...]
) -> None:
    job = world.agreed.jobs.get(gang.job)
    world.tasks.update(task.task_id, state=TaskState.RESERVING)
    world.outbox.put(
        ReserveTask(
            task.task_id,
            job.cores,
            job.memory_mb,
            accelerators,
            job.payload,
            reservation_ms(world),
            order_timeout_ms(world),
        )
    )
    note(world, "member.reserve", "Reserving a member.", job=gang.job)


@system(Phase.DECIDE, roles=(Role.SIDECAR,), order=100)
def start_members(world: World, now_ms: int) -> None:
    """Start reserved members of released gangs if the view of the log is fresh."""
    for task in world.tasks.find("state", TaskState.RESERVED):
        gang = gang_of(world, task)
        if gang is None or gang.state is not GangState.RELEASED:
            continue
        if not is_zone_in_service(world):
            stop_task(world, task, now_ms)
        elif not is_fresh(world, now_ms):
            request_barrier(world, now_ms)
        elif not _is_renewal_pending(world, task):
            _start(world, gang, task, now_ms)


def _is_renewal_pending(world: World, task: MemberTask) -> bool:
    """Return whether a pending renewal may still extend the reservation."""
    return (
        world.worker_order_view.renewal is not None
        and task.task_id in world.worker_order_view.renewal.task_ids
    )


def _start(world: World, gang: Gang, task: MemberTask, now_ms: int) -> None:
    limit_ms = lease_ms(world, gang)
    world.tasks.update(
        task.task_id, state=TaskState.STARTING, lease_expiry_ms=now_ms + limit_ms
    )
    world.deadlines.add(now_ms + limit_ms)
    world.outbox.put(StartTask(task.task_id, limit_ms, order_timeout_ms(world)))
    note(world, "member.start", "Starting a member.", job=task.job)
