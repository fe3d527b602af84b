"""Order in which the waiting units of one rank are scheduled, by policy.

The order matters under a burst, when more work waits than can be done in time: what can
still be in time goes first, so that one job that is late does not make all others late.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from kingcuppost.batch.tables.decision import (
    DecisionRound,
    PlacementUnit,
    Timeliness,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.utils.registry import Registry

__all__ = [
    "OVERTAKE_LIMIT_MS",
    "OrderInputs",
    "QueueOrder",
    "order_by_deadline",
    "queue_orders",
]

OVERTAKE_LIMIT_MS = 60_000  # a job that is late waits no longer for those in time


@dataclass(frozen=True, slots=True)
class OrderInputs:
    """What an order of the queue depends on besides the units of one rank.

    Attributes
    ----------
    world : BatchWorld
        Tables of the process.
    round : DecisionRound
        Decision that the units are part of.
    now_ms, wall_ms : int
        Time by the monotonic clock, and as Unix time in ms.
    preceding_ms : dict of str to float
        Waiting work of more urgent ranks by service, as the time for which the service
        works on it; orders that forecast ends add that of their own rank.
    """

    world: BatchWorld
    round: DecisionRound
    now_ms: int
    wall_ms: int
    preceding_ms: dict[str, float] = field(default_factory=dict)


QueueOrder = Callable[[list[PlacementUnit], OrderInputs], list[PlacementUnit]]
queue_orders: Registry[str, QueueOrder] = Registry("order of the queue")


@queue_orders.register("arrival")
def order_by_arrival(
    units: list[PlacementUnit], inputs: OrderInputs
) -> list[PlacementUnit]:
    """Return units with those of older jobs first."""
    return sorted(units, key=lambda unit: unit.plan.job.accepted_ms)


@queue_orders.register("deadline")
def order_by_deadline(
    units: list[PlacementUnit], inputs: OrderInputs
) -> list[PlacementUnit]:
    """Return units of jobs that can still be in time first, then those of late ones.

    Among equals the earliest target goes first. A job that has waited for
    `OVERTAKE_LIMIT_MS` after its target counts as one that can still be in time.
    """

    def sort_key(unit: PlacementUnit) -> tuple:
        timeliness = unit.timeliness
        if inputs.wall_ms - unit.target_end_ms > OVERTAKE_LIMIT_MS:
            timeliness = Timeliness.IN_TIME
        return (timeliness, unit.target_end_ms, unit.plan.job.accepted_ms)

    return sorted(units, key=sort_key)
