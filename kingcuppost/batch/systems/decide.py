"""What runs where: units whose turn has come, most urgent first.

Answers loads in which urgent gangs meet minions that are full of overnight work, wide
steps that must not starve, and minions of which a quarter work at half the speed.
"""

from dataclasses import replace
from math import inf

from kingcuppost.batch.systems.placement import (
    Eviction,
    Rank,
    Site,
    add_room,
    evict,
    how_many,
    pick,
    take_room,
)
from kingcuppost.batch.systems.plans import ask_stop, change_plan, place_task
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.sites import (
    NEVER_MS,
    allowed_sites,
    decide_again,
    fast_sites,
    sites_of,
    without_avoided,
)
from kingcuppost.batch.systems.term import is_scheduling
from kingcuppost.batch.systems.units import (
    Unit,
    covered_jobs,
    task_weight,
    units_of,
)
from kingcuppost.batch.tables.job import JobState, StepSpec
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role

__all__ = ["decide"]

RETRY_MS = 1_000
MS_PER_SECOND = 1_000
SPEED_STEPS = 4
LOSS_SHARE = 0.7
PATIENT_PRIORITY = 2


@system(Phase.DECIDE, (Role.ENTRY,), order=20)
def decide(world: BatchWorld, now_ms: int) -> None:
    """Place what waits, and make room for what is urgent."""
    schedule = world.schedule
    is_due = schedule.changed or now_ms >= schedule.decide_at_ms
    if not is_scheduling(world) or not is_due:
        return
    schedule.changed = False
    schedule.decide_at_ms = NEVER_MS
    covered = covered_jobs(world)
    sites = sites_of(world, now_ms, covered)
    units = sorted(
        units_of(world, covered),
        key=lambda unit: (unit.rank, unit.plan.job.accepted_ms),
    )
    for unit in units:
        _serve(world, unit, sites)
        if unit.is_urgent:
            decide_again(world, now_ms + RETRY_MS)


def _serve(world: BatchWorld, unit: Unit, sites: list[Site]) -> None:
    """Place a unit away from minions that failed it, or else at any that suit.

    A minion that fails all it is given must not use up a task's attempts just since
    the others are full, so for a while the unit waits for room at them.
    """
    allowed = allowed_sites(unit, sites)
    preferred = without_avoided(unit, allowed)
    if _serve_at(world, unit, preferred) or len(preferred) == len(allowed):
        return
    until_ms = max(task.avoid_until_ms for task in unit.tasks)
    if world.clock.now_ms() < until_ms and _could_run(unit, preferred):
        decide_again(world, until_ms)
        return
    _serve_at(world, unit, allowed)


def _serve_at(world: BatchWorld, unit: Unit, sites: list[Site]) -> bool:
    """Place a unit, or make room for it; return whether it is cared for.

    Urgent units prefer fast minions, and make room there if that loses less work than
    they bring. Only a team's guarantee is worth any amount of lost work, or running
    slowly in more than one rack.
    """
    every = _groups(unit, sites)
    if not unit.is_urgent:
        return _place_unit(world, unit, every)
    fast = _groups(unit, fast_sites(sites))
    if _place_unit(world, unit, fast):
        return True
    if not unit.is_covered and _await_room(unit, fast):
        return True
    most_cost = LOSS_SHARE * _own_work(unit)
    if _make_room(world, unit, fast, most_cost):
        return True
    if _place_unit(world, unit, every):
        return True
    if not unit.is_covered:
        return _make_room(world, unit, every, most_cost)
    if _make_room(world, unit, every) or _place_unit(world, unit, [sites]):
        return True
    return _make_room(world, unit, [sites])


def _own_work(unit: Unit) -> float:
    """Return the work of one task of a unit in core-seconds, by its estimate."""
    return task_weight(unit.spec) * unit.spec.estimate_ms / MS_PER_SECOND


def _could_run(unit: Unit, sites: list[Site]) -> bool:
    """Return whether a unit would fit at sites if nothing else ran there."""
    count = len(unit.tasks) if unit.spec.gang else 1
    return any(
        _could_hold(group, unit.spec, count) for group in _groups(unit, sites) if group
    )


def _await_room(unit: Unit, groups: list[list[Site]]) -> bool:
    """Keep room that is about to be free; return whether it serves all tasks."""
    for group in groups:
        rank = _rank_site_of(unit)
        chosen = pick(group, unit.spec, len(unit.tasks), rank, is_soon=True)
        if unit.spec.gang and len(chosen) < len(unit.tasks):
            continue
        for site in chosen:
            take_room(site.soon, unit.spec)
        unit.tasks = unit.tasks[len(chosen) :]
    return not unit.tasks


def _place_unit(world: BatchWorld, unit: Unit, groups: list[list[Site]]) -> bool:
    """Give runs to what fits; return whether nothing of the unit waits."""
    for group in groups:
        chosen = pick(group, unit.spec, len(unit.tasks), _rank_site_of(unit))
        is_whole = len(chosen) == len(unit.tasks)
        if is_whole or (chosen and not unit.spec.gang):
            _place(world, unit, chosen)
            if is_whole:
                return True
            unit.tasks = unit.tasks[len(chosen) :]
    return False


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
    return sum(how_many(site.minion.resources, spec, count) for site in sites) >= count


def _rank_rack(unit: Unit, rack: list[Site]) -> tuple:
    """Rank a rack: the fastest gang first for urgent work, else the fullest rack."""
    free = sum(site.now.accelerators for site in rack)
    if not unit.is_urgent:
        return (free,)
    chosen = pick(rack, unit.spec, len(unit.tasks), _rank_site_of(unit))
    if len(chosen) < len(unit.tasks):
        return (1, 0.0, free)
    return (0, -min(site.minion.speed.value for site in chosen), free)


def _rank_site_of(unit: Unit) -> Rank:
    """Return how sites rank for a unit.

    Urgent work takes proven and fast minions. Other work fills up racks and minions
    that are nearly full, so that urgent gangs find whole racks, and what has the most
    time leaves the fast minions to others. The last attempt of a task goes to a minion
    that has done work.
    """
    last_try = unit.is_last_try
    is_patient = unit.plan.job.policy.priority >= PATIENT_PRIORITY

    def rank(site: Site, step: StepSpec) -> tuple:
        row = site.minion
        fullness = (site.free.accelerators, site.free.cpu_millis)
        doubt = row.failures + (0 if row.has_completed_run else 1 if last_try else 0)
        if unit.is_urgent:
            speed = round(row.speed.value * SPEED_STEPS)
            return (doubt, -speed, *fullness, row.sidecar)
        is_wasted = is_patient and not site.is_slow
        return (
            doubt,
            is_wasted,
            site.rack_free[0],
            *fullness,
            -row.speed.value,
            row.sidecar,
        )

    return rank


def _place(world: BatchWorld, unit: Unit, chosen: list[Site]) -> None:
    """Give runs to as many tasks as there are chosen sites."""
    plan = unit.plan
    tasks = unit.tasks[: len(chosen)]
    run = 1 + max(task.run for task in tasks)
    plan.begun = True
    plan.state = JobState.RUNNING
    change_plan(world, plan)
    world.schedule.changed = False
    configuration = world.agreed.configuration
    for task, site in zip(tasks, chosen, strict=True):
        number = run if unit.spec.gang else task.run + 1
        place_task(world, plan, task, number, site.minion)
        for resources in (site.now, site.soon, site.free):
            take_room(resources, unit.spec)
        site.taken += 1
        site.rack_free[0] -= unit.spec.accelerators
        world.note(
            "place",
            "A run is placed.",
            task=str(task.name),
            run=number,
            minion=site.minion.incarnation.minion,
            rack=site.minion.rack,
            rank=unit.rank,
            speed=round(site.minion.speed.value, 2),
            version=configuration.version if configuration else -1,
        )


def _make_room(
    world: BatchWorld, unit: Unit, groups: list[list[Site]], most_cost: float = inf
) -> bool:
    """Stop the cheapest less urgent work, and keep its room for the unit.

    Room for a part of the tasks is made too, unless they are a gang.

    Parameters
    ----------
    most_cost : float
        Most core-seconds of work that may be lost for one task.

    Returns
    -------
    bool
        Whether room was found for all tasks.
    """
    best = _cheapest(unit, groups, most_cost)
    for eviction in best:
        _stop_victims(world, unit, eviction)
        # a narrowed site shares its rooms with the site that it was made from
        for resources in (eviction.site.now, eviction.site.soon, eviction.site.free):
            take_room(resources, unit.spec, eviction.count)
    unit.tasks = unit.tasks[_count(best) :]
    return not unit.tasks


def _count(evictions: list[Eviction]) -> int:
    return sum(eviction.count for eviction in evictions)


def _cheapest(unit: Unit, groups: list[list[Site]], most_cost: float) -> list[Eviction]:
    """Return the evictions that serve the most tasks, and among those cost least."""
    best: list[Eviction] = []
    best_key = (0, 0.0)
    wanted = len(unit.tasks)
    # one member's room is of no use to a gang, so the whole gang's cost counts
    each = inf if unit.spec.gang else most_cost
    for group in groups:
        narrowed = [_only_below(site, unit.rank) for site in group]
        found = evict(narrowed, unit.spec, wanted, _rank_site_of(unit), each)
        cost = sum(eviction.cost for eviction in found)
        is_partial = _count(found) < wanted
        if unit.spec.gang and (is_partial or cost > most_cost * wanted):
            continue
        key = (-_count(found), cost)
        if key < best_key:
            best, best_key = found, key
    return best


def _only_below(site: Site, rank: int) -> Site:
    """Return a site whose victims are less urgent than a rank."""
    victims = [
        victim
        for victim in site.victims
        if not victim.task.stopping
        and (victim.rank > max(rank, 1) or (rank == 0 and victim.rank == 1))
        and (rank == 0 or not victim.ends_soon)
    ]
    return replace(site, victims=victims)


def _stop_victims(world: BatchWorld, unit: Unit, eviction: Eviction) -> None:
    for victim in eviction.victims:
        plan, task = victim.plan, victim.task
        step = plan.job.steps[task.name.step]
        stopped = plan.tasks[task.name.step] if step.gang else [task]
        add_room(eviction.site.free, victim.resources)
        for member in stopped:
            ask_stop(world, plan, member)
        world.tally.add("preemptions")
        world.note(
            "preempt",
            "A run makes room.",
            task=str(task.name),
            run=task.run,
            lost_core_s=round(victim.cost, 1),
            urgent=unit.plan.job.id,
        )
