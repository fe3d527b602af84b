"""What runs where: units whose turn has come, most urgent first.

Answers loads in which urgent gangs meet minions that are full of overnight work, wide
steps that must not starve, and minions of which a quarter work at half the speed.
"""

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
    allowed_sites,
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
HASTE_SHARE = 0.5
SPEED_STEPS = 4
PATIENCE_SHARE = 2.0


@system(Phase.DECIDE, (Role.ENTRY,))
def decide(world: BatchWorld, now_ms: int) -> None:
    """Place what waits, and make room for what is urgent."""
    schedule = world.schedule
    if not is_scheduling(world) or not schedule.changed:
        return
    schedule.changed = False
    covered = covered_jobs(world)
    sites = sites_of(world, now_ms, covered)
    units = sorted(
        units_of(world, covered),
        key=lambda unit: (unit.rank, unit.plan.job.accepted_ms),
    )
    for unit in units:
        _serve(world, unit, sites)
        if unit.is_urgent:
            world.deadlines.add(now_ms + RETRY_MS)


def _serve(world: BatchWorld, unit: Unit, sites: list[Site]) -> None:
    """Place a unit away from minions that failed it, or else at any that suit."""
    allowed = allowed_sites(unit, sites)
    preferred = without_avoided(unit, allowed)
    for chosen in (preferred, allowed):
        if _serve_at(world, unit, chosen) or len(preferred) == len(allowed):
            return


def _serve_at(world: BatchWorld, unit: Unit, sites: list[Site]) -> bool:
    """Place a unit, or make room for it; return whether it is cared for.

    Urgent units prefer fast minions, and make room there if it costs little. Only a
    team's guarantee is worth any amount of lost work, or running slowly in more than
    one rack.
    """
    every = _groups(unit, sites)
    if not unit.is_urgent:
        return _place_unit(world, unit, every)
    fast = _groups(unit, fast_sites(sites))
    if _place_unit(world, unit, fast):
        return True
    if _make_room(world, unit, fast, HASTE_SHARE * _own_work(unit)):
        return True
    if _place_unit(world, unit, every):
        return True
    if not unit.is_covered:
        return _make_room(world, unit, every, PATIENCE_SHARE * _own_work(unit))
    if _make_room(world, unit, every, None) or _place_unit(world, unit, [sites]):
        return True
    return _make_room(world, unit, [sites], None)


def _own_work(unit: Unit) -> float:
    """Return the unit's own work in core-seconds, by its estimate."""
    seconds = unit.spec.estimate_ms / MS_PER_SECOND
    return task_weight(unit.spec) * len(unit.tasks) * seconds


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
    return sum(how_many(site.minion.room, spec, count) for site in sites) >= count


def _rank_rack(unit: Unit, rack: list[Site]) -> tuple:
    """Rank a rack: the fastest gang first for urgent work, else the fullest rack."""
    free = sum(site.now.accelerators for site in rack)
    if not unit.is_urgent:
        return (free,)
    chosen = pick(rack, unit.spec, len(unit.tasks), _rank_site_of(unit))
    if len(chosen) < len(unit.tasks):
        return (1, 0.0, free)
    return (0, -min(site.minion.pace.value for site in chosen), free)


def _rank_site_of(unit: Unit) -> Rank:
    """Return how sites rank for a unit.

    Urgent work takes proven and fast minions. Other work fills up racks and minions
    that are nearly full, so that urgent gangs find whole racks. The last attempt of a
    task goes to a minion that has done work.
    """
    last_try = unit.is_last_try

    def rank(site: Site, step: StepSpec) -> tuple:
        row = site.minion
        fullness = (site.free.accelerators, site.free.cpu_millis)
        doubt = row.failures + (0 if row.proven else 1 if last_try else 0)
        if unit.is_urgent:
            speed = round(row.pace.value * SPEED_STEPS)
            return (doubt, -speed, *fullness, row.sidecar)
        return (doubt, site.rack_free[0], *fullness, -row.pace.value, row.sidecar)

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
        take_room(site.now, unit.spec)
        take_room(site.free, unit.spec)
        site.taken += 1
        site.rack_free[0] -= unit.spec.accelerators
        world.note(
            "place",
            "A run is placed.",
            task=str(task.name),
            run=number,
            minion=site.minion.life.minion,
            rack=site.minion.rack,
            rank=unit.rank,
            speed=round(site.minion.pace.value, 2),
            version=configuration.version if configuration else -1,
        )


def _make_room(
    world: BatchWorld, unit: Unit, groups: list[list[Site]], most_cost: float | None
) -> bool:
    """Stop the cheapest less urgent work, and keep its room for the unit.

    Returns
    -------
    bool
        Whether room was found for at most `most_cost` core-seconds of lost work.
    """
    best = _cheapest(unit, groups)
    if best is None:
        return False
    cost = sum(eviction.cost for eviction in best)
    if most_cost is not None and cost > most_cost:
        return False
    for eviction in best:
        _stop_victims(world, unit, eviction)
        # a narrowed site shares its rooms with the site that it was made from
        take_room(eviction.site.now, unit.spec, eviction.count)
        take_room(eviction.site.free, unit.spec, eviction.count)
    return True


def _cheapest(unit: Unit, groups: list[list[Site]]) -> list[Eviction] | None:
    best: list[Eviction] | None = None
    least = 0.0
    for group in groups:
        narrowed = [_only_below(site, unit.rank) for site in group]
        found = evict(narrowed, unit.spec, len(unit.tasks), _rank_site_of(unit))
        if found is None:
            continue
        cost = sum(eviction.cost for eviction in found)
        if best is None or cost < least:
            best, least = found, cost
    return best


def _only_below(site: Site, rank: int) -> Site:
    """Return a site whose victims are less urgent than a rank."""
    victims = [
        victim
        for victim in site.victims
        if not victim.task.stopping
        and (victim.rank > max(rank, 1) or (rank == 0 and victim.rank == 1))
    ]
    return Site(site.minion, site.free, site.now, site.rack_free, site.taken, victims)


def _stop_victims(world: BatchWorld, unit: Unit, eviction: Eviction) -> None:
    for victim in eviction.victims:
        plan, task = victim.plan, victim.task
        step = plan.job.steps[task.name.step]
        stopped = plan.tasks[task.name.step] if step.gang else [task]
        add_room(eviction.site.free, victim.room)
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
