"""Renewal of leases at the worker, and the handling of the worker's answers."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.agreement.follow import is_fresh, request_barrier
from kingcuppost.systems.events import note
from kingcuppost.systems.member_timing import confirmation_ms, lease_ms, reservation_ms
from kingcuppost.systems.members.orders import (
    ENDED_STATES,
    LEASED_STATES,
    ORDER_CHECKPOINT,
    ORDER_RENEW,
    ORDER_RESERVE,
    ORDER_START,
    ORDER_STOP,
    gang_of,
    is_zone_in_service,
    order_timeout_ms,
)
from kingcuppost.systems.members.stopping import order_stop, stop_task
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import WorkerAnswered, WorkerTask
from kingcuppost.tables.job import GangState
from kingcuppost.tables.outbox import RenewTasks, TaskLease
from kingcuppost.tables.task import MemberTask, Renewal, TaskState
from kingcuppost.tables.world import World

__all__ = ["handle_worker_answers", "renew_tasks"]

RENEWALS_PER_LEASE = 3
TASKS_PER_POLL = 8  # the renewal period is one `job.poll_ms` per this many tasks
TASK_ID_NUMBERS = 2  # the incarnation of the gang and the number of the member


@system(Phase.ACT, roles=(Role.SIDECAR,), order=50)
def renew_tasks(world: World, now_ms: int) -> None:
    """Renew the leases at the worker and request the states of its tasks.

    This happens once per period, and earlier for a reservation that the last renewal
    left out. Only one renewal is pending at a time, so that no delayed renewal
    overrides a later one.
    """
    if not world.log_view.caught_up or world.worker_order_view.renewal is not None:
        return
    if now_ms < world.worker_order_view.next_renewal_ms and not _is_reservation_due(
        world, now_ms
    ):
        return
    leased = [
        task for state in LEASED_STATES for task in world.tasks.find("state", state)
    ]
    stopping = world.tasks.count("state", TaskState.STOPPING)
    if world.worker_order_view.adopted and not leased and not stopping:
        return
    world.worker_order_view.next_renewal_ms = now_ms + _renewal_period_ms(world, leased)
    world.deadlines.add(world.worker_order_view.next_renewal_ms)
    leases = _leases_to_renew(world, leased, now_ms)
    world.worker_order_view.renewal = Renewal(
        now_ms, frozenset(lease.task_id for lease in leases)
    )
    timeout_ms = min(order_timeout_ms(world), reservation_ms(world))
    world.outbox.put(RenewTasks(leases, timeout_ms))


def _is_reservation_due(world: World, now_ms: int) -> bool:
    """Return whether a reservation is due for renewal and may be renewed.

    The last renewal may have left it out, if the view of the log was not fresh then.
    """
    limit_ms = reservation_ms(world)
    due_remaining_ms = limit_ms - limit_ms // RENEWALS_PER_LEASE
    reserved = world.tasks.find("state", TaskState.RESERVED)
    is_due = any(task.lease_expiry_ms - now_ms <= due_remaining_ms for task in reserved)
    return is_due and _can_renew_reservations(world, now_ms)


def _renewal_period_ms(world: World, leased: list[MemberTask]) -> int:
    """Return the time until the next renewal, in ms.

    It grows with the number of tasks, to limit the traffic with the worker, but
    never beyond a fraction of the shortest lease to be renewed.
    """
    limits_ms = []
    if any(task.state is not TaskState.RUNNING for task in leased):
        limits_ms.append(reservation_ms(world))
    gangs = (gang_of(world, task) for task in leased)
    limits_ms += [confirmation_ms(world, gang) for gang in gangs if gang is not None]
    poll_ms = effective_value(world.agreed, "job.poll_ms")
    wanted_ms = poll_ms * max(1, len(leased) // TASKS_PER_POLL)
    return min([wanted_ms, *(limit_ms // RENEWALS_PER_LEASE for limit_ms in limits_ms)])


def _leases_to_renew(
    world: World, leased: list[MemberTask], now_ms: int
) -> tuple[TaskLease, ...]:
    """Return the leases to renew.

    Running members are renewed up to their confirmed lease, and reservations if the
    view of the log is fresh and the availability zone is in service. A member whose
    start order is pending is left out: the order may be delayed, and must then find
    the reservation lapsed.
    """
    leases = []
    for task in leased:
        if task.state is TaskState.RUNNING and task.confirmed:
            leases.append(TaskLease(task.task_id, task.lease_expiry_ms - now_ms))
        elif task.state is TaskState.RESERVED and _can_renew_reservations(
            world, now_ms
        ):
            leases.append(TaskLease(task.task_id, reservation_ms(world)))
    return tuple(leases)


def _can_renew_reservations(world: World, now_ms: int) -> bool:
    if not is_fresh(world, now_ms):
        request_barrier(world, now_ms)
        return False
    return is_zone_in_service(world)


@system(Phase.INTAKE, roles=(Role.SIDECAR,), order=40)
def handle_worker_answers(world: World, now_ms: int) -> None:
    """Update members' tasks from the worker's answers."""
    for answer in world.inbox.take(WorkerAnswered):
        if answer.order == ORDER_RENEW:
            _apply_renewal_answer(world, answer, now_ms)
            continue
        task = world.tasks.get(answer.task_id)
        if task is not None:
            _apply_order_answer(world, task, answer, now_ms)


def _apply_order_answer(
    world: World, task: MemberTask, answer: WorkerAnswered, now_ms: int
) -> None:
    if not answer.ok:
        text = f"Order {answer.order} to the worker failed: {answer.reason}."
        note(world, "member.order", text, job=task.job)
    if answer.order == ORDER_RESERVE and task.state is TaskState.RESERVING:
        _apply_reserve_answer(world, task, answer, now_ms)
    elif answer.order == ORDER_START and task.state is TaskState.STARTING:
        _apply_start_answer(world, task, answer, now_ms)
    elif answer.order == ORDER_CHECKPOINT and task.state is TaskState.STOPPING:
        order_stop(world, task, now_ms)
    elif answer.order == ORDER_STOP and answer.ok and task.state is TaskState.STOPPING:
        _apply_stop_answer(world, task, answer)


def _apply_reserve_answer(
    world: World, task: MemberTask, answer: WorkerAnswered, now_ms: int
) -> None:
    """Mark the member as reserved, or on failure as refused.

    A failed order is followed by a stop order, since the worker may have made the
    reservation although its answer was lost.
    """
    state = TaskState.RESERVED if answer.ok else TaskState.REFUSED
    world.tasks.update(task.task_id, state=state)
    world.deadlines.add(task.lease_expiry_ms)
    if not answer.ok:
        order_stop(world, task, now_ms)


def _apply_start_answer(
    world: World, task: MemberTask, answer: WorkerAnswered, now_ms: int
) -> None:
    """Mark the member as running; stop it on failure or if its gang has ended.

    A failed start may have taken effect although its answer was lost.
    """
    gang = gang_of(world, task)
    if answer.ok and gang is not None:
        # The lease began when the start order was sent.
        sent_ms = task.lease_expiry_ms - lease_ms(world, gang)
        world.worker_order_view.last_confirmed_order_ms = max(
            world.worker_order_view.last_confirmed_order_ms, sent_ms
        )
        world.tasks.update(task.task_id, state=TaskState.RUNNING)
    else:
        stop_task(world, task, now_ms)


def _apply_stop_answer(world: World, task: MemberTask, answer: WorkerAnswered) -> None:
    """Mark the member as ended if the worker no longer lists its task as open."""
    listed_by_id = {listed_task.task_id: listed_task for listed_task in answer.tasks}
    listed_task = listed_by_id.get(task.task_id)
    if listed_task is None:
        world.tasks.update(task.task_id, state=TaskState.STOPPED)
    elif listed_task.state in ENDED_STATES:
        world.tasks.update(
            task.task_id, state=listed_task.state, result=listed_task.result
        )


def _apply_renewal_answer(world: World, answer: WorkerAnswered, now_ms: int) -> None:
    """Adopt or update the tasks that the worker lists, and extend reservations.

    Tasks that were renewed and are not listed have been lost by the worker. If the
    renewal failed, its reservations are stopped.
    """
    renewal = world.worker_order_view.renewal or Renewal(now_ms, frozenset())
    world.worker_order_view.renewal = None
    if not answer.ok:
        _stop_reservations(world, renewal, now_ms)
        return
    world.worker_order_view.last_confirmed_order_ms = max(
        world.worker_order_view.last_confirmed_order_ms, renewal.sent_ms
    )
    listed_by_id = {listed_task.task_id: listed_task for listed_task in answer.tasks}
    for listed_task in answer.tasks:
        task = world.tasks.get(listed_task.task_id)
        if task is None:
            _adopt(world, listed_task, now_ms)
        else:
            _apply_task_state(world, task, listed_task, now_ms)
    for task_id in renewal.task_ids:
        task = world.tasks.get(task_id)
        if task_id not in listed_by_id and task is not None:
            _mark_lost(world, task)
    _extend_reservations(world, renewal)
    world.worker_order_view.adopted = True


def _stop_reservations(world: World, renewal: Renewal, now_ms: int) -> None:
    """Stop reservations whose failed renewal may still reach the worker.

    The lease at the worker would then end later than this process assumes.
    """
    for task_id in renewal.task_ids:
        task = world.tasks.get(task_id)
        if task is not None and task.state is TaskState.RESERVED:
            stop_task(world, task, now_ms)


def _extend_reservations(world: World, renewal: Renewal) -> None:
    until_ms = renewal.sent_ms + reservation_ms(world)
    for task_id in renewal.task_ids:
        task = world.tasks.get(task_id)
        if task is not None and task.state is TaskState.RESERVED:
            world.tasks.update(task_id, lease_expiry_ms=until_ms)
            world.deadlines.add(until_ms)


def _mark_lost(world: World, task: MemberTask) -> None:
    if task.state not in ENDED_STATES:
        world.tasks.update(task.task_id, state=TaskState.STOPPED)
        note(
            world,
            "member.lost",
            "The worker no longer has the task of a member.",
            job=task.job,
        )


def _apply_task_state(
    world: World, task: MemberTask, listed_task: WorkerTask, now_ms: int
) -> None:
    may_end = task.state in LEASED_STATES or task.state is TaskState.STOPPING
    if listed_task.state in ENDED_STATES and may_end:
        world.tasks.update(
            task.task_id, state=listed_task.state, result=listed_task.result
        )
    elif listed_task.state is TaskState.RUNNING and task.state is TaskState.STARTING:
        world.tasks.update(task.task_id, state=TaskState.RUNNING)
    elif task.state is TaskState.STOPPING and now_ms >= task.stop_after_ms:
        order_stop(world, task, now_ms)


def _adopt(world: World, listed_task: WorkerTask, now_ms: int) -> None:
    """Adopt a task of an earlier sidecar process, or stop it.

    A running task is renewed only after its leader has confirmed it. A reservation
    is stopped, since a start order of the earlier process may still arrive.
    """
    task = _make_task(listed_task, now_ms)
    if task is None:
        return
    gang = gang_of(world, task)
    ended = listed_task.state in ENDED_STATES
    if gang is None and ended:
        return
    world.tasks.put(task)
    released = gang is not None and gang.state is GangState.RELEASED
    if not ended and not (released and listed_task.state is TaskState.RUNNING):
        stop_task(world, task, now_ms)
        return
    if not ended:
        until_ms = now_ms + confirmation_ms(world, gang)
        world.tasks.update(task.task_id, lease_expiry_ms=until_ms)
        world.deadlines.add(until_ms)
    note(
        world,
        "member.adopt",
        "Adopted a member of an earlier sidecar process.",
        job=task.job,
    )


def _make_task(listed_task: WorkerTask, now_ms: int) -> MemberTask | None:
    """Return the row of a listed task; None if it is not a gang member's task."""
    job, *numbers = listed_task.task_id.rsplit("/", TASK_ID_NUMBERS)
    if len(numbers) != TASK_ID_NUMBERS or not all(text.isdecimal() for text in numbers):
        return None
    incarnation, member = map(int, numbers)
    return MemberTask(
        listed_task.task_id,
        job,
        incarnation,
        member,
        listed_task.state,
        now_ms,
        result=listed_task.result,
        confirmed=False,
    )
