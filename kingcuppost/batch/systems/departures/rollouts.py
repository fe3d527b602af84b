"""Whether a gang that would probably be lost in a rollout waits for its end.

Designed for rollouts that replace most minions of a service within the time that a wide
gang takes. Such a gang loses a member again and again, and keeps capacity from work
that would end. Departures count as independent of each other, at the pace of the
rollout so far, so the chance to outlast them falls exponentially with the number of the
minions and with the duration. Urgent work and work that saves checkpoints do not wait.
"""

from math import exp

from kingcuppost.batch.systems.decision import Decision, decide_again
from kingcuppost.batch.systems.preference_waits import (
    PLENTIFUL_WAIT_MS,
    fits_since_ms,
    is_plentiful,
)
from kingcuppost.batch.systems.speeds import corrected_estimate_ms
from kingcuppost.batch.tables.decision import Candidate, PlacementUnit

__all__ = ["defer_for_rollout", "survival_chance"]

MIN_SURVIVAL_CHANCE = 0.5  # below, the work is more likely lost than done
CHECK_PERIOD_MS = 500
MIN_SPEED = 0.05  # smallest speed that is used as a divisor


def defer_for_rollout(
    decision: Decision,
    unit: PlacementUnit,
    chosen: list[Candidate],
    group: list[Candidate],
) -> bool:
    """Return whether a gang waits rather than begin on the chosen minions.

    It waits at most for its own duration, which a lost run would cost as well, and a
    short time while capacity is plentiful. Requests another decision.

    Parameters
    ----------
    group : list of Candidate
        Minions that they were chosen from.
    """
    if not unit.spec.gang or unit.spec.saves or unit.is_urgent:
        return False
    slowest = min(candidate.minion.speed.value for candidate in chosen)
    duration_ms = corrected_estimate_ms(unit.plan, unit.step) / max(slowest, MIN_SPEED)
    if survival_chance(chosen, duration_ms) >= MIN_SURVIVAL_CHANCE:
        return False
    limit_ms = duration_ms
    if is_plentiful(decision, unit, group):
        limit_ms = min(limit_ms, PLENTIFUL_WAIT_MS)
    if decision.now_ms - fits_since_ms(decision, unit) >= limit_ms:
        return False
    unit.awaits_rollout = True
    decide_again(decision, decision.now_ms + CHECK_PERIOD_MS)
    return True


def survival_chance(chosen: list[Candidate], duration_ms: float) -> float:
    """Return the chance that none of the chosen minions leaves within a duration."""
    rates = {item.minion.sidecar: item.departure_rate for item in chosen}
    return exp(-sum(rates.values()) * duration_ms)
