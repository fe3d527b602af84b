"""Decisions on all waiting work, in the order of the queue.

A decision that takes long goes on in the next tick, so that the renewal of the lease,
answers to callers and orders to sidecars never wait behind it.
"""

from collections import Counter

from kingcuppost.batch.systems.candidates import (
    Decision,
    eligible_candidates,
    keep_usable,
    list_candidates,
)
from kingcuppost.batch.systems.decision import decide_again
from kingcuppost.batch.systems.decision_rounds import (
    add_new_plans,
    begin_round,
    keep_waiting_tasks,
    list_units,
)
from kingcuppost.batch.systems.equivalent_units import (
    find_failed_try,
    remember_failed_try,
)
from kingcuppost.batch.systems.freshness import (
    is_configuration_current,
    view_age_ms,
)
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.reservations import hold_reserved, release_reserved
from kingcuppost.batch.systems.suspect_minions import probe_suspect_minions
from kingcuppost.batch.systems.term_opening import is_scheduling
from kingcuppost.batch.systems.tick_budget import TickBudget
from kingcuppost.batch.systems.unit_scheduling import schedule_unit
from kingcuppost.batch.systems.waits import forget_ended_waits, note_wait, put_wait
from kingcuppost.batch.tables.decision import DecisionRound, FailedTry, PlacementUnit
from kingcuppost.batch.tables.messages import Stream
from kingcuppost.batch.tables.waiting import WaitReason
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role
from kingcuppost.utils.clock import NEVER_MS

__all__ = ["retry_urgent", "schedule_units"]

URGENT_RETRY_MS = 1_000  # the progress of runs alone triggers no decision
FLEET_QUIET_MS = 100  # without a new minion
MAX_FLEET_SETTLE_MS = 400  # from the begin of a term
CUT_LINE_PERIOD_MS = 1_000


@system(Phase.DECIDE, (Role.ENTRY,), order=20)
def schedule_units(world: BatchWorld, now_ms: int) -> None:
    """Place waiting tasks and preempt other runs for urgent ones.

    Nothing is placed while the operators may have closed a zone unseen. The decision
    stays due, and the next read of their stream triggers a tick.
    """
    schedule = world.schedule
    is_due = schedule.inputs_changed or now_ms >= schedule.decide_at_ms
    if not is_scheduling(world) or not (is_due or schedule.decision_round):
        return
    if _is_paused(world, now_ms):
        _drop_round(world)
        return
    if _is_fleet_settling(world, now_ms):
        return
    if schedule.decision_round is None:
        schedule.inputs_changed = False
        schedule.decide_at_ms = NEVER_MS
        schedule.decision_round = begin_round(world)
    round_ = schedule.decision_round
    round_.tick_count += 1
    decision = Decision(world, now_ms, world.clock.wall_ms(), round_)
    budget = TickBudget(world.clock)
    if list_units(decision, budget) and _schedule_listed(decision, budget):
        _end_round(world, round_, now_ms)
    else:
        _log_cut(world, round_, now_ms)
        world.deadlines.add(now_ms)


def _drop_round(world: BatchWorld) -> None:
    """Give up the decision under way; a new one is due."""
    if world.schedule.decision_round is not None:
        world.schedule.decision_round = None
        world.schedule.inputs_changed = True


def _end_round(world: BatchWorld, round_: DecisionRound, now_ms: int) -> None:
    """End a decision, and request the next one if it has become due meanwhile."""
    schedule = world.schedule
    schedule.decision_round = None
    forget_ended_waits(world, round_.number)
    is_due = schedule.inputs_changed or now_ms >= schedule.decide_at_ms
    if round_.tick_count > 1 and is_due:
        world.deadlines.add(now_ms)


def _log_cut(world: BatchWorld, round_: DecisionRound, now_ms: int) -> None:
    """Log at most once in a period that a decision goes on in the next tick.

    The line names the job with the most units in the decision.
    """
    schedule = world.schedule
    world.tally.add("decision_cuts")
    if now_ms - schedule.cut_logged_ms < CUT_LINE_PERIOD_MS:
        return
    schedule.cut_logged_ms = now_ms
    counts = Counter(unit.plan.job.id for unit in round_.units)
    [(job_id, job_units)] = counts.most_common(1) or [("", 0)]
    world.note(
        "place",
        "A decision goes on in the next tick.",
        ticks=round_.tick_count,
        plans_left=len(round_.unlisted),
        units=len(round_.units),
        units_left=len(round_.units) - round_.next_index,
        job=job_id,
        job_units=job_units,
    )


def _schedule_listed(decision: Decision, budget: TickBudget) -> bool:
    """Schedule the listed units in order; return whether none is left.

    At least one is scheduled, however small the budget.
    """
    round_ = decision.round
    if not round_.units:
        return True
    if round_.candidates is None:
        round_.candidates = list_candidates(decision)
    else:
        round_.candidates = keep_usable(decision, round_.candidates)
        add_new_plans(decision)
    while round_.next_index < len(round_.units):
        unit = round_.units[round_.next_index]
        if unit.rank != round_.held_rank:
            hold_reserved(decision, unit.rank)
        round_.next_index += 1
        _decide_on_unit(decision, unit)
        if budget.is_spent():
            break
    return round_.next_index == len(round_.units)


def _decide_on_unit(decision: Decision, unit: PlacementUnit) -> None:
    """Schedule a unit, unless one with the same demand has just found no capacity."""
    if unit.held:
        # more may be held for the unit than it takes
        decision.round.failed_tries.clear()
    had_reservation = bool(unit.held)
    release_reserved(unit)
    if not keep_waiting_tasks(decision.world, unit):
        return
    retry_urgent(decision, unit)
    failed = None if had_reservation else find_failed_try(decision, unit)
    if failed is not None:
        _wait_as_equivalent(decision, unit, failed)
        return
    tasks = unit.tasks
    eligible = eligible_candidates(unit, decision.round.candidates)
    schedule_unit(decision, unit, eligible)
    probe_suspect_minions(decision, unit, eligible)
    failed = note_wait(decision, unit, tasks, eligible)
    if failed is not None:
        remember_failed_try(decision, unit, failed)


def retry_urgent(decision: Decision, unit: PlacementUnit) -> None:
    """Have an urgent unit decided on again soon, since runs may end soon by then."""
    if unit.is_urgent:
        decide_again(decision, decision.now_ms + URGENT_RETRY_MS)


def _wait_as_equivalent(
    decision: Decision, unit: PlacementUnit, failed: FailedTry
) -> None:
    """Leave a unit waiting, as one with the same demand has just found no capacity."""
    if failed.reason is WaitReason.NO_MINION:
        probe_suspect_minions(decision, unit, [])
    if unit.tasks:
        fits = failed.reason is WaitReason.LOCALITY
        put_wait(decision, unit, len(unit.tasks), failed.reason, fits)


def _is_paused(world: BatchWorld, now_ms: int) -> bool:
    """Return whether the operators' records are too old to place by; log changes."""
    schedule = world.schedule
    is_paused = not is_configuration_current(world, now_ms)
    if is_paused != schedule.is_placement_paused:
        schedule.is_placement_paused = is_paused
        world.note(
            "place",
            "Placement pauses." if is_paused else "Placement goes on.",
            operators_age_ms=view_age_ms(world, Stream.OPERATORS, now_ms),
        )
    return is_paused


def _is_fleet_settling(world: BatchWorld, now_ms: int) -> bool:
    """Return whether a new term should wait for more minions to be reported.

    Sidecars find a new holder one after another. A decision between the first few
    minions would place urgent work on slow ones, though most of the fleet is idle.
    """
    schedule = world.schedule
    settled_ms = min(
        schedule.minion_added_ms + FLEET_QUIET_MS,
        schedule.loaded_ms + MAX_FLEET_SETTLE_MS,
    )
    if now_ms >= settled_ms:
        return False
    world.deadlines.add(settled_ms)
    return True
