"""Forecast of the time that a service needs for the work that is ahead of a unit.

The service is taken as a fluid: all of its minions together work on what is ahead.
Work is measured in milliseconds of the whole service, by the resource of which a task
needs the largest share, since that one limits how many tasks run at once.
"""

from collections.abc import Iterator
from math import inf

from kingcuppost.batch.systems.overload.running_work import (
    RunningRows,
    remaining_work,
    task_weight_millis,
)
from kingcuppost.batch.systems.speeds import corrected_estimate_ms
from kingcuppost.batch.tables.decision import PlacementUnit
from kingcuppost.batch.tables.overload import Rate, RunningWork
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.world import BatchWorld

__all__ = [
    "in_flight_ms",
    "running_ms",
    "service_rate",
    "share_of_service",
    "unit_work_ms",
]


def service_rate(world: BatchWorld, service: str) -> Rate:
    """Return the rate of the minions of a service that may be given tasks.

    An empty service stands for all minions.
    """
    cpu_millis = memory_mb = accelerators = 0.0
    for minion in world.schedule.minions:
        if (
            minion.draining
            or minion.is_unreachable
            or minion.availability_zone in world.agreed.closed_zones
            or service not in ("", minion.service)
        ):
            continue
        speed = minion.speed.value
        cpu_millis += speed * minion.resources.cpu_millis
        memory_mb += speed * minion.resources.memory_mb
        accelerators += speed * minion.resources.accelerators
    return Rate(cpu_millis, memory_mb, accelerators)


def share_of_service(demand: Resources, rate: Rate) -> float:
    """Return the largest share that a demand has of any resource of a service.

    The result is infinite if the service lacks a resource.

    Examples
    --------
    >>> share_of_service(Resources(11_000, 0, 1), Rate(128_000, 256_000, 8))
    0.125
    """
    shares = [
        required / available if available else inf
        for required, available in (
            (demand.cpu_millis, rate.cpu_millis),
            (demand.memory_mb, rate.memory_mb),
            (demand.accelerators, rate.accelerators),
        )
        if required
    ]
    return max(shares, default=0.0)


def unit_work_ms(unit: PlacementUnit, rate: Rate) -> float:
    """Return how long a service works on the tasks of a unit, in ms.

    A unit without an estimate, or one that the service can never run, counts as none.
    """
    spec = unit.spec
    demand = Resources(spec.cpu_millis, spec.memory_mb, spec.accelerators)
    share = share_of_service(demand, rate)
    if share == inf:
        return 0.0
    return share * len(unit.tasks) * corrected_estimate_ms(unit.plan, unit.step)


def running_ms(
    rows: RunningRows, service: str, priority: int, rate: Rate, wall_ms: int
) -> float:
    """Return how long a service works on the runs of a priority and more urgent ones.

    Parameters
    ----------
    wall_ms : int
        Current Unix time, in ms.
    """
    total_ms = 0.0
    for row in _rows_of(rows, service, priority):
        share_ms = share_of_service(remaining_work(row, wall_ms), rate)
        total_ms += share_ms if share_ms != inf else 0.0
    return total_ms


def in_flight_ms(
    rows: RunningRows, service: str, priority: int, units: list[PlacementUnit]
) -> float:
    """Return the work that a full service always has in flight, in ms.

    Runs of unequal age have half of their duration left on average. A unit starts once
    only that much of what is ahead of it is left, since its own tasks take the place of
    runs that end; it does not wait until all of them have ended.
    """
    weight = weighted_ms = 0.0
    for row in _rows_of(rows, service, priority):
        weight += row.weight
        weighted_ms += row.weighted_ms
    for unit in units:
        unit_weight = task_weight_millis(unit.spec) * len(unit.tasks)
        weight += unit_weight
        weighted_ms += unit_weight * corrected_estimate_ms(unit.plan, unit.step)
    return weighted_ms / weight / 2 if weight else 0.0


def _rows_of(rows: RunningRows, service: str, priority: int) -> Iterator[RunningWork]:
    """Yield the rows of runs on a service of a priority and more urgent ones."""
    for (run_service, run_priority), row in rows.items():
        is_on_service = run_service in ("", service) or not service
        if is_on_service and run_priority <= priority:
            yield row
