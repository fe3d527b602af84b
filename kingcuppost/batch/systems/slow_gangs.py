"""Restart of urgent gangs that a slow minion holds back.

A gang is as fast as its slowest member, and the speed of a minion is known only once a
run has made progress there. A gang that would miss its target is restarted without its
slow minions if it can then meet the target.
"""

from statistics import mean

from kingcuppost.batch.systems.candidates import (
    Decision,
    eligible_candidates,
    exclude_avoided,
    fast_candidates,
    list_candidates,
)
from kingcuppost.batch.systems.placement import choose_candidates
from kingcuppost.batch.systems.plans import request_stops
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.reservations import reserve_for_tasks
from kingcuppost.batch.systems.term_opening import is_scheduling
from kingcuppost.batch.systems.units import URGENT_PRIORITY, PlacementUnit
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import Plan, PlanPhase, Task, TaskPhase
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role

__all__ = ["restart_slow_gangs"]

CHECK_PERIOD_MS = 500
MIN_OBSERVED_MS = 1_000  # a slow minion stands out against the other members
RESTART_MS = 700  # stop of all members, and start of a new run
FULL_PERCENT = 100


@system(Phase.MEMBERSHIP, (Role.ENTRY,), order=90)
def restart_slow_gangs(world: BatchWorld, now_ms: int) -> None:
    """Check the urgent gangs every `CHECK_PERIOD_MS`, and restart those held back."""
    schedule = world.schedule
    if not is_scheduling(world) or now_ms < schedule.check_gangs_at_ms:
        return
    schedule.check_gangs_at_ms = now_ms + CHECK_PERIOD_MS
    for plan in schedule.plans.values():
        is_running = (
            plan.phase is PlanPhase.OPEN and plan.phase_counts[TaskPhase.PLACED]
        )
        if not is_running or plan.job.policy.priority != URGENT_PRIORITY:
            continue
        # the target of a job of several steps does not follow from one of them
        if len(plan.job.steps) == 1 and plan.job.steps[0].gang:
            _check_gang(world, plan, 0, now_ms)


def _check_gang(world: BatchWorld, plan: Plan, step: int, now_ms: int) -> None:
    """Restart a gang if that is the way to meet the target of its job.

    The duration and the target follow from the progress of the members on minions of
    known speed, since the estimate would be corrected by the slow members, too.
    """
    members = _find_members(world, plan, step)
    known = [member for member in members if member[1].speed.weight]
    if not known:
        return
    full_ms = [_full_duration_ms(task) for task, _ in known]
    work_ms = mean(
        duration_ms * minion.speed.value
        for duration_ms, (_, minion) in zip(full_ms, known, strict=True)
    )
    waited_ms = world.clock.wall_ms() - plan.job.accepted_ms
    left_ms = plan.job.policy.slack_factor * work_ms - waited_ms
    slow = [(task, minion) for task, minion in members if _remaining_ms(task) > left_ms]
    kept = [member for member in members if member not in slow]
    if not slow or not kept or RESTART_MS + mean(full_ms) > left_ms:
        return
    min_speed = work_ms / (left_ms - RESTART_MS)
    unit = PlacementUnit(
        plan, step, plan.job.steps[step], [task for task, _ in slow], rank=1
    )
    decision = Decision(world, now_ms, world.clock.wall_ms(), set())
    if _has_room(decision, unit, slow, kept, min_speed):
        _restart(decision, unit, slow, kept)


def _find_members(
    world: BatchWorld, plan: Plan, step: int
) -> list[tuple[Task, MinionRow]]:
    """Return all members of a gang with their minions; none unless all are measured."""
    members = []
    for task in plan.tasks[step]:
        minion = world.schedule.minions.get(task.sidecar)
        is_known = minion is not None and minion.incarnation == task.incarnation
        if not is_known or not _is_measured(task):
            return []
        members.append((task, minion))
    return members


def _full_duration_ms(task: Task) -> float:
    """Return how long a whole run of a task takes where it runs now."""
    observed_ms = task.percent_changed_ms - task.running_since_ms
    return FULL_PERCENT * observed_ms / (task.percent - task.initial_percent)


def _remaining_ms(task: Task) -> float:
    """Return how long a run still takes."""
    return _full_duration_ms(task) * (FULL_PERCENT - task.percent) / FULL_PERCENT


def _is_measured(task: Task) -> bool:
    """Return whether a member runs, and long enough to know its progress."""
    if task.phase is not TaskPhase.PLACED or task.stopping or task.was_migrated:
        return False
    if task.running_since_ms is None or task.percent <= task.initial_percent:
        return False
    return task.percent_changed_ms - task.running_since_ms >= MIN_OBSERVED_MS


def _has_room(
    decision: Decision,
    unit: PlacementUnit,
    slow: list[tuple[Task, MinionRow]],
    kept: list[tuple[Task, MinionRow]],
    min_speed: float,
) -> bool:
    """Return whether minions known to be fast enough have room for the slow members."""
    avoided = {minion.sidecar for _, minion in slow}
    rack = kept[0][1].rack
    candidates = exclude_avoided(
        unit, eligible_candidates(unit, list_candidates(decision))
    )
    fast = [
        candidate
        for candidate in fast_candidates(candidates)
        if candidate.minion.sidecar not in avoided
        and candidate.minion.speed.weight
        and candidate.minion.speed.value >= min_speed
        and (not unit.spec.one_rack or candidate.minion.rack == rack)
    ]
    wanted = len(unit.tasks)
    chosen = choose_candidates(
        fast, unit.spec, wanted, lambda candidate, step: (candidate.minion.sidecar,)
    )
    return len(chosen) == wanted


def _restart(
    decision: Decision,
    unit: PlacementUnit,
    slow: list[tuple[Task, MinionRow]],
    kept: list[tuple[Task, MinionRow]],
) -> None:
    """Stop a gang, avoid its slow minions, and keep its room at the others."""
    world, plan = decision.world, unit.plan
    world.note(
        "run",
        "A gang is restarted.",
        job=plan.job.id,
        step=unit.step,
        reason="a minion is slow",
        slow=" ".join(sorted({minion.incarnation.minion for _, minion in slow})),
    )
    request_stops(world, plan, unit.step)
    for task in plan.tasks[unit.step]:
        task.was_migrated = True
        task.avoided_minions |= {minion.incarnation.minion for _, minion in slow}
    for task, minion in kept:
        reserve_for_tasks(decision, [task], minion)
