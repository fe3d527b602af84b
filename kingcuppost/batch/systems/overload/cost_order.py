"""The order "cost": under overload, the work that costs callers least waits.

It acts within one rank. While the forecast says that all jobs can be in time, the order
is that of "deadline"; urgent work within its team's guarantee always has that one.
"""

from collections.abc import Iterable

from kingcuppost.batch.systems.overload.demotions import note_demotions
from kingcuppost.batch.systems.overload.forecast import (
    in_flight_ms,
    running_ms,
    service_rate,
    unit_work_ms,
)
from kingcuppost.batch.systems.overload.job_order import order_jobs
from kingcuppost.batch.systems.overload.served_shares import may_lose_large, note_job
from kingcuppost.batch.systems.queue_order import (
    OVERTAKE_LIMIT_MS,
    OrderInputs,
    order_by_deadline,
    queue_orders,
)
from kingcuppost.batch.systems.timeliness import LATE_FACTOR
from kingcuppost.batch.tables.decision import PlacementUnit
from kingcuppost.batch.tables.job_load import IN_TIME, JobLoad
from kingcuppost.batch.tables.overload import Rate, ServedShare

__all__ = ["order_by_cost"]


@queue_orders.register("cost")
def order_by_cost(
    units: list[PlacementUnit], inputs: OrderInputs
) -> list[PlacementUnit]:
    """Return units such that the jobs that cost callers least wait under overload.

    The jobs of each service are ordered apart from those of others, with which they do
    not compete, and take the places that "deadline" gives to that service.
    """
    units = order_by_deadline(units, inputs)
    by_service: dict[str, list[PlacementUnit]] = {}
    for unit in units:
        by_service.setdefault(unit.plan.job.policy.service, []).append(unit)
    ordered = {
        service: iter(_order_service(rows, service, inputs))
        for service, rows in by_service.items()
    }
    return [next(ordered[unit.plan.job.policy.service]) for unit in units]


def _order_service(
    units: list[PlacementUnit], service: str, inputs: OrderInputs
) -> list[PlacementUnit]:
    """Return the units of one rank and service in the order "cost"."""
    rate = _rate_of(service, inputs)
    if not rate.cpu_millis:
        return units
    loads = _list_loads(units, inputs, rate)
    before_ms = _work_before_ms(units, service, inputs, rate)
    work_ms = sum(load.work_ms for load in loads)
    inputs.preceding_ms[service] = inputs.preceding_ms.get(service, 0.0) + work_ms
    if units[0].is_guaranteed:
        return units
    schedule = inputs.world.schedule
    priority = units[0].plan.job.policy.priority
    in_flight = in_flight_ms(schedule.running_work, service, priority, units)
    share = schedule.served_shares.setdefault((units[0].rank, service), ServedShare())
    judged = [load for load in loads if _has_target(load)]
    _note_jobs(judged, share)
    ordered = order_jobs(
        judged,
        before_ms - in_flight,
        inputs.wall_ms,
        lambda load: _may_abandon(load, share),
    )
    note_demotions(judged, share, inputs, rate, before_ms + work_ms)
    if all(load.demotions == IN_TIME for load in judged):
        return units
    first = [load for load in loads if load.is_exempt]
    ordered = [load for load in ordered if not load.is_exempt]
    last = [load for load in loads if not (load.is_exempt or _has_target(load))]
    return [unit for load in [*first, *ordered, *last] for unit in load.units]


def _work_before_ms(
    units: list[PlacementUnit], service: str, inputs: OrderInputs, rate: Rate
) -> float:
    """Return the work that precedes units of one rank, as a time of the service, in ms.

    These are the runs of their rank and of more urgent ones, the waiting work of more
    urgent ranks, and what the decision has left waiting before plans were added.
    """
    rank, priority = units[0].rank, units[0].plan.job.policy.priority
    tried_ms = sum(
        work_ms
        for (tried_rank, tried_service), work_ms in inputs.round.tried_ms.items()
        if tried_rank <= rank and tried_service == service
    )
    rows = inputs.world.schedule.running_work
    run_ms = running_ms(rows, service, priority, rate, inputs.wall_ms)
    return run_ms + tried_ms + inputs.preceding_ms.get(service, 0.0)


def _rate_of(service: str, inputs: OrderInputs) -> Rate:
    """Return the rate of a service, which is determined once in a decision."""
    rates = inputs.round.rates
    if service not in rates:
        rates[service] = service_rate(inputs.world, service)
    return rates[service]


def _list_loads(
    units: Iterable[PlacementUnit], inputs: OrderInputs, rate: Rate
) -> list[JobLoad]:
    """Return the jobs of units, each where its first unit is."""
    loads: dict[str, JobLoad] = {}
    for unit in units:
        job = unit.plan.job
        load = loads.get(job.id)
        if load is None:
            target_ms = unit.target_end_ms - job.accepted_ms
            last_due_ms = job.accepted_ms + LATE_FACTOR * target_ms
            load = JobLoad(unit.plan, [], (unit.target_end_ms, last_due_ms))
            waited_ms = inputs.wall_ms - unit.target_end_ms
            load.is_exempt = waited_ms > OVERTAKE_LIMIT_MS
            loads[job.id] = load
        load.units.append(unit)
        load.work_ms += unit_work_ms(unit, rate)
        if unit.plan.chains is not None:
            chain_ms = unit.plan.chains.chains_ms[unit.step]
            load.path_ms = max(load.path_ms, chain_ms)
    return list(loads.values())


def _has_target(load: JobLoad) -> bool:
    """Return whether a job has a target; one without estimates has none."""
    return load.due_ms[0] > load.plan.job.accepted_ms


def _note_jobs(loads: list[JobLoad], share: ServedShare) -> None:
    """Count jobs that are new to their rank; protect large ones if few are served."""
    for load in loads:
        if load.plan.order_state is None:
            load.plan.order_state = note_job(share, load.work_ms)
    if not may_lose_large(share):
        for load in loads:
            load.is_protected = load.plan.order_state.is_large


def _may_abandon(load: JobLoad, share: ServedShare) -> bool:
    """Return whether a job may be given up, so that large ones are served as well."""
    return not load.plan.order_state.is_large or may_lose_large(share)
