"""Candidates for placement: usable minions with free capacity and possible victims."""

from dataclasses import dataclass, replace

from kingcuppost.batch.systems.lost_work import work_lost_by_stop
from kingcuppost.batch.systems.placement import Candidate, Victim, subtract_tasks
from kingcuppost.batch.systems.plans import iter_tasks
from kingcuppost.batch.systems.speeds import expected_remaining_ms
from kingcuppost.batch.systems.units import PlacementUnit, urgency_rank
from kingcuppost.batch.tables.fleet import MinionRow, Resources
from kingcuppost.batch.tables.job import (
    MinionIncarnation,
    Plan,
    PlanPhase,
    Task,
    TaskPhase,
)
from kingcuppost.batch.tables.world import BatchWorld

__all__ = [
    "NEVER_MS",
    "eligible_candidates",
    "exclude_avoided",
    "fast_candidates",
    "list_candidates",
    "request_decision",
]

NEVER_MS = 2**62

SUSPECT_FAILURES = 2  # of different jobs, so that the minion is the likely cause
SUSPECT_PAUSE_MS = 5_000  # pause after a stalled run or `SUSPECT_FAILURES`
SLOW_SPEED_RATIO = 0.65  # of the speed at `REFERENCE_PERCENTILE`
REFERENCE_PERCENTILE = 70
FULL_PERCENT = 100
ENDS_SOON_MS = 600
PROGRESS_FRESH_MS = 2_500


@dataclass(frozen=True, slots=True)
class DecisionTimes:
    """Times by which all runs are assessed in one decision.

    Attributes
    ----------
    now_ms, wall_ms : int
        Current time by the monotonic clock, and as Unix time in ms.
    restore_ms : int
        Time that resuming from a checkpoint takes.
    """

    now_ms: int
    wall_ms: int
    restore_ms: int


def request_decision(world: BatchWorld, at_ms: int) -> None:
    """Schedule another decision at `at_ms`, even if nothing changes until then."""
    schedule = world.schedule
    schedule.decide_at_ms = min(schedule.decide_at_ms, at_ms)
    world.deadlines.add(at_ms)


def list_candidates(
    world: BatchWorld, now_ms: int, guaranteed_ids: set[str]
) -> list[Candidate]:
    """Return the minions that may be given tasks, with free capacity and victims.

    Requests another decision for the time at which the pause of a minion ends.
    """
    times = DecisionTimes(now_ms, world.clock.wall_ms(), world.cfg.bounds.restore_ms)
    candidates = {
        minion.incarnation: _make_idle_candidate(minion)
        for minion in world.schedule.minions
    }
    for plan in world.schedule.plans.values():
        if plan.phase is PlanPhase.OVER:
            continue
        for task in iter_tasks(plan):
            if task.phase is TaskPhase.PLACED and task.incarnation in candidates:
                _add_run(
                    candidates[task.incarnation], plan, task, guaranteed_ids, times
                )
    usable = [
        candidate
        for candidate in candidates.values()
        if _is_usable(world, candidate.minion, now_ms)
    ]
    racks: dict[str, list[int]] = {}
    for candidate in usable:
        candidate.rack_free_accelerators = racks.setdefault(candidate.minion.rack, [0])
        candidate.rack_free_accelerators[0] += candidate.free_after_stops.accelerators
        candidate.victims.sort(key=lambda victim: victim.cost_core_s)
    _mark_slow_candidates(usable)
    return usable


def _make_idle_candidate(minion: MinionRow) -> Candidate:
    """Return a minion as an idle candidate, with separate copies of its capacity."""
    free_now, free_soon, free_after_stops = (
        replace(minion.resources) for _ in range(3)
    )
    return Candidate(
        minion,
        free_after_stops=free_after_stops,
        free_now=free_now,
        free_soon=free_soon,
        rack_free_accelerators=[0],
    )


def _add_run(
    candidate: Candidate,
    plan: Plan,
    task: Task,
    guaranteed_ids: set[str],
    times: DecisionTimes,
) -> None:
    """Subtract a run from the free capacity of its minion, and add it to the victims.

    Runs of rank 0 and runs that are being stopped are not victims.
    """
    step = plan.job.steps[task.name.step]
    subtract_tasks(candidate.free_now, step)
    ends_soon = _ends_soon(candidate.minion, plan, task, times.now_ms)
    if not ends_soon:
        subtract_tasks(candidate.free_soon, step)
    if task.stopping:
        return
    subtract_tasks(candidate.free_after_stops, step)
    rank = urgency_rank(plan, guaranteed_ids)
    if rank:
        freed = Resources(step.cpu_millis, step.memory_mb, step.accelerators)
        cost_core_s = work_lost_by_stop(plan, task, times.wall_ms, times.restore_ms)
        candidate.victims.append(
            Victim(plan, task, rank, freed, cost_core_s, ends_soon)
        )


def _ends_soon(minion: MinionRow, plan: Plan, task: Task, now_ms: int) -> bool:
    """Return whether a run is expected to end by itself soon.

    Gangs are excluded: a member that has finished its own work may wait long for the
    others.
    """
    if task.stopping or plan.job.steps[task.name.step].gang or not task.confirmed:
        return False
    age_ms = now_ms - task.percent_changed_ms
    return (
        age_ms < PROGRESS_FRESH_MS
        and expected_remaining_ms(minion, plan, task) - age_ms < ENDS_SOON_MS
    )


def _is_usable(world: BatchWorld, minion: MinionRow, now_ms: int) -> bool:
    if minion.draining or minion.is_unreachable:
        return False
    if minion.availability_zone in world.agreed.closed_zones:
        return False
    paused_until_ms = _paused_until_ms(minion)
    if now_ms < paused_until_ms:
        request_decision(world, paused_until_ms)
        return False
    return True


def _paused_until_ms(minion: MinionRow) -> int:
    """Return when a minion that refused, failed or stalled a run may be used again."""
    paused_until_ms = minion.backoff_until_ms
    if minion.stalled_ms is not None:
        paused_until_ms = minion.stalled_ms + SUSPECT_PAUSE_MS
    if (
        minion.failures >= SUSPECT_FAILURES
        and len(minion.failed_jobs) >= SUSPECT_FAILURES
    ):
        paused_until_ms = max(paused_until_ms, minion.failed_ms + SUSPECT_PAUSE_MS)
    return paused_until_ms


def eligible_candidates(
    unit: PlacementUnit, candidates: list[Candidate]
) -> list[Candidate]:
    """Return the candidates whose service and labels suit a unit.

    Sets their number of placed tasks to that of the unit's step.
    """
    eligible = [
        candidate
        for candidate in candidates
        if _matches_requirements(unit, candidate.minion)
    ]
    for candidate in eligible:
        candidate.step_task_count = _count_placed_tasks(
            unit, candidate.minion.incarnation
        )
    return eligible


def exclude_avoided(
    unit: PlacementUnit, candidates: list[Candidate]
) -> list[Candidate]:
    """Return the candidates where no run of a unit has failed, stalled or been slow."""
    avoided = {minion for task in unit.tasks for minion in task.avoided_minions}
    return [
        candidate
        for candidate in candidates
        if candidate.minion.incarnation.minion not in avoided
    ]


def _matches_requirements(unit: PlacementUnit, minion: MinionRow) -> bool:
    if unit.plan.job.policy.service and minion.service != unit.plan.job.policy.service:
        return False
    return not unit.spec.label or unit.spec.label in minion.labels


def _count_placed_tasks(unit: PlacementUnit, incarnation: MinionIncarnation) -> int:
    tasks = unit.plan.tasks[unit.step]
    return sum(
        1
        for task in tasks
        if task.phase is TaskPhase.PLACED and task.incarnation == incarnation
    )


def fast_candidates(candidates: list[Candidate]) -> list[Candidate]:
    """Return the candidates that are not known to be slow."""
    return [candidate for candidate in candidates if not candidate.is_slow]


def _mark_slow_candidates(candidates: list[Candidate]) -> None:
    """Mark the candidates that work much slower than the fast ones.

    The reference is a high percentile rather than the median: slow minions keep their
    runs longer, so their speeds are known sooner and are overrepresented.
    """
    known_speeds = sorted(
        candidate.minion.speed.value
        for candidate in candidates
        if candidate.minion.speed.weight
    )
    if not known_speeds:
        return
    slow_speed_limit = (
        SLOW_SPEED_RATIO
        * known_speeds[len(known_speeds) * REFERENCE_PERCENTILE // FULL_PERCENT]
    )
    for candidate in candidates:
        candidate.is_slow = (
            bool(candidate.minion.speed.weight)
            and candidate.minion.speed.value < slow_speed_limit
        )
