"""Units that a decision need not try, as others with the same demand have just failed.

Within a decision free capacity only shrinks, so what did not fit once does not fit
later. What depends on the tasks themselves is tried for each unit: minions to avoid,
reservations, and limits per minion.
"""

from kingcuppost.batch.systems.candidates import Decision
from kingcuppost.batch.systems.preference_waits import fits_since_ms
from kingcuppost.batch.systems.speeds import corrected_estimate_ms
from kingcuppost.batch.tables.decision import Demand, FailedTry, PlacementUnit
from kingcuppost.batch.tables.waiting import WaitReason

__all__ = ["find_failed_try", "remember_failed_try"]

LASTING_REASONS = (WaitReason.NO_MINION, WaitReason.NO_CAPACITY, WaitReason.LOCALITY)


def _demand_of(unit: PlacementUnit) -> Demand | None:
    """Return the demand of a unit; None if its placement depends on its tasks."""
    spec, policy = unit.spec, unit.plan.job.policy
    if spec.most_per_minion or any(task.avoided_minions for task in unit.tasks):
        return None
    return Demand(
        unit.rank,
        unit.may_preempt,
        policy.priority,
        policy.service,
        spec.label,
        spec.rack,
        spec.cpu_millis,
        spec.memory_mb,
        spec.accelerators,
        spec.estimate_ms,
        corrected_estimate_ms(unit.plan, unit.step),
        spec.one_rack,
        spec.count if spec.gang else 0,
    )


def find_failed_try(decision: Decision, unit: PlacementUnit) -> FailedTry | None:
    """Return the failed try of an equivalent unit that holds for a unit, or None.

    One that waits for a rack holds for units that have waited no longer.
    """
    failed = decision.round.failed_tries.get(_demand_of(unit))
    if failed is None or failed.reason is not WaitReason.LOCALITY:
        return failed
    return failed if fits_since_ms(decision, unit) >= failed.fits_since_ms else None


def remember_failed_try(
    decision: Decision, unit: PlacementUnit, failed: FailedTry
) -> None:
    """Let units that are equivalent to one that was left waiting not be tried."""
    demand = _demand_of(unit) if unit.tasks else None
    if demand is not None and failed.reason in LASTING_REASONS:
        decision.round.failed_tries[demand] = failed
