"""What runs where: steps whose turn has come, most urgent first.

Answers loads in which urgent gangs meet minions that are full of overnight work, and
wide steps that must not starve.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from kingcuppost.batch.systems.placement import (
    Eviction,
    Rank,
    Site,
    Victim,
    add_room,
    evict,
    how_many,
    pick,
    take_room,
)
from kingcuppost.batch.systems.plans import all_tasks, change_plan, place_task
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.term import is_scheduling
from kingcuppost.batch.tables.fleet import MinionRow, Room
from kingcuppost.batch.tables.job import (
    JobState,
    Life,
    Plan,
    PlanState,
    StepSpec,
    Task,
    TaskPhase,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role

__all__ = ["decide"]

URGENT = 0
SUSPECT_FAILURES = 2
SUSPECT_MS = 5_000
MILLIS = 1_000
CORES_PER_ACCELERATOR = 8
MS_PER_SECOND = 1_000
RETRY_MS = 1_000


@dataclass(slots=True)
class Unit:
    """Tasks that are placed together: a gang, or what waits of a step.

    Attributes
    ----------
    rank : int
        0 for urgent work within its team's guarantee, 1 for other urgent work, then
        one more than the priority.
    """

    plan: Plan
    step: int
    spec: StepSpec
    tasks: list[Task]
    rank: int


@system(Phase.DECIDE, (Role.ENTRY,))
def decide(world: BatchWorld, now_ms: int) -> None:
    """Place what waits, and make room for what is urgent."""
    schedule = world.schedule
    if not is_scheduling(world) or world.stopping or not schedule.changed:
        return
    schedule.changed = False
    covered = _covered_jobs(world)
    sites = _sites(world, now_ms, covered)
    units = sorted(
        _units(world, covered), key=lambda unit: (unit.rank, unit.plan.job.accepted_ms)
    )
    for unit in units:
        _place_unit(world, unit, sites, now_ms)


def _covered_jobs(world: BatchWorld) -> set[str]:
    """Return the urgent jobs that their team's guarantee covers, oldest first."""
    configuration = world.agreed.configuration
    if configuration is None:
        return set()
    left = {team.name: team.guaranteed for team in configuration.teams.values()}
    covered = set()
    urgent = [
        plan
        for plan in world.schedule.plans.values()
        if plan.priority == URGENT and plan.phase is not PlanState.OVER
    ]
    for plan in sorted(urgent, key=lambda plan: plan.job.accepted_ms):
        needed = max(step.count * step.accelerators for step in plan.job.steps)
        if left.get(plan.job.team, 0) >= needed:
            left[plan.job.team] -= needed
            covered.add(plan.job.id)
    return covered


def _rank(plan: Plan, covered: set[str]) -> int:
    if plan.job.id in covered:
        return 0
    return plan.priority + 1


def _room_of(step: StepSpec) -> Room:
    return Room(step.cpu_millis, step.memory_mb, step.accelerators)


def _sites(world: BatchWorld, now_ms: int, covered: set[str]) -> list[Site]:
    """Return the minions that may be given work, with what is free at each."""
    sites = {}
    wall_ms = world.clock.wall_ms()
    for row in world.schedule.minions:
        sites[row.life] = Site(row, replace(row.room), replace(row.room))
    for plan in world.schedule.plans.values():
        if plan.phase is PlanState.OVER:
            continue
        for task in all_tasks(plan):
            if task.phase is TaskPhase.PLACED and task.life in sites:
                _occupy(sites[task.life], plan, task, wall_ms, covered)
    usable = [site for site in sites.values() if _is_usable(world, site.minion, now_ms)]
    for site in usable:
        site.victims.sort(key=lambda victim: victim.cost)
    return usable


def _occupy(
    site: Site, plan: Plan, task: Task, wall_ms: int, covered: set[str]
) -> None:
    step = plan.job.steps[task.name.step]
    take_room(site.now, step)
    if task.stopping:
        return
    take_room(site.free, step)
    rank = _rank(plan, covered)
    if rank:
        site.victims.append(
            Victim((rank, plan, task), _room_of(step), _lost_work(plan, task, wall_ms))
        )


def _weight(step: StepSpec) -> float:
    """Return how many cores a task counts as."""
    return step.cpu_millis / MILLIS + CORES_PER_ACCELERATOR * step.accelerators


def _lost_work(plan: Plan, task: Task, wall_ms: int) -> float:
    """Return the core-seconds that stopping a run would throw away."""
    step = plan.job.steps[task.name.step]
    lost_ms = wall_ms - task.placed_ms
    if step.saves:
        lost_ms = min(lost_ms, MS_PER_SECOND)
    members = len(plan.tasks[task.name.step]) if step.gang else 1
    return _weight(step) * members * max(lost_ms, 0) / MS_PER_SECOND


def _is_usable(world: BatchWorld, row: MinionRow, now_ms: int) -> bool:
    if row.draining or row.is_away:
        return False
    if row.availability_zone in world.agreed.closed_zones:
        return False
    if row.failures >= SUSPECT_FAILURES and len(row.failed_jobs) >= SUSPECT_FAILURES:
        again_ms = row.failed_ms + SUSPECT_MS
        if now_ms < again_ms:
            world.deadlines.add(again_ms)
            return False
    return True


def _units(world: BatchWorld, covered: set[str]) -> Iterator[Unit]:
    for plan in world.schedule.plans.values():
        if plan.phase is not PlanState.OPEN:
            continue
        for index, spec in enumerate(plan.job.steps):
            tasks = plan.tasks[index]
            waiting = [task for task in tasks if task.phase is TaskPhase.WAITING]
            if not waiting or (spec.gang and len(waiting) < len(tasks)):
                continue
            if _is_ready(plan, spec):
                yield Unit(plan, index, spec, waiting, _rank(plan, covered))


def _is_ready(plan: Plan, spec: StepSpec) -> bool:
    """Return whether all steps that a step needs are done."""
    return all(
        task.phase is TaskPhase.DONE
        for needed in spec.needs
        for task in plan.tasks[needed]
    )


def _place_unit(world: BatchWorld, unit: Unit, sites: list[Site], now_ms: int) -> None:
    allowed = [site for site in sites if _may_run(unit, site.minion)]
    for site in allowed:
        site.taken = _already_there(unit, site.minion.life)
    groups = _groups(unit, allowed)
    for group in groups:
        chosen = pick(group, unit.spec, len(unit.tasks), _rank_site_of(unit))
        if len(chosen) == len(unit.tasks) or (chosen and not unit.spec.gang):
            _place(world, unit, chosen)
            if len(chosen) == len(unit.tasks):
                return
            unit.tasks = unit.tasks[len(chosen) :]
    if unit.plan.priority == URGENT:
        _make_room(world, unit, groups)
        world.deadlines.add(now_ms + RETRY_MS)


def _may_run(unit: Unit, row: MinionRow) -> bool:
    if unit.plan.service and row.service != unit.plan.service:
        return False
    if unit.spec.label and unit.spec.label not in row.labels:
        return False
    return not all(row.life.minion in task.avoid for task in unit.tasks)


def _already_there(unit: Unit, life: Life) -> int:
    tasks = unit.plan.tasks[unit.step]
    return sum(
        1 for task in tasks if task.phase is TaskPhase.PLACED and task.life == life
    )


def _groups(unit: Unit, sites: list[Site]) -> list[list[Site]]:
    """Return the sets of sites to try, each whole, the best first."""
    spec = unit.spec
    if spec.one_rack and spec.gang:
        racks = _by_rack(sites)
        able = [rack for rack in racks if _could_hold(rack, spec, len(unit.tasks))]
        if able:
            return sorted(able, key=lambda rack: _rank_rack(unit, rack))
    if spec.rack:
        near = [site for site in sites if site.minion.rack == spec.rack]
        if near:
            return [near]
    return [sites]


def _by_rack(sites: list[Site]) -> list[list[Site]]:
    racks: dict[str, list[Site]] = {}
    for site in sites:
        racks.setdefault(site.minion.rack, []).append(site)
    return list(racks.values())


def _could_hold(sites: list[Site], spec: StepSpec, count: int) -> bool:
    """Return whether sites could hold a step if nothing else ran there."""
    return sum(how_many(site.minion.room, spec, count) for site in sites) >= count


def _rank_rack(unit: Unit, rack: list[Site]) -> tuple:
    """Rank a rack: fast minions first for urgent work, else the fullest first."""
    free = sum(site.now.accelerators for site in rack)
    speed = sum(site.minion.speed for site in rack) / len(rack)
    return (-speed, free) if unit.plan.priority == URGENT else (free, -speed)


def _rank_site_of(unit: Unit) -> Rank:
    """Return how sites rank for a unit.

    Urgent work takes proven and fast minions, other work fills up minions that are
    nearly full. The last attempt of a task goes to a minion that has done work.
    """
    last_try = any(
        task.failures and task.failures + 1 >= unit.plan.most_failures
        for task in unit.tasks
    )

    def rank(site: Site, step: StepSpec) -> tuple:
        row = site.minion
        fullness = (site.free.accelerators, site.free.cpu_millis)
        doubt = row.failures + (0 if row.proven else 1 if last_try else 0)
        if unit.plan.priority == URGENT:
            return (doubt, -row.speed, *fullness, row.sidecar)
        return (doubt, *fullness, -row.speed, row.sidecar)

    return rank


def _place(world: BatchWorld, unit: Unit, chosen: list[Site]) -> None:
    """Give runs to as many tasks as there are chosen sites."""
    plan = unit.plan
    tasks = unit.tasks[: len(chosen)]
    wall_ms = world.clock.wall_ms()
    run = 1 + max(task.run for task in tasks)
    plan.begun = True
    plan.state = JobState.RUNNING
    change_plan(world, plan)
    world.schedule.changed = False
    for task, site in zip(tasks, chosen, strict=True):
        number = run if unit.spec.gang else task.run + 1
        place_task(task, number, site.minion.life, plan.version, wall_ms)
        take_room(site.now, unit.spec)
        take_room(site.free, unit.spec)
        site.taken += 1
        world.note(
            "place",
            "A run is placed.",
            task=str(task.name),
            run=number,
            minion=site.minion.life.minion,
            rack=site.minion.rack,
            rank=unit.rank,
            version=_version(world),
        )


def _version(world: BatchWorld) -> int:
    configuration = world.agreed.configuration
    return configuration.version if configuration else -1


def _make_room(world: BatchWorld, unit: Unit, groups: list[list[Site]]) -> None:
    """Stop the cheapest less urgent work, and keep its room for the unit."""
    best: list[Eviction] | None = None
    least = None
    for group in groups:
        narrowed = [_only_below(site, unit.rank) for site in group]
        found = evict(narrowed, unit.spec, len(unit.tasks), _rank_site_of(unit))
        if found is None:
            continue
        cost = sum(eviction.cost for eviction in found)
        if least is None or cost < least:
            best, least = found, cost
    if best is None:
        return
    for eviction in best:
        _stop_victims(world, unit, eviction)
    by_life = {site.minion.life: site for group in groups for site in group}
    for eviction in best:
        site = by_life[eviction.site.minion.life]
        take_room(site.now, unit.spec, eviction.count)
        take_room(site.free, unit.spec, eviction.count)


def _only_below(site: Site, rank: int) -> Site:
    """Return a site whose victims are less urgent than a rank."""
    floor = max(rank, 1)
    victims = [
        victim
        for victim in site.victims
        if not victim.key[2].stopping
        and (victim.key[0] > floor or (rank == 0 and victim.key[0] == 1))
    ]
    return Site(site.minion, site.free, site.now, site.taken, victims)


def _stop_victims(world: BatchWorld, unit: Unit, eviction: Eviction) -> None:
    for victim in eviction.victims:
        _, plan, task = victim.key
        step = plan.job.steps[task.name.step]
        stopped = plan.tasks[task.name.step] if step.gang else [task]
        add_room(eviction.site.free, victim.room)
        for member in stopped:
            member.stopping = member.phase is TaskPhase.PLACED
        world.tally.add("preemptions")
        world.note(
            "preempt",
            "A run makes room.",
            task=str(task.name),
            run=task.run,
            lost_core_s=round(victim.cost, 1),
            urgent=unit.plan.job.id,
        )
