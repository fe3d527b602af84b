"""Names of worker orders and of the states that members pass."""

from kingcuppost.settings import effective_value
from kingcuppost.tables.job import Gang, gang_key
from kingcuppost.tables.task import MemberTask, TaskState
from kingcuppost.tables.world import World

__all__ = [
    "ENDED_STATES",
    "HELD_STATES",
    "OPEN_STATES",
    "ORDER_CHECKPOINT",
    "ORDER_RENEW",
    "ORDER_RESERVE",
    "ORDER_START",
    "ORDER_STOP",
    "gang_of",
    "order_timeout_ms",
    "task_id_of",
    "is_zone_in_service",
]

ENDED_STATES = frozenset(
    {TaskState.FINISHED, TaskState.FAILED, TaskState.STOPPED, TaskState.REFUSED}
)
HELD_STATES = (TaskState.RESERVED, TaskState.STARTING, TaskState.RUNNING)
OPEN_STATES = (TaskState.RESERVING, *HELD_STATES)
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


def gang_of(world: World, task: MemberTask) -> Gang | None:
    """Return the gang that a member belongs to, unless it has ended."""
    return world.agreed.gangs.get(gang_key(task.job, task.incarnation))


def order_timeout_ms(world: World) -> int:
    """Return how long an order to the worker may take, in ms."""
    return effective_value(world.agreed, "job.worker_timeout_ms")


def is_zone_in_service(world: World) -> bool:
    """Return whether this process's availability zone is in service."""
    zone = world.agreed.availability_zones.get(world.identity.availability_zone)
    return zone is not None and zone.in_service
