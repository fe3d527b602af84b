"""Candidates for placement: usable minions with free capacity and possible victims."""

from collections import Counter

from kingcuppost.batch.systems.decision import (
    Decision,
    decide_again,
    request_decision,
)
from kingcuppost.batch.systems.departures.waves import (
    departure_rate,
    has_departures,
    may_depart,
)
from kingcuppost.batch.systems.lost_work import work_lost_by_stop
from kingcuppost.batch.systems.placement import (
    copy_resources,
    subtract_resources,
    subtract_tasks,
)
from kingcuppost.batch.systems.speeds import expected_remaining_ms
from kingcuppost.batch.systems.stop_limits import exclusion_limit_ms
from kingcuppost.batch.systems.task_phases import placed_runs
from kingcuppost.batch.systems.units import urgency_rank
from kingcuppost.batch.tables.config import Bounds
from kingcuppost.batch.tables.decision import (
    Candidate,
    PlacementUnit,
    Victim,
)
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import TaskPhase
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.world import BatchWorld

__all__ = [
    "Decision",
    "eligible_candidates",
    "exclude_avoided",
    "fast_candidates",
    "find_soon_free",
    "find_victims",
    "is_stop_expected",
    "keep_usable",
    "list_candidates",
    "make_candidate",
    "may_probe",
    "request_decision",
    "stop_limit_ms",
]

SUSPECT_FAILURES = 2  # of different jobs, so that the minion is the likely cause
SUSPECT_PAUSE_MS = 5_000  # pause after a stalled run or `SUSPECT_FAILURES`
SLOW_SPEED_RATIO = 0.65  # of the speed at `REFERENCE_PERCENTILE`
REFERENCE_PERCENTILE = 70
FULL_PERCENT = 100
ENDS_SOON_MS = 600
PROGRESS_FRESH_MS = 2_500
REPORT_MARGIN_MS = 1_000  # for the order to stop, and the report of the end


def list_candidates(decision: Decision) -> list[Candidate]:
    """Return the minions that may be given tasks, with their free capacity.

    Also lists the minions under suspicion that may be tried. Requests another decision
    for the time at which the pause of a minion ends.
    """
    world = decision.world
    usable = []
    for minion in world.schedule.minions:
        if _is_usable(decision, minion):
            usable.append(make_candidate(decision, minion))
        elif may_probe(world, minion, decision.now_ms):
            decision.round.suspects.append(minion)
    racks: dict[str, list[int]] = {}
    for candidate in usable:
        candidate.rack_free_accelerators = racks.setdefault(candidate.minion.rack, [0])
        candidate.rack_free_accelerators[0] += candidate.free_after_stops.accelerators
    _mark_slow_candidates(usable)
    _set_departure_rates(decision, usable)
    return usable


def keep_usable(decision: Decision, candidates: list[Candidate]) -> list[Candidate]:
    """Return the candidates that may still be given tasks in a later tick.

    Which runs they may preempt is found anew. Capacity that was released meanwhile is
    left out.
    """
    world = decision.world
    minions = world.schedule.minions
    kept = [
        candidate
        for candidate in candidates
        if minions.get(candidate.minion.sidecar) is candidate.minion
        and _is_usable(decision, candidate.minion)
    ]
    for candidate in kept:
        candidate.victims = None
    return kept


def make_candidate(decision: Decision, minion: MinionRow) -> Candidate:
    """Return a minion as a candidate, with separate copies of its capacity."""
    free_now = copy_resources(minion.resources)
    load = decision.world.schedule.loads.get(minion.incarnation)
    if load is not None:
        subtract_resources(free_now, load.used)
    free_after_stops = copy_resources(free_now)
    if load is not None and load.stopping != Resources():
        _add_expected_stops(decision, minion, free_after_stops)
    return Candidate(
        minion,
        free_after_stops,
        free_now,
        rack_free_accelerators=[0],
        may_depart=may_depart(decision.world, minion, decision.now_ms),
        in_changing_service=has_departures(decision.world, minion.service),
    )


def _add_expected_stops(
    decision: Decision, minion: MinionRow, free_after_stops: Resources
) -> None:
    """Add what stops will release, unless they are overdue.

    Work must not wait for a minion that carries out no stop. Requests another decision
    for the time at which a stop is overdue.
    """
    world = decision.world
    for plan, task in placed_runs(world.schedule, minion.incarnation):
        if is_stop_expected(decision, task):
            limit_ms = stop_limit_ms(world.cfg.bounds)
            decide_again(decision, task.stop_requested_ms + limit_ms)
            subtract_tasks(free_after_stops, plan.job.steps[task.name.step], -1)


def is_stop_expected(decision: Decision, task: Task) -> bool:
    """Return whether a task's run is being stopped, and its end is not overdue."""
    limit_ms = stop_limit_ms(decision.world.cfg.bounds)
    return task.stopping and decision.now_ms < task.stop_requested_ms + limit_ms


def stop_limit_ms(bounds: Bounds) -> int:
    """Return the time within which a stop should be reported as carried out, in ms."""
    return bounds.stop_ms + REPORT_MARGIN_MS


def find_victims(decision: Decision, candidate: Candidate) -> list[Victim]:
    """Return the runs of a candidate that may be preempted, cheapest first.

    Runs of rank 0 and runs that are being stopped are not victims. The candidate keeps
    the list for the rest of the decision.
    """
    if candidate.victims is None:
        schedule = decision.world.schedule
        victims = [
            _make_victim(decision, candidate.minion, plan, task)
            for plan, task in placed_runs(schedule, candidate.minion.incarnation)
            if not task.stopping and urgency_rank(plan, decision.guaranteed_ids)
        ]
        candidate.victims = sorted(victims, key=lambda victim: victim.cost_core_s)
    return candidate.victims


def _make_victim(
    decision: Decision, minion: MinionRow, plan: Plan, task: Task
) -> Victim:
    restore_ms = decision.world.cfg.bounds.restore_ms
    step = plan.job.steps[task.name.step]
    return Victim(
        plan,
        task,
        urgency_rank(plan, decision.guaranteed_ids),
        Resources(step.cpu_millis, step.memory_mb, step.accelerators),
        work_lost_by_stop(plan, task, decision.wall_ms, restore_ms),
        _ends_soon(minion, plan, task, decision.now_ms),
    )


def find_soon_free(decision: Decision, candidate: Candidate) -> Resources:
    """Return the capacity of a candidate once the runs that end soon have ended.

    The candidate keeps it, so that what is reserved there stays reserved for the rest
    of the decision.
    """
    if candidate.free_soon is None:
        candidate.free_soon = copy_resources(candidate.free_now)
        minion = candidate.minion
        for plan, task in placed_runs(decision.world.schedule, minion.incarnation):
            if _ends_soon(minion, plan, task, decision.now_ms):
                subtract_tasks(candidate.free_soon, plan.job.steps[task.name.step], -1)
    return candidate.free_soon


def _ends_soon(minion: MinionRow, plan: Plan, task: Task, now_ms: int) -> bool:
    """Return whether a run is expected to end by itself soon.

    Gangs are excluded: a member that has finished its own work may wait long for the
    others.
    """
    if task.stopping or plan.job.steps[task.name.step].gang or not task.confirmed:
        return False
    age_ms = now_ms - task.percent_changed_ms
    return (
        task.percent_unchanged_ms < PROGRESS_FRESH_MS
        and expected_remaining_ms(minion, plan, task) - age_ms < ENDS_SOON_MS
    )


def _is_usable(decision: Decision, minion: MinionRow) -> bool:
    if not _takes_runs(decision.world, minion):
        return False
    paused_until_ms = _paused_until_ms(minion)
    if decision.now_ms < paused_until_ms:
        decide_again(decision, paused_until_ms)
        return False
    return True


def _takes_runs(world: BatchWorld, minion: MinionRow) -> bool:
    """Return whether a minion may be given runs, apart from pauses.

    It may not if it leaves, is unreachable, is in a closed zone, or has not stopped a
    run for so long that only the end of its lease will.
    """
    if minion.draining or minion.is_unreachable:
        return False
    if minion.availability_zone in world.agreed.closed_zones:
        return False
    return not _has_unstopped_run(world, minion)


def _has_unstopped_run(world: BatchWorld, minion: MinionRow) -> bool:
    """Return whether a minion has not stopped a run for very long."""
    schedule = world.schedule
    load = schedule.loads.get(minion.incarnation)
    if load is None or load.stopping == Resources():
        return False
    limit_ms = exclusion_limit_ms(world.cfg.bounds)
    now_ms = world.clock.now_ms()
    return any(
        task.stopping and now_ms >= task.stop_requested_ms + limit_ms
        for _, task in load.runs.values()
    )


def may_probe(world: BatchWorld, minion: MinionRow, now_ms: int) -> bool:
    """Return whether one run may be placed on a minion while it is under suspicion.

    That is once in a pause, and not while it is left out for a start that it refused or
    did not carry out.
    """
    if not _takes_runs(world, minion) or now_ms < minion.backoff_until_ms:
        return False
    is_suspect = now_ms < _suspect_until_ms(minion)
    probed_ms = minion.probed_ms
    return is_suspect and (probed_ms is None or now_ms >= probed_ms + SUSPECT_PAUSE_MS)


def _paused_until_ms(minion: MinionRow) -> int:
    """Return when a minion that refused, failed or stalled a run may be used again."""
    return max(minion.backoff_until_ms, _suspect_until_ms(minion))


def _suspect_until_ms(minion: MinionRow) -> int:
    """Return when the suspicion against a minion that failed or stalled runs ends."""
    suspect_until_ms = 0
    if minion.stalled_ms is not None:
        suspect_until_ms = max(suspect_until_ms, minion.stalled_ms + SUSPECT_PAUSE_MS)
    if (
        minion.failures >= SUSPECT_FAILURES
        and len(minion.failed_jobs) >= SUSPECT_FAILURES
    ):
        suspect_until_ms = max(suspect_until_ms, minion.failed_ms + SUSPECT_PAUSE_MS)
    return suspect_until_ms


def eligible_candidates(
    unit: PlacementUnit, candidates: list[Candidate]
) -> list[Candidate]:
    """Return the candidates whose service and labels suit a unit.

    Sets their number of placed tasks to that of the unit's step, if it is limited.
    """
    eligible = [
        candidate
        for candidate in candidates
        if _matches_requirements(unit, candidate.minion)
    ]
    if unit.spec.most_per_minion:
        _count_step_tasks(unit, eligible)
    return eligible


def _count_step_tasks(unit: PlacementUnit, candidates: list[Candidate]) -> None:
    """Set the number of placed tasks of a unit's step at each candidate."""
    placed_counts = Counter(
        task.incarnation
        for task in unit.plan.tasks[unit.step]
        if task.phase is TaskPhase.PLACED
    )
    for candidate in candidates:
        candidate.step_task_count = placed_counts[candidate.minion.incarnation]


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


def _set_departure_rates(decision: Decision, candidates: list[Candidate]) -> None:
    """Spread the expected departures of a rollout over the minions that may leave."""
    departing = [candidate for candidate in candidates if candidate.may_depart]
    counts = Counter(candidate.minion.service for candidate in departing)
    rates = {
        service: departure_rate(decision.world, service, decision.now_ms) / count
        for service, count in counts.items()
    }
    for candidate in departing:
        candidate.departure_rate = rates[candidate.minion.service]
