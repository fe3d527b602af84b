"""Sites: the minions that may be given work, with what is free and what may stop."""

from dataclasses import dataclass, replace

from kingcuppost.batch.systems.losses import lost_by_stop
from kingcuppost.batch.systems.placement import Site, Victim, take_room
from kingcuppost.batch.systems.plans import all_tasks
from kingcuppost.batch.systems.speeds import expected_left_ms
from kingcuppost.batch.systems.units import Unit, rank_of
from kingcuppost.batch.tables.fleet import MinionRow, Resources
from kingcuppost.batch.tables.job import (
    MinionIncarnation,
    Plan,
    PlanState,
    Task,
    TaskPhase,
)
from kingcuppost.batch.tables.world import BatchWorld

__all__ = [
    "NEVER_MS",
    "allowed_sites",
    "decide_again",
    "fast_sites",
    "sites_of",
    "without_avoided",
]

NEVER_MS = 2**62

SUSPECT_FAILURES = 2
SUSPECT_MS = 5_000
SLOW_SHARE = 0.65
GOOD_RANK = 70
WHOLE = 100
SOON_MS = 600
MOVING_MS = 2_500


@dataclass(frozen=True, slots=True)
class Moment:
    """What the cost of a stop depends on beside the run: now, and restoring, in ms."""

    ms: int
    wall_ms: int
    restore_ms: int


def decide_again(world: BatchWorld, at_ms: int) -> None:
    """Have the decisions made again at a moment, also if nothing changes until then."""
    schedule = world.schedule
    schedule.decide_at_ms = min(schedule.decide_at_ms, at_ms)
    world.deadlines.add(at_ms)


def sites_of(world: BatchWorld, now_ms: int, covered: set[str]) -> list[Site]:
    """Return the minions that may be given work."""
    now = Moment(now_ms, world.clock.wall_ms(), world.cfg.bounds.restore_ms)
    sites = {row.incarnation: _empty_site(row) for row in world.schedule.minions}
    for plan in world.schedule.plans.values():
        if plan.phase is PlanState.OVER:
            continue
        for task in all_tasks(plan):
            if task.phase is TaskPhase.PLACED and task.incarnation in sites:
                _occupy(sites[task.incarnation], plan, task, covered, now)
    usable = [site for site in sites.values() if _is_usable(world, site.minion, now_ms)]
    racks: dict[str, list[int]] = {}
    for site in usable:
        site.rack_free = racks.setdefault(site.minion.rack, [0])
        site.rack_free[0] += site.free.accelerators
        site.victims.sort(key=lambda victim: victim.cost)
    _mark_slow(usable)
    return usable


def _empty_site(row: MinionRow) -> Site:
    """Return a minion's site as if nothing ran there; each kind of room is its own."""
    now, soon, free = (replace(row.resources) for _ in range(3))
    return Site(row, free=free, now=now, soon=soon, rack_free=[0])


def _occupy(site: Site, plan: Plan, task: Task, covered: set[str], now: Moment) -> None:
    step = plan.job.steps[task.name.step]
    take_room(site.now, step)
    ends_soon = _ends_soon(site.minion, plan, task, now.ms)
    if not ends_soon:
        take_room(site.soon, step)
    if task.stopping:
        return
    take_room(site.free, step)
    rank = rank_of(plan, covered)
    if rank:
        resources = Resources(step.cpu_millis, step.memory_mb, step.accelerators)
        cost = lost_by_stop(plan, task, now.wall_ms, now.restore_ms)
        site.victims.append(Victim(plan, task, rank, resources, cost, ends_soon))


def _ends_soon(row: MinionRow, plan: Plan, task: Task, now_ms: int) -> bool:
    """Return whether a run is about to free its room by itself.

    A member of a gang that is through may wait long for the others.
    """
    if task.stopping or plan.job.steps[task.name.step].gang or not task.confirmed:
        return False
    age_ms = now_ms - task.percent_changed_ms
    return age_ms < MOVING_MS and expected_left_ms(row, plan, task) - age_ms < SOON_MS


def _is_usable(world: BatchWorld, row: MinionRow, now_ms: int) -> bool:
    if row.draining or row.is_unreachable:
        return False
    if row.availability_zone in world.agreed.closed_zones:
        return False
    again_ms = _trusted_again_ms(row)
    if now_ms < again_ms:
        decide_again(world, again_ms)
        return False
    return True


def _trusted_again_ms(row: MinionRow) -> int:
    """Return when a minion that has failed or stalled may be tried again."""
    again_ms = row.backoff_until_ms
    if row.stalled_ms is not None:
        again_ms = row.stalled_ms + SUSPECT_MS
    if row.failures >= SUSPECT_FAILURES and len(row.failed_jobs) >= SUSPECT_FAILURES:
        again_ms = max(again_ms, row.failed_ms + SUSPECT_MS)
    return again_ms


def allowed_sites(unit: Unit, sites: list[Site]) -> list[Site]:
    """Return the sites at which a unit may run."""
    able = [site for site in sites if _suits(unit, site.minion)]
    for site in able:
        site.taken = _already_there(unit, site.minion.incarnation)
    return able


def without_avoided(unit: Unit, sites: list[Site]) -> list[Site]:
    """Return the sites where no run of a unit has failed or stood still."""
    avoided = {minion for task in unit.tasks for minion in task.avoided_minions}
    return [site for site in sites if site.minion.incarnation.minion not in avoided]


def _suits(unit: Unit, row: MinionRow) -> bool:
    if unit.plan.job.policy.service and row.service != unit.plan.job.policy.service:
        return False
    return not unit.spec.label or unit.spec.label in row.labels


def _already_there(unit: Unit, incarnation: MinionIncarnation) -> int:
    tasks = unit.plan.tasks[unit.step]
    return sum(
        1
        for task in tasks
        if task.phase is TaskPhase.PLACED and task.incarnation == incarnation
    )


def fast_sites(sites: list[Site]) -> list[Site]:
    """Return the sites that are not known to be slow."""
    return [site for site in sites if not site.is_slow]


def _mark_slow(sites: list[Site]) -> None:
    """Mark the sites whose minions work much slower than the good ones.

    Slow minions keep their runs longer and are known sooner, so what is usual among the
    known ones says little.
    """
    known = sorted(
        site.minion.speed.value for site in sites if site.minion.speed.weight
    )
    if not known:
        return
    bound = SLOW_SHARE * known[len(known) * GOOD_RANK // WHOLE]
    for site in sites:
        site.is_slow = (
            bool(site.minion.speed.weight) and site.minion.speed.value < bound
        )
