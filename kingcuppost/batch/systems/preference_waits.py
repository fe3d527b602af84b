"""How long a unit waits for minions that it prefers while others would hold it.

A preference only saves time: one rack for a gang, the rack of the data, and minions
where no run of the unit has failed. Services, labels and limits per minion are
requirements, which never end.

As in delay scheduling (Zaharia et al., EuroSys 2010), the wait for a preference is
bounded. It lasts no longer than it can pay, and only a short time while capacity is
plentiful, since work that runs elsewhere then takes nothing from others. It counts from
the first decision in which the free capacity would have held the unit, and not anew
when the fleet changes.
"""

from math import ceil

from kingcuppost.batch.systems.decision import Decision, decide_again
from kingcuppost.batch.systems.placement import add_resources, fits_now
from kingcuppost.batch.systems.release_times import expected_release_ms
from kingcuppost.batch.systems.speeds import corrected_estimate_ms
from kingcuppost.batch.systems.units import service_capacity
from kingcuppost.batch.tables.decision import Candidate, PlacementUnit
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.waiting import StepName
from kingcuppost.batch.tables.world import BatchWorld

__all__ = [
    "PLENTIFUL_WAIT_MS",
    "fits_since_ms",
    "is_plentiful",
    "waits_for_other_minions",
    "waits_for_rack",
]

PLENTIFUL_WAIT_MS = 2_000  # well below the 3 s after which callers count work as lost
PLENTIFUL_TIMES = 2
MIN_FREE_RATIO = 0.5  # of the processors or of the accelerators


def waits_for_rack(
    decision: Decision,
    unit: PlacementUnit,
    groups: list[list[Candidate]],
    candidates: list[Candidate],
) -> bool:
    """Return whether a unit waits for a rack where it runs fast.

    Requests another decision for the time at which the wait ends.

    Parameters
    ----------
    groups : list of list of Candidate
        The minions of each rack where it runs fast.
    candidates : list of Candidate
        All minions where it may run.
    """
    if not fits_now(unit.spec, candidates):
        return False
    waited_ms = decision.now_ms - fits_since_ms(decision, unit)
    gain_ms = _gain_ms(decision, unit)
    limit_ms = gain_ms
    if is_plentiful(decision, unit, candidates):
        limit_ms = min(gain_ms, PLENTIFUL_WAIT_MS)
    if waited_ms >= limit_ms:
        return False
    release_ms = min(expected_release_ms(decision, unit, group) for group in groups)
    if waited_ms + release_ms > gain_ms:
        return False
    decide_again(decision, decision.now_ms + ceil(limit_ms - waited_ms))
    return True


def _gain_ms(decision: Decision, unit: PlacementUnit) -> float:
    """Return the time that a unit saves in a rack where it runs fast, in ms."""
    estimate_ms = corrected_estimate_ms(unit.plan, unit.step)
    if not estimate_ms:
        return PLENTIFUL_WAIT_MS
    return (decision.world.cfg.bounds.remote_factor - 1) * estimate_ms


def waits_for_other_minions(
    decision: Decision, unit: PlacementUnit, candidates: list[Candidate]
) -> bool:
    """Return whether a unit waits for minions where no run of it has failed.

    Requests another decision for the time at which the wait ends.

    Parameters
    ----------
    candidates : list of Candidate
        All minions where it may run.
    """
    until_ms = max(task.avoid_until_ms for task in unit.tasks)
    if is_plentiful(decision, unit, candidates):
        plentiful_until_ms = fits_since_ms(decision, unit) + PLENTIFUL_WAIT_MS
        until_ms = min(until_ms, plentiful_until_ms)
    if decision.now_ms >= until_ms:
        return False
    decide_again(decision, until_ms)
    return True


def fits_since_ms(decision: Decision, unit: PlacementUnit) -> int:
    """Return since when the free capacity would have held a unit that fits now."""
    wait = decision.world.schedule.waits.get(StepName(unit.plan.job.id, unit.step))
    if wait is None or wait.fits_since_ms is None:
        return decision.now_ms
    return wait.fits_since_ms


def is_plentiful(
    decision: Decision, unit: PlacementUnit, candidates: list[Candidate]
) -> bool:
    """Return whether the candidates hold a unit several times, and its service is idle.

    All minions of the service count, also those that may not run the unit.
    """
    if not fits_now(unit.spec, candidates, PLENTIFUL_TIMES):
        return False
    return _free_ratio(decision.world, unit.plan.job.policy.service) > MIN_FREE_RATIO


def _free_ratio(world: BatchWorld, service: str) -> float:
    """Return the free share of a service's processors or accelerators; the larger."""
    total = service_capacity(world, service)
    used = Resources()
    for minion in world.schedule.minions:
        load = world.schedule.loads.get(minion.incarnation)
        if load is not None and service in ("", minion.service):
            add_resources(used, load.used)
    used_ratios = [
        used_amount / total_amount
        for used_amount, total_amount in (
            (used.cpu_millis, total.cpu_millis),
            (used.accelerators, total.accelerators),
        )
        if total_amount
    ]
    return 1 - min(used_ratios, default=0.0)
