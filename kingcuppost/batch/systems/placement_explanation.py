"""Explanation of where a job would be placed, by a decision that is not applied.

The decision code itself runs, on candidates of its own and on a plan that is in no
table. Its outcomes are recorded, so nothing that other decisions read changes.
"""

from collections import Counter
from math import ceil, inf

from kingcuppost.batch.systems.candidate_order import preferred_groups
from kingcuppost.batch.systems.candidates import (
    ENDS_SOON_MS,
    eligible_candidates,
    list_candidates,
    stop_limit_ms,
)
from kingcuppost.batch.systems.decision import Decision
from kingcuppost.batch.systems.placement import fits_idle
from kingcuppost.batch.systems.plans import load_plan
from kingcuppost.batch.systems.release_times import expected_release_ms
from kingcuppost.batch.systems.reservations import hold_reserved
from kingcuppost.batch.systems.scheduling import retry_urgent
from kingcuppost.batch.systems.unit_scheduling import schedule_unit
from kingcuppost.batch.systems.units import (
    find_guaranteed_jobs,
    list_plan_units,
    urgency_rank,
)
from kingcuppost.batch.systems.waits import find_wait_reason
from kingcuppost.batch.tables.decision import (
    URGENT_PRIORITY,
    Candidate,
    DecisionOutcome,
    DecisionRequest,
    DecisionRound,
    PlacementUnit,
    Preemption,
    TaskPlacements,
)
from kingcuppost.batch.tables.explanation import (
    ChosenMinion,
    PlacementExplanation,
    PreemptedRun,
    StepExplanation,
)
from kingcuppost.batch.tables.job import Job, TaskPhase
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.waiting import WaitReason
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["MAX_EXPLAINED_STEPS", "MAX_RESERVED_TASKS", "explain_job"]

# Bounds of the work for one request, beside the lists that every decision makes.
MAX_EXPLAINED_STEPS = 20
MAX_RESERVED_TASKS = 1_000

ROUND_NUMBER = -1  # of no round whose waits are kept


def explain_job(world: BatchWorld, job: Job, now_ms: int) -> PlacementExplanation:
    """Return what a decision on a job that has just been accepted would do now.

    Parameters
    ----------
    job : Job
        A job of which no table knows.
    """
    plan = load_plan(job)
    round_ = DecisionRound(ROUND_NUMBER, find_guaranteed_jobs(world, [plan]), [])
    # the job is assessed at the time of its acceptance, which is now
    decision = Decision(world, now_ms, job.accepted_ms, round_, recorded=[])
    units = list_plan_units(world, round_, plan, decision.wall_ms)
    round_.candidates = list_candidates(decision)
    rank = urgency_rank(plan, round_.guaranteed_ids)
    is_whole = _hold_for_others(decision, rank)
    by_step = {unit.step: unit for unit in units}
    return PlacementExplanation(
        rank,
        units[0].timeliness,
        len(world.schedule.minions),
        len(round_.candidates),
        len(world.schedule.waits),
        world.schedule.inputs_changed or world.schedule.decision_round is not None,
        is_whole,
        tuple(
            _explain_step(decision, plan, step, by_step.get(step))
            for step in range(min(len(job.steps), MAX_EXPLAINED_STEPS))
        ),
    )


def _hold_for_others(decision: Decision, rank: int) -> bool:
    """Keep what is reserved for waiting tasks that come before a rank, or are of it.

    Returns
    -------
    bool
        Whether all such tasks were regarded; at most `MAX_RESERVED_TASKS` are.
    """
    schedule = decision.world.schedule
    task_count = 0
    is_whole = True
    for wait in schedule.waits:
        plan = schedule.plans.get(wait.step.job)
        # only urgent work preempts, so only such work has reservations
        if plan is None or plan.job.policy.priority != URGENT_PRIORITY:
            continue
        if urgency_rank(plan, decision.guaranteed_ids) > rank:
            continue
        tasks = plan.tasks[wait.step.index]
        task_count += len(tasks)
        if task_count > MAX_RESERVED_TASKS:
            is_whole = False
            break
        reserved = [task for task in tasks if _has_reservation(task)]
        if reserved:
            spec = plan.job.steps[wait.step.index]
            decision.round.units.append(
                PlacementUnit(plan, wait.step.index, spec, reserved, rank)
            )
    hold_reserved(decision, rank)
    return is_whole


def _has_reservation(task: Task) -> bool:
    return task.phase is TaskPhase.WAITING and task.reserved_incarnation is not None


def _explain_step(
    decision: Decision, plan: Plan, step: int, unit: PlacementUnit | None
) -> StepExplanation:
    """Return what the decision does with a step, whose unit is None if it must wait."""
    spec = plan.job.steps[step]
    if unit is None:
        return StepExplanation(step, spec.count, spec.needs, waiting=spec.count)
    recorded = decision.recorded
    begin = len(recorded)
    eligible = eligible_candidates(unit, decision.round.candidates)
    retry_urgent(decision, unit)
    schedule_unit(decision, unit, eligible)
    outcomes = recorded[begin:]
    chosen = _list_chosen(outcomes)
    waiting = spec.count - sum(item.tasks for item in chosen)
    preempted = _list_preempted(outcomes)
    reason = find_wait_reason(unit, eligible)[0] if waiting else None
    return StepExplanation(
        step,
        spec.count,
        (),
        len(eligible),
        fits_idle(spec, eligible),
        chosen,
        preempted,
        waiting,
        reason,
        _expected_ms(decision, unit, eligible, reason, bool(preempted)),
        _retry_ms(decision) if waiting else None,
    )


def _list_chosen(outcomes: list[DecisionOutcome]) -> tuple[ChosenMinion, ...]:
    """Return the minions that are given tasks, in the order of choice."""
    placements = [item for item in outcomes if isinstance(item, TaskPlacements)]
    candidates = [item for placement in placements for item in placement.candidates]
    by_sidecar = {item.minion.sidecar: item for item in candidates}
    counts = Counter(item.minion.sidecar for item in candidates)
    return tuple(
        ChosenMinion(
            candidate.minion.incarnation.minion,
            candidate.minion.rack,
            candidate.minion.availability_zone,
            counts[sidecar],
            candidate.minion.speed.value,
            candidate.is_slow,
        )
        for sidecar, candidate in by_sidecar.items()
    )


def _list_preempted(outcomes: list[DecisionOutcome]) -> tuple[PreemptedRun, ...]:
    return tuple(
        PreemptedRun(
            item.victim.task.name,
            item.victim.task.run,
            item.victim.task.incarnation.minion,
            item.victim.rank,
            sum(task.phase is TaskPhase.PLACED for task in item.stopped),
            item.victim.cost_core_s,
        )
        for item in outcomes
        if isinstance(item, Preemption)
    )


def _expected_ms(
    decision: Decision,
    unit: PlacementUnit,
    eligible: list[Candidate],
    reason: WaitReason | None,
    has_preempted: bool,
) -> int | None:
    """Return the time until the capacity for a unit is expected to be free, in ms."""
    if reason is None or reason is WaitReason.NO_MINION:
        return None
    if reason is WaitReason.PREEMPTION:
        limit_ms = stop_limit_ms(decision.world.cfg.bounds)
        return limit_ms if has_preempted else ENDS_SOON_MS
    groups = preferred_groups(unit, eligible) or [eligible]
    release_ms = min(expected_release_ms(decision, unit, group) for group in groups)
    return None if release_ms == inf else max(ceil(release_ms), 0)


def _retry_ms(decision: Decision) -> int | None:
    """Return the time after which a decision is made in any case, in ms."""
    times_ms = [
        item.at_ms - decision.now_ms
        for item in decision.recorded
        if isinstance(item, DecisionRequest)
    ]
    return min(times_ms, default=None)
