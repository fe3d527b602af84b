"""The worker's answers: leases renewed, states taken, tasks taken over."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.agreement.follow import is_fresh, request_barrier
from kingcuppost.systems.events import note
from kingcuppost.systems.member_timing import confirmation_ms, lease_ms, reservation_ms
from kingcuppost.systems.members.orders import (
    ENDED_STATES,
    HELD_STATES,
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
from kingcuppost.tables.inbox import WorkerDone, WorkerTask
from kingcuppost.tables.job import GangState
from kingcuppost.tables.outbox import RenewTasks, TaskLease
from kingcuppost.tables.task import MemberTask, Renewal, TaskState
from kingcuppost.tables.world import World

__all__ = ["renew_tasks", "take_worker_answers"]

RENEWALS_PER_LEASE = 3
TASKS_PER_POLL = 8
ID_NUMBERS = 2


@system(Phase.ACT, roles=(Role.SIDECAR,), order=50)
def renew_tasks(world: World, now_ms: int) -> None:
    """Renew the worker's leases and ask for task states, once a period.

    One renewal is under way at a time, so that none that is late in flight
    outlives what a later one said.
    """
    if not world.log_view.caught_up or world.worker_view.renewal is not None:
        return
    if now_ms < world.worker_view.renew_ms and not _reservation_due(world, now_ms):
        return
    held = [row for state in HELD_STATES for row in world.tasks.find("state", state)]
    stopping = world.tasks.count("state", TaskState.STOPPING)
    if world.worker_view.adopted and not held and not stopping:
        return
    world.worker_view.renew_ms = now_ms + _period_ms(world, held)
    world.deadlines.add(world.worker_view.renew_ms)
    leases = _leases(world, held, now_ms)
    world.worker_view.renewal = Renewal(
        now_ms, frozenset(row.task_id for row in leases)
    )
    timeout_ms = min(order_timeout_ms(world), reservation_ms(world))
    world.outbox.put(RenewTasks(leases, timeout_ms))


def _reservation_due(world: World, now_ms: int) -> bool:
    """Return whether a reservation waited for the view that is fresh now."""
    bound_ms = reservation_ms(world)
    left_ms = bound_ms - bound_ms // RENEWALS_PER_LEASE
    reserved = world.tasks.find("state", TaskState.RESERVED)
    aged = any(task.lease_ms - now_ms <= left_ms for task in reserved)
    return aged and _may_hold(world, now_ms)


def _period_ms(world: World, held: list[MemberTask]) -> int:
    """Return the time until the next renewal, in ms.

    It stretches with the tasks, so that traffic with the worker is bounded, but
    never beyond a share of the shortest lease that is to be renewed.
    """
    bounds_ms = []
    if any(task.state is not TaskState.RUNNING for task in held):
        bounds_ms.append(reservation_ms(world))
    gangs = (gang_of(world, task) for task in held)
    bounds_ms += [confirmation_ms(world, gang) for gang in gangs if gang is not None]
    poll_ms = effective_value(world.agreed, "job.poll_ms")
    wanted_ms = poll_ms * max(1, len(held) // TASKS_PER_POLL)
    return min([wanted_ms, *(bound // RENEWALS_PER_LEASE for bound in bounds_ms)])


def _leases(world: World, held: list[MemberTask], now_ms: int) -> tuple[TaskLease, ...]:
    """Return what to renew: running members as confirmed, reservations if fresh.

    A member whose start is under way is left out: the start order may be late,
    and must then find that the reservation has lapsed.
    """
    leases = []
    for task in held:
        if task.state is TaskState.RUNNING and task.confirmed:
            leases.append(TaskLease(task.task_id, task.lease_ms - now_ms))
        elif task.state is TaskState.RESERVED and _may_hold(world, now_ms):
            leases.append(TaskLease(task.task_id, reservation_ms(world)))
    return tuple(leases)


def _may_hold(world: World, now_ms: int) -> bool:
    if not is_fresh(world, now_ms):
        request_barrier(world, now_ms)
        return False
    return is_zone_in_service(world)


@system(Phase.INTAKE, roles=(Role.SIDECAR,), order=40)
def take_worker_answers(world: World, now_ms: int) -> None:
    """Bring the rows of members in line with what the worker says."""
    for done in world.inbox.take(WorkerDone):
        if done.order == ORDER_RENEW:
            _take_renewal(world, done, now_ms)
            continue
        task = world.tasks.get(done.task_id)
        if task is not None:
            _take_order(world, task, done, now_ms)


def _take_order(world: World, task: MemberTask, done: WorkerDone, now_ms: int) -> None:
    if not done.ok:
        text = f"Order {done.order} failed: {done.reason}."
        note(world, "member.order", text, job=task.job)
    if done.order == ORDER_RESERVE and task.state is TaskState.RESERVING:
        _take_reserve(world, task, done, now_ms)
    elif done.order == ORDER_START and task.state is TaskState.STARTING:
        _take_start(world, task, done, now_ms)
    elif done.order == ORDER_CHECKPOINT and task.state is TaskState.STOPPING:
        order_stop(world, task, now_ms)
    elif done.order == ORDER_STOP and done.ok and task.state is TaskState.STOPPING:
        _take_stop(world, task, done)


def _take_reserve(
    world: World, task: MemberTask, done: WorkerDone, now_ms: int
) -> None:
    """Note that the member is held; free what a lost answer may have reserved."""
    state = TaskState.RESERVED if done.ok else TaskState.REFUSED
    world.tasks.update(task.task_id, state=state)
    world.deadlines.add(task.lease_ms)
    if not done.ok:
        order_stop(world, task, now_ms)


def _take_start(world: World, task: MemberTask, done: WorkerDone, now_ms: int) -> None:
    """Note that the member runs; stop one whose start may have taken effect."""
    gang = gang_of(world, task)
    if done.ok and gang is not None:
        sent_ms = task.lease_ms - lease_ms(world, gang)
        world.worker_view.heard_ms = max(world.worker_view.heard_ms, sent_ms)
        world.tasks.update(task.task_id, state=TaskState.RUNNING)
    else:
        stop_task(world, task, now_ms)


def _take_stop(world: World, task: MemberTask, done: WorkerDone) -> None:
    """Believe a stop only if the worker no longer shows the task as open."""
    states = {item.task_id: item for item in done.tasks}
    item = states.get(task.task_id)
    if item is None:
        world.tasks.update(task.task_id, state=TaskState.STOPPED)
    elif item.state in ENDED_STATES:
        world.tasks.update(task.task_id, state=item.state, result=item.result)


def _take_renewal(world: World, done: WorkerDone, now_ms: int) -> None:
    renewal = world.worker_view.renewal or Renewal(now_ms, frozenset())
    world.worker_view.renewal = None
    if not done.ok:
        _give_up_reservations(world, renewal, now_ms)
        return
    world.worker_view.heard_ms = max(world.worker_view.heard_ms, renewal.sent_ms)
    states = {item.task_id: item for item in done.tasks}
    for item in done.tasks:
        task = world.tasks.get(item.task_id)
        if task is None:
            _adopt(world, item, now_ms)
        else:
            _take_state(world, task, item, now_ms)
    for task_id in renewal.task_ids:
        task = world.tasks.get(task_id)
        if task_id not in states and task is not None:
            _note_lost(world, task)
    _prolong_reservations(world, renewal)
    world.worker_view.adopted = True


def _give_up_reservations(world: World, renewal: Renewal, now_ms: int) -> None:
    """Stop reservations whose renewal may yet arrive at the worker."""
    for task_id in renewal.task_ids:
        task = world.tasks.get(task_id)
        if task is not None and task.state is TaskState.RESERVED:
            stop_task(world, task, now_ms)


def _prolong_reservations(world: World, renewal: Renewal) -> None:
    until_ms = renewal.sent_ms + reservation_ms(world)
    for task_id in renewal.task_ids:
        task = world.tasks.get(task_id)
        if task is not None and task.state is TaskState.RESERVED:
            world.tasks.update(task_id, lease_ms=until_ms)
            world.deadlines.add(until_ms)


def _note_lost(world: World, task: MemberTask) -> None:
    if task.state not in ENDED_STATES:
        world.tasks.update(task.task_id, state=TaskState.STOPPED)
        note(world, "member.lost", "The worker lost a member.", job=task.job)


def _take_state(world: World, task: MemberTask, item: WorkerTask, now_ms: int) -> None:
    known = task.state in HELD_STATES or task.state is TaskState.STOPPING
    if item.state in ENDED_STATES and known:
        world.tasks.update(task.task_id, state=item.state, result=item.result)
    elif item.state is TaskState.RUNNING and task.state is TaskState.STARTING:
        world.tasks.update(task.task_id, state=TaskState.RUNNING)
    elif task.state is TaskState.STOPPING and now_ms >= task.stop_ms:
        order_stop(world, task, now_ms)


def _adopt(world: World, item: WorkerTask, now_ms: int) -> None:
    """Take over a task of an earlier sidecar process, or stop it.

    A running one is renewed only after its leader has confirmed it. A reservation
    is given up, since a start order of the earlier process may be on its way.
    """
    task = _row_of(item, now_ms)
    if task is None:
        return
    gang = gang_of(world, task)
    ended = item.state in ENDED_STATES
    if gang is None and ended:
        return
    world.tasks.put(task)
    released = gang is not None and gang.state is GangState.RELEASED
    if not ended and not (released and item.state is TaskState.RUNNING):
        stop_task(world, task, now_ms)
        return
    if not ended:
        until_ms = now_ms + confirmation_ms(world, gang)
        world.tasks.update(task.task_id, lease_ms=until_ms)
        world.deadlines.add(until_ms)
    note(world, "member.adopt", "Took over a member.", job=task.job)


def _row_of(item: WorkerTask, now_ms: int) -> MemberTask | None:
    """Return the row of a member; None for a task that is not the system's."""
    job, *numbers = item.task_id.rsplit("/", 2)
    if len(numbers) != ID_NUMBERS or not all(text.isdecimal() for text in numbers):
        return None
    incarnation, member = map(int, numbers)
    return MemberTask(
        item.task_id,
        job,
        incarnation,
        member,
        item.state,
        now_ms,
        result=item.result,
        confirmed=False,
    )
