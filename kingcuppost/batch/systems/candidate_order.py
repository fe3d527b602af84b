"""Groups and order in which a placement unit tries its candidates.

Designed for loads in which urgent gangs need whole racks that overnight work must leave
free, and a quarter of the minions work at half the speed.
"""

from kingcuppost.batch.systems.placement import (
    CandidateSortKey,
    choose_candidates,
    count_fitting_tasks,
    fits_idle,
    limit_per_minion,
)
from kingcuppost.batch.tables.decision import Candidate, PlacementUnit
from kingcuppost.batch.tables.job import StepSpec

__all__ = ["make_sort_key", "preferred_groups"]

SPEED_STEPS_PER_UNIT = 4  # speeds within one step count as equal
MIN_DELAY_TOLERANT_PRIORITY = 2


def preferred_groups(
    unit: PlacementUnit, candidates: list[Candidate]
) -> list[list[Candidate]]:
    """Return the racks where a unit runs fast, best first; empty without a preference.

    Racks that would not hold it if they were idle are left out.
    """
    spec = unit.spec
    if spec.one_rack and spec.gang:
        racks = [rack for rack in _group_by_rack(candidates) if fits_idle(spec, rack)]
        if racks:
            return sorted(racks, key=lambda rack: _rack_sort_key(unit, rack))
    if spec.rack:
        in_rack = [
            candidate for candidate in candidates if candidate.minion.rack == spec.rack
        ]
        if fits_idle(spec, in_rack):
            return [in_rack]
    return []


def _group_by_rack(candidates: list[Candidate]) -> list[list[Candidate]]:
    racks: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        racks.setdefault(candidate.minion.rack, []).append(candidate)
    return list(racks.values())


def _rack_sort_key(unit: PlacementUnit, rack: list[Candidate]) -> tuple:
    """Return the sort key of a rack.

    For urgent units, racks where all tasks fit at once come first, and of these the one
    whose slowest chosen minion is fastest. Other racks follow, the fullest first. For
    other units the fullest rack comes first. In a wave of departures, the fewest chosen
    minions that may leave come before speed and fullness.
    """
    free = sum(candidate.free_now.accelerators for candidate in rack)
    is_in_wave = any(candidate.may_depart for candidate in rack)
    if not unit.is_urgent and not is_in_wave:
        return (0, free)
    chosen = choose_candidates(rack, unit.spec, len(unit.tasks), make_sort_key(unit))
    departing = len({item.minion.sidecar for item in chosen if item.may_depart})
    if not unit.is_urgent:
        return (departing, free)
    if len(chosen) < len(unit.tasks):
        return (1, 0, 0.0, free)
    speed = min(candidate.minion.speed.value for candidate in chosen)
    return (0, departing, -speed, free)


def make_sort_key(unit: PlacementUnit) -> CandidateSortKey:
    """Return the function that gives the sort key of a candidate for a unit.

    Urgent units prefer reliable and fast minions. Other units fill up racks and minions
    that are nearly full, so that whole racks stay free for urgent gangs. Delay-tolerant
    units prefer slow minions and leave the fast ones to others. The last attempt of a
    task prefers a minion that has completed a run before. All units
    prefer minions that are not likely to leave. Where minions depart, a gang
    prefers few minions, since each one that leaves ends the work of all members.
    """
    is_last_attempt = unit.is_last_attempt
    is_delay_tolerant = unit.plan.job.policy.priority >= MIN_DELAY_TOLERANT_PRIORITY

    def sort_key(candidate: Candidate, step: StepSpec) -> tuple:
        minion = candidate.minion
        free_resources = (
            candidate.free_after_stops.accelerators,
            candidate.free_after_stops.cpu_millis,
        )
        risk = minion.failures + (
            0 if minion.has_completed_run else 1 if is_last_attempt else 0
        )
        departs = candidate.may_depart
        held = _count_members(unit, candidate)
        if unit.is_urgent:
            speed = round(minion.speed.value * SPEED_STEPS_PER_UNIT)
            return (risk, departs, -speed, -held, *free_resources, minion.sidecar)
        wastes_fast_minion = is_delay_tolerant and not candidate.is_slow
        return (
            risk,
            departs,
            wastes_fast_minion,
            -held,
            candidate.rack_free_accelerators[0],
            *free_resources,
            -minion.speed.value,
            minion.sidecar,
        )

    return sort_key


def _count_members(unit: PlacementUnit, candidate: Candidate) -> int:
    """Return how many members of a gang a candidate holds; 0 if no minions depart."""
    if not unit.spec.gang or not candidate.in_changing_service:
        return 0
    limit = limit_per_minion(candidate, unit.spec, len(unit.tasks))
    return count_fitting_tasks(candidate.free_now, unit.spec, limit)
