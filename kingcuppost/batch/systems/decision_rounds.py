"""Rounds of decisions: which units one consists of, and their order."""

from itertools import groupby

from kingcuppost.batch.systems.candidates import Decision
from kingcuppost.batch.systems.overload import queue_orders
from kingcuppost.batch.systems.overload.tried_work import note_tried_work
from kingcuppost.batch.systems.queue_order import OrderInputs
from kingcuppost.batch.systems.tick_budget import TickBudget
from kingcuppost.batch.systems.units import find_guaranteed_jobs, list_plan_units
from kingcuppost.batch.tables.decision import DecisionRound, PlacementUnit
from kingcuppost.batch.tables.job import TaskPhase
from kingcuppost.batch.tables.plan import Plan, PlanPhase
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["add_new_plans", "begin_round", "keep_waiting_tasks", "list_units"]


def begin_round(world: BatchWorld) -> DecisionRound:
    """Return a new decision on the waiting work of all plans."""
    schedule = world.schedule
    schedule.round_count += 1
    schedule.added_plans.clear()
    plans = [
        plan
        for plan in reversed(schedule.plans.values())
        if plan.phase is PlanPhase.OPEN and plan.ready_steps
    ]
    return DecisionRound(schedule.round_count, find_guaranteed_jobs(world), plans)


def list_units(decision: Decision, budget: TickBudget) -> bool:
    """List the units of plans until the budget is spent; return whether all are listed.

    The units of at least one plan are listed, however small the budget. Once those of
    all plans are, they are in the order in which they are scheduled.
    """
    round_ = decision.round
    while round_.unlisted:
        round_.units += _list_plan(decision, round_.unlisted.pop())
        if not round_.unlisted:
            _sort_units(decision)
        elif budget.is_spent():
            return False
    return True


def add_new_plans(decision: Decision) -> None:
    """Add the units of plans that are new since a decision began, in their order."""
    round_, schedule = decision.round, decision.world.schedule
    if not schedule.added_plans:
        return
    plans = [schedule.plans.get(job_id) for job_id in schedule.added_plans]
    schedule.added_plans.clear()
    round_.guaranteed_ids = find_guaranteed_jobs(decision.world)
    note_tried_work(round_)
    round_.units = round_.units[round_.next_index :]
    round_.next_index = 0
    for plan in plans:
        if plan is not None:
            round_.units += _list_plan(decision, plan)
    _sort_units(decision)


def _list_plan(decision: Decision, plan: Plan) -> list[PlacementUnit]:
    return list_plan_units(decision.world, decision.round, plan, decision.wall_ms)


def _sort_units(decision: Decision) -> None:
    """Put the units of a decision in the order in which they are scheduled."""
    world, round_ = decision.world, decision.round
    order = queue_orders[world.queue_order]
    inputs = OrderInputs(world, round_, decision.now_ms, decision.wall_ms)
    ranks = groupby(sorted(round_.units, key=_rank_of), key=_rank_of)
    round_.units = [unit for _, rows in ranks for unit in order(list(rows), inputs)]


def _rank_of(unit: PlacementUnit) -> int:
    return unit.rank


def keep_waiting_tasks(world: BatchWorld, unit: PlacementUnit) -> bool:
    """Drop the tasks of a unit that wait no more; return whether it may be scheduled.

    A gang may be only while all its members wait.
    """
    plan = unit.plan
    if world.schedule.plans.get(plan.job.id) is not plan:
        return False
    if plan.phase is not PlanPhase.OPEN:
        return False
    unit.tasks = [task for task in unit.tasks if task.phase is TaskPhase.WAITING]
    if unit.spec.gang:
        return len(unit.tasks) == unit.spec.count
    return bool(unit.tasks)
