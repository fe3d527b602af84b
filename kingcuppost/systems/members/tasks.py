"""Members at their worker: reserve, start, renew, stop."""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.systems.agreement.follow import is_fresh, want_barrier
from kingcuppost.systems.events import note
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import WorkerDone, WorkerTask
from kingcuppost.tables.job import Gang, GangState, gang_key
from kingcuppost.tables.outbox import (
    CheckpointTask,
    RenewTasks,
    ReserveTask,
    StartTask,
    StopTask,
)
from kingcuppost.tables.task import MemberTask, TaskState
from kingcuppost.tables.world import World

__all__ = [
    "ENDED_STATES",
    "follow_gangs",
    "renew_tasks",
    "start_members",
    "stop_lapsed",
    "take_worker_answers",
    "task_id_of",
]

ENDED_STATES = frozenset(
    {TaskState.FINISHED, TaskState.FAILED, TaskState.STOPPED, TaskState.REFUSED}
)
HELD_STATES = (TaskState.RESERVED, TaskState.STARTING, TaskState.RUNNING)
ORDER_LIST = "list"
ORDER_RESERVE = "reserve"
ORDER_START = "start"
ORDER_CHECKPOINT = "checkpoint"
ORDER_STOP = "stop"
ORDER_RENEW = "renew"


def task_id_of(job: str, incarnation: int, member: int) -> str:
    """Return the identifier of a member's task.

    Examples
    --------
    >>> task_id_of("job-7", 2, 0)
    'job-7/2/0'
    """
    return f"{job}/{incarnation}/{member}"


def _order_timeout_ms(world: World) -> int:
    return effective_value(world.agreed, "job.worker_timeout_ms")


def _lease_ms(world: World, gang: Gang) -> int:
    return effective_value(world.agreed, "job.lease_ms", team_path(gang.team))


@system(Phase.MEMBERSHIP, roles=(Role.SIDECAR,))
def follow_gangs(world: World, now_ms: int) -> None:
    """Reserve members of new gangs on this worker; stop those of ended ones."""
    for key in world.agreed.gangs.take_changes("members"):
        gang = world.agreed.gangs.get(key)
        if gang is None or gang.state is GangState.STOPPING:
            _stop_gang(world, str(key), now_ms)
        elif gang.state is GangState.RESERVING:
            _reserve_members(world, gang, now_ms)


def _reserve_members(world: World, gang: Gang, now_ms: int) -> None:
    job = world.agreed.jobs.get(gang.job)
    for member, placement in enumerate(gang.placements):
        task_id = task_id_of(gang.job, gang.incarnation, member)
        if placement.worker != world.cfg.sidecar.worker.name or task_id in world.tasks:
            continue
        lease_ms = _lease_ms(world, gang)
        world.tasks.put(
            MemberTask(
                task_id,
                gang.job,
                gang.incarnation,
                member,
                TaskState.RESERVING,
                now_ms + lease_ms,
            )
        )
        world.outbox.put(
            ReserveTask(
                task_id,
                job.cores,
                job.memory_mb,
                placement.accelerators,
                job.payload,
                lease_ms,
                _order_timeout_ms(world),
            )
        )
        note(world, "member.reserve", "Reserving a member.", job=gang.job)


def _stop_gang(world: World, key: str, now_ms: int) -> None:
    job, _, incarnation = key.rpartition("/")
    for task in world.tasks.find("job", job):
        if task.incarnation == int(incarnation):
            stop_task(world, task, now_ms)


def stop_task(world: World, task: MemberTask, now_ms: int) -> None:
    """Checkpoint a running member, then stop it; stop others at once."""
    if task.state in ENDED_STATES or task.state is TaskState.STOPPING:
        return
    running = task.state in (TaskState.STARTING, TaskState.RUNNING)
    world.tasks.update(task.task_id, state=TaskState.STOPPING)
    note(world, "member.stop", "Stopping a member.", job=task.job)
    if running:
        grace_ms = _grace_ms(world, task)
        world.outbox.put(CheckpointTask(task.task_id, grace_ms))
        return
    world.outbox.put(StopTask(task.task_id, _order_timeout_ms(world)))


def _grace_ms(world: World, task: MemberTask) -> int:
    """Return the gang's own time for a checkpoint, else that of its team."""
    gang = world.agreed.gangs.get(gang_key(task.job, task.incarnation))
    if gang is None:
        return effective_value(world.agreed, "job.checkpoint_grace_ms")
    if gang.grace_ms >= 0:
        return gang.grace_ms
    path = team_path(gang.team)
    return effective_value(world.agreed, "job.checkpoint_grace_ms", path)


@system(Phase.DECIDE, roles=(Role.SIDECAR,))
def start_members(world: World, now_ms: int) -> None:
    """Start reserved members of released gangs, on a fresh view only."""
    for task in world.tasks.find("state", TaskState.RESERVED):
        gang = world.agreed.gangs.get(gang_key(task.job, task.incarnation))
        if gang is None or gang.state is not GangState.RELEASED:
            continue
        if not _zone_in_service(world):
            continue
        if not is_fresh(world, now_ms):
            want_barrier(world, now_ms)
            continue
        lease_ms = _lease_ms(world, gang)
        world.tasks.update(
            task.task_id, state=TaskState.STARTING, lease_ms=now_ms + lease_ms
        )
        world.outbox.put(StartTask(task.task_id, lease_ms, _order_timeout_ms(world)))
        note(world, "member.start", "Starting a member.", job=task.job)


def _zone_in_service(world: World) -> bool:
    zone = world.agreed.availability_zones.get(world.identity.availability_zone)
    return zone is not None and zone.in_service


@system(Phase.MEMBERSHIP, roles=(Role.SIDECAR,))
def stop_lapsed(world: World, now_ms: int) -> None:
    """Stop members whose lease has lapsed."""
    for state in HELD_STATES:
        for task in world.tasks.find("state", state):
            if task.lease_ms <= now_ms:
                note(world, "member.lapse", "The lease has lapsed.", job=task.job)
                stop_task(world, task, now_ms)


@system(Phase.ACT, roles=(Role.SIDECAR,))
def renew_tasks(world: World, now_ms: int) -> None:
    """Renew the worker's leases and ask for task states, once a period."""
    if not world.log_view.caught_up or now_ms < world.renew_ms:
        return
    held = [row for state in HELD_STATES for row in world.tasks.find("state", state)]
    stopping = world.tasks.count("state", TaskState.STOPPING)
    if world.adopted and not held and not stopping:
        return
    world.renew_ms = now_ms + effective_value(world.agreed, "job.poll_ms")
    world.deadlines.add(world.renew_ms)
    lease_ms = min((row.lease_ms - now_ms for row in held), default=0)
    task_ids = tuple(row.task_id for row in held)
    world.outbox.put(RenewTasks(task_ids, lease_ms, _order_timeout_ms(world)))


@system(Phase.INTAKE, roles=(Role.SIDECAR,))
def take_worker_answers(world: World, now_ms: int) -> None:
    """Bring the rows of members in line with what the worker says."""
    for done in world.inbox.take(WorkerDone):
        if done.order in (ORDER_RENEW, ORDER_LIST):
            _take_states(world, done, now_ms)
            continue
        task = world.tasks.get(done.task_id)
        if task is not None:
            _take_order(world, task, done)


def _take_order(world: World, task: MemberTask, done: WorkerDone) -> None:
    if done.order == ORDER_RESERVE and task.state is TaskState.RESERVING:
        state = TaskState.RESERVED if done.ok else TaskState.REFUSED
        world.tasks.update(task.task_id, state=state)
    elif done.order == ORDER_START and task.state is TaskState.STARTING:
        state = TaskState.RUNNING if done.ok else TaskState.FAILED
        world.tasks.update(task.task_id, state=state)
    elif done.order == ORDER_CHECKPOINT and task.state is TaskState.STOPPING:
        world.outbox.put(StopTask(task.task_id, _order_timeout_ms(world)))
    elif done.order == ORDER_STOP and done.ok:
        world.tasks.update(task.task_id, state=TaskState.STOPPED)
    if not done.ok:
        text = f"Order {done.order} failed: {done.reason}."
        note(world, "member.order", text, job=task.job)


def _take_states(world: World, done: WorkerDone, now_ms: int) -> None:
    if not done.ok:
        return
    for item in done.tasks:
        task = world.tasks.get(item.task_id)
        if task is None:
            _adopt(world, item, now_ms)
        elif item.state in ENDED_STATES and task.state in HELD_STATES:
            world.tasks.update(task.task_id, state=item.state, result=item.result)
        elif item.state in ENDED_STATES and task.state is TaskState.STOPPING:
            world.tasks.update(task.task_id, state=TaskState.STOPPED)
        elif task.state is TaskState.STOPPING:
            world.outbox.put(StopTask(task.task_id, _order_timeout_ms(world)))
    world.adopted = True


def _adopt(world: World, item: WorkerTask, now_ms: int) -> None:
    """Take over a task of an earlier sidecar process, or stop it."""
    job, incarnation, member = item.task_id.rsplit("/", 2)
    gang = world.agreed.gangs.get(gang_key(job, int(incarnation)))
    if gang is None or gang.state is GangState.STOPPING:
        world.outbox.put(StopTask(item.task_id, _order_timeout_ms(world)))
        return
    world.tasks.put(
        MemberTask(
            item.task_id,
            job,
            int(incarnation),
            int(member),
            item.state,
            now_ms + _lease_ms(world, gang),
            result=item.result,
        )
    )
    note(world, "member.adopt", "Took over a member.", job=job)
