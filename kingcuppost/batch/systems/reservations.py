"""Reservations: capacity that is being released for a task is kept for it.

A preempted run needs a while to stop. Without a reservation, another unit that comes
first in the queue takes the capacity, and the work of the stopped run is lost for
nothing.
"""

from kingcuppost.batch.systems.candidates import Decision, stop_limit_ms
from kingcuppost.batch.systems.placement import (
    add_resources,
    copy_resources,
    subtract_resources,
    subtract_tasks,
)
from kingcuppost.batch.tables.decision import Candidate, PlacementUnit, Reservation
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import MinionIncarnation, StepSpec
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.task import Task

__all__ = ["hold_reserved", "release_reserved", "reserve_for_tasks"]


def reserve_for_tasks(decision: Decision, tasks: list[Task], minion: MinionRow) -> None:
    """Keep capacity of a minion for tasks until stopped runs must have ended there."""
    until_ms = decision.now_ms + stop_limit_ms(decision.world.cfg.bounds)
    for task in tasks:
        task.reserved_incarnation = minion.incarnation
        task.reserved_until_ms = until_ms


def hold_reserved(decision: Decision, rank: int) -> None:
    """Keep what is reserved for the units of one rank from the other units.

    Capacity that is being released for one of them is kept from the others of its rank,
    but not from more urgent ones, which are scheduled before. What was held for units
    of another rank is free again.
    """
    round_ = decision.round
    by_incarnation = {
        candidate.minion.incarnation: candidate for candidate in round_.candidates
    }
    units = round_.units[round_.next_index :]
    for unit in units:
        release_reserved(unit)
    for unit in units:
        if unit.rank == rank:
            _hold_for_unit(decision, unit, by_incarnation)
    round_.held_rank = rank


def _hold_for_unit(
    decision: Decision,
    unit: PlacementUnit,
    candidates: dict[MinionIncarnation, Candidate],
) -> None:
    """Subtract what is reserved for a unit from the free capacity of candidates."""
    for task in unit.tasks:
        candidate = candidates.get(task.reserved_incarnation)
        if candidate is not None and decision.now_ms < task.reserved_until_ms:
            unit.held.append(_hold(candidate, unit.spec))


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


def release_reserved(unit: PlacementUnit) -> None:
    """Add what is held for a unit to the free capacity of the candidates again."""
    for reservation in unit.held:
        candidate = reservation.candidate
        subtract_tasks(candidate.free_after_stops, unit.spec, -1)
        add_resources(candidate.free_now, reservation.free_now)
        if candidate.free_soon is not None:
            add_resources(candidate.free_soon, reservation.free_now)
    unit.held.clear()
