"""Names of worker orders, and the bounds that members are held to."""

from kingcuppost.settings import effective_value, team_path
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
    "confirm_ms",
    "gang_of",
    "lease_ms",
    "order_timeout_ms",
    "reservation_ms",
    "task_id_of",
    "zone_in_service",
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
START_BOUND_MS = 3_000
START_MARGIN_MS = 250
CONFIRMS_PER_LEASE = 2


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


def lease_ms(world: World, gang: Gang) -> int:
    """Return how long members may run after the gang was last whole, in ms."""
    return effective_value(world.agreed, "job.lease_ms", team_path(gang.team))


def confirm_ms(world: World, gang: Gang) -> int:
    """Return how long one confirmation by the leader lasts, in ms.

    The leader hears a member for the last time up to this long before it calls
    the gang broken, and its last confirmation lasts this long: together the lease.
    """
    return lease_ms(world, gang) // CONFIRMS_PER_LEASE


def reservation_ms(world: World) -> int:
    """Return how long the worker holds a reservation without a renewal, in ms.

    A start order that is late in flight takes effect only while the reservation
    holds. So a start follows the view that it rests on by no more than the age of
    that view and this time, which together stay below `START_BOUND_MS`.
    """
    wanted_ms = effective_value(world.agreed, "job.reservation_ms")
    fresh_ms = effective_value(world.agreed, "log.fresh_ms")
    return min(wanted_ms, START_BOUND_MS - START_MARGIN_MS - fresh_ms)


def zone_in_service(world: World) -> bool:
    """Return whether this process's availability zone is in service."""
    zone = world.agreed.availability_zones.get(world.identity.availability_zone)
    return zone is not None and zone.in_service
