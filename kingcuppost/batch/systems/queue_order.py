"""Order in which the waiting units of one rank are scheduled, by policy.

The order matters under a burst, when more work waits than can be done in time: what can
still be in time goes first, so that one job that is late does not make all others late.
"""

from collections.abc import Callable

from kingcuppost.batch.tables.decision import PlacementUnit, Timeliness
from kingcuppost.utils.registry import Registry

__all__ = ["queue_orders"]

OVERTAKE_LIMIT_MS = 60_000  # a job that is late waits no longer for those in time

OrderKey = Callable[[PlacementUnit, int], tuple]
queue_orders: Registry[str, OrderKey] = Registry("order of the queue")


@queue_orders.register("arrival")
def order_by_arrival(unit: PlacementUnit, wall_ms: int) -> tuple:
    """Return a key that puts older jobs first."""
    return (unit.plan.job.accepted_ms,)


@queue_orders.register("deadline")
def order_by_deadline(unit: PlacementUnit, wall_ms: int) -> tuple:
    """Return a key that puts jobs that can still be in time first, then late ones.

    Among equals the earliest target goes first. A job that has waited for
    `OVERTAKE_LIMIT_MS` after its target counts as one that can still be in time.
    """
    timeliness = unit.timeliness
    if wall_ms - unit.target_end_ms > OVERTAKE_LIMIT_MS:
        timeliness = Timeliness.IN_TIME
    return (timeliness, unit.target_end_ms, unit.plan.job.accepted_ms)
