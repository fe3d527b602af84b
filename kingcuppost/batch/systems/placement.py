"""Where the tasks of a step fit: pure functions over free room."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from math import inf

from kingcuppost.batch.tables.fleet import MinionRow, Resources
from kingcuppost.batch.tables.job import Plan, StepSpec, Task

__all__ = [
    "Eviction",
    "Rank",
    "Site",
    "Victim",
    "add_room",
    "evict",
    "how_many",
    "pick",
    "sub_room",
    "take_room",
]


@dataclass(slots=True)
class Victim:
    """Work that may be stopped for a more urgent step.

    Attributes
    ----------
    plan, task : Plan, Task
        The run and its job.
    rank : int
        How urgent it is; 0 comes first.
    resources : Room
        What stopping it sets free.
    cost : float
        Work that would be lost, in core-seconds.
    ends_soon : bool
        Whether the run is about to end by itself.
    """

    plan: Plan
    task: Task
    rank: int
    resources: Resources
    cost: float
    ends_soon: bool = False


@dataclass(slots=True)
class Site:
    """A minion as placement sees it.

    Attributes
    ----------
    minion : MinionRow
        The minion.
    free : Room
        What is free, or will be when runs that are being stopped have ended.
    now : Room
        What is free at once.
    soon : Room
        What is free once runs have ended that are all but done.
    rack_free : list of int
        Accelerators that are free in the whole rack; one list for all its sites.
    taken : int
        Tasks of the step at hand that are there already.
    victims : list of Victim
        What may be stopped, cheapest first.
    is_slow : bool
        Whether the minion works much slower than most.
    """

    minion: MinionRow
    free: Resources
    now: Resources
    soon: Resources
    rack_free: list[int]
    taken: int = 0
    victims: list[Victim] = field(default_factory=list)
    is_slow: bool = False


def take_room(resources: Resources, step: StepSpec, count: int = 1) -> None:
    """Take room for tasks of a step."""
    sub_room(
        resources,
        Resources(
            step.cpu_millis * count,
            step.memory_mb * count,
            step.accelerators * count,
        ),
    )


def add_room(resources: Resources, other: Resources) -> None:
    """Add room that is set free."""
    resources.cpu_millis += other.cpu_millis
    resources.memory_mb += other.memory_mb
    resources.accelerators += other.accelerators


def sub_room(resources: Resources, other: Resources) -> None:
    """Take room away."""
    resources.cpu_millis -= other.cpu_millis
    resources.memory_mb -= other.memory_mb
    resources.accelerators -= other.accelerators


def how_many(resources: Resources, step: StepSpec, most: int) -> int:
    """Return how many tasks of a step fit into room.

    Examples
    --------
    >>> how_many(Resources(64_000, 100, 8), StepSpec(4, cpu_millis=26_000), 9)
    2
    """
    count = most
    for has, needs in (
        (resources.cpu_millis, step.cpu_millis),
        (resources.memory_mb, step.memory_mb),
        (resources.accelerators, step.accelerators),
    ):
        if needs:
            count = min(count, has // needs)
    return max(count, 0)


def _most_here(site: Site, step: StepSpec, wanted: int) -> int:
    if not step.most_per_minion:
        return wanted
    return min(wanted, max(step.most_per_minion - site.taken, 0))


Rank = Callable[[Site, StepSpec], tuple]


def pick(
    sites: Iterable[Site],
    step: StepSpec,
    wanted: int,
    rank: Rank,
    is_soon: bool = False,
) -> list[Site]:
    """Return a site for each of as many tasks as fit, best ranks first.

    Parameters
    ----------
    sites : iterable of Site
        Where the tasks may go.
    step : StepSpec
        What each task needs.
    wanted : int
        How many tasks.
    rank : callable
        Ranks a site for a step; the smallest goes first.
    is_soon : bool
        Whether room counts that is about to be free.
    """
    chosen: list[Site] = []
    for site in sorted(sites, key=lambda site: rank(site, step)):
        left = wanted - len(chosen)
        if not left:
            break
        resources = site.soon if is_soon else site.now
        count = how_many(resources, step, _most_here(site, step, left))
        chosen.extend([site] * count)
    return chosen


@dataclass(slots=True)
class Eviction:
    """Tasks that fit at a site once some victims are stopped."""

    site: Site
    count: int
    cost: float
    victims: list[Victim]


def _next_eviction(site: Site, step: StepSpec, done: Eviction, most: int) -> Eviction:
    """Return how one more task could fit at a site, or the same if it can't."""
    wanted = done.count + 1
    resources = replace(site.free)
    victims: list[Victim] = []
    for victim in site.victims:
        if how_many(resources, step, most) >= wanted:
            break
        add_room(resources, victim.resources)
        victims.append(victim)
    if how_many(resources, step, most) < wanted:
        return done
    victims = _only_needed(resources, step, wanted, victims)
    cost = sum(victim.cost for victim in victims)
    return Eviction(site, how_many(resources, step, most), cost, victims)


def _only_needed(
    resources: Resources, step: StepSpec, wanted: int, victims: list[Victim]
) -> list[Victim]:
    """Return the victims without which the room would be too small."""
    needed = []
    for victim in reversed(victims):
        without = replace(resources)
        sub_room(without, victim.resources)
        if how_many(without, step, wanted) >= wanted:
            sub_room(resources, victim.resources)
        else:
            needed.append(victim)
    return needed


def evict(
    sites: list[Site],
    step: StepSpec,
    wanted: int,
    rank: Rank,
    most_cost: float = inf,
) -> list[Eviction]:
    """Return the cheapest evictions that make room for as many tasks as possible.

    Tasks go one by one to where the next one costs least; among equals to the
    site that ranks first.

    Parameters
    ----------
    sites : list of Site
        Where the tasks may go.
    step : StepSpec
        What each task needs.
    wanted : int
        How many tasks.
    rank : callable
        Ranks a site for a step; the smallest goes first.
    most_cost : float
        Most core-seconds that may be lost for one task.
    """
    plans = {id(site): Eviction(site, 0, 0.0, []) for site in sites}
    placed = 0
    while placed < wanted:
        best: Eviction | None = None
        best_key: tuple | None = None
        for site in sites:
            done = plans[id(site)]
            most = _most_here(site, step, done.count + wanted - placed)
            after = _next_eviction(site, step, done, most)
            if after.count == done.count:
                continue
            key = (
                (after.cost - done.cost) / (after.count - done.count),
                rank(site, step),
            )
            if best_key is None or key < best_key:
                best, best_key = after, key
        if best is None or best_key[0] > most_cost:
            break
        placed += best.count - plans[id(best.site)].count
        plans[id(best.site)] = best
    return [plan for plan in plans.values() if plan.count]
