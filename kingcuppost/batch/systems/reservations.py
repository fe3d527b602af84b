"""Reservations: capacity that is being released for a task is kept for it.

A preempted run needs a while to stop. Without a reservation, another unit that comes
first in the queue takes the capacity, and the work of the stopped run is lost for
nothing.
"""

from dataclasses import dataclass

from kingcuppost.batch.systems.candidates import Decision, stop_limit_ms
from kingcuppost.batch.systems.placement import (
    Candidate,
    add_resources,
    copy_resources,
    subtract_resources,
    subtract_tasks,
)
from kingcuppost.batch.systems.units import PlacementUnit
from kingcuppost.batch.tables.fleet import MinionRow, Resources
from kingcuppost.batch.tables.job import MinionIncarnation, StepSpec
from kingcuppost.batch.tables.plan import Task

__all__ = ["Reservation", "hold_reserved", "release_reserved", "reserve_for_tasks"]


@dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity of a candidate that is kept for one task during a decision.

    Attributes
    ----------
    free_now : Resources
        The part that other units could have used at once.
    """

    candidate: Candidate
    free_now: Resources


def reserve_for_tasks(decision: Decision, tasks: list[Task], minion: MinionRow) -> None:
    """Keep capacity of a minion for tasks until stopped runs must have ended there."""
    until_ms = decision.now_ms + stop_limit_ms(decision.world.cfg.bounds)
    for task in tasks:
        task.reserved_incarnation = minion.incarnation
        task.reserved_until_ms = until_ms


def hold_reserved(
    decision: Decision,
    unit: PlacementUnit,
    candidates: dict[MinionIncarnation, Candidate],
) -> list[Reservation]:
    """Subtract what is reserved for a unit from the free capacity of candidates."""
    held = []
    for task in unit.tasks:
        candidate = candidates.get(task.reserved_incarnation)
        if candidate is not None and decision.now_ms < task.reserved_until_ms:
            held.append(_hold(candidate, unit.spec))
    return held


def _hold(candidate: Candidate, step: StepSpec) -> Reservation:
    """Subtract the demand of a task from what remains free after the stops.

    Capacity that is free now stays so as far as it is not needed for the task then.
    """
    subtract_tasks(candidate.free_after_stops, step)
    remaining, free = candidate.free_after_stops, candidate.free_now
    taken = Resources(
        max(free.cpu_millis - max(remaining.cpu_millis, 0), 0),
        max(free.memory_mb - max(remaining.memory_mb, 0), 0),
        max(free.accelerators - max(remaining.accelerators, 0), 0),
    )
    subtract_resources(free, taken)
    return Reservation(candidate, copy_resources(taken))


def release_reserved(unit: PlacementUnit, held: list[Reservation]) -> None:
    """Add what was reserved for a unit to the free capacity of the candidates again."""
    for reservation in held:
        candidate = reservation.candidate
        subtract_tasks(candidate.free_after_stops, unit.spec, -1)
        add_resources(candidate.free_now, reservation.free_now)
        if candidate.free_soon is not None:
            add_resources(candidate.free_soon, reservation.free_now)
