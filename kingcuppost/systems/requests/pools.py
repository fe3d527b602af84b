"""Which minions may get new work, kept up to date by what changed."""

from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.fleet import MemberState, Minion
from kingcuppost.tables.identity import Role
from kingcuppost.tables.world import World

__all__ = ["candidates", "follow_minions", "outstanding", "refresh_pool"]


def outstanding(world: World, minion: str) -> int:
    """Return how many attempts this entry has under way at a minion."""
    return world.attempts.count("minion", minion)


def candidates(world: World, service: str) -> list[Minion]:
    """Return the minions that may get new work of a service."""
    rows = world.agreed.minions.find("service", service)
    return [row for row in rows if _welcomes_work(world, row)]


def _welcomes_work(world: World, minion: Minion) -> bool:
    zone = world.agreed.availability_zones.get(minion.availability_zone)
    if zone is None or not zone.in_service:
        return False
    if minion.state is not MemberState.SERVING:
        return False
    health = world.health.get(minion.name)
    if health is None or health.incarnation != minion.incarnation:
        return True
    return not health.leaving


def refresh_pool(world: World, name: str, now_ms: int) -> None:
    """Put a minion into its pool, or take it out, as its rows say now."""
    minion = world.agreed.minions.get(name)
    if minion is None or not _welcomes_work(world, minion):
        world.pools.discard(name)
        return
    health = world.health.get(name)
    paused = health is not None and health.pause_ms > now_ms
    if paused or outstanding(world, name) >= minion.slots:
        world.pools.discard(name)
        return
    world.pools.add(name, minion.service)


@system(Phase.MEMBERSHIP, roles=(Role.ENTRY,), order=130)
def follow_minions(world: World, now_ms: int) -> None:
    """Bring the pools in line with minions and zones that changed."""
    changed = dict.fromkeys(world.agreed.minions.take_changes("routing"))
    zones = set(world.agreed.availability_zones.take_changes("routing"))
    if zones:
        for minion in world.agreed.minions:
            if minion.availability_zone in zones:
                changed[minion.name] = None
    changed.update(dict.fromkeys(world.pause_deadlines.take_due(now_ms)))
    for name in changed:
        refresh_pool(world, str(name), now_ms)
