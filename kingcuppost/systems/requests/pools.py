"""Upkeep of the pools of minions that can take new work."""

from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.fleet import MemberState, Minion
from kingcuppost.tables.identity import Role
from kingcuppost.tables.world import World

__all__ = ["count_attempts", "eligible_minions", "refresh_pool", "refresh_pools"]


def count_attempts(world: World, minion: str) -> int:
    """Return the number of open attempts of this entry at a minion."""
    return world.attempts.count("minion", minion)


def eligible_minions(world: World, service: str) -> list[Minion]:
    """Return the minions of a service that accept new work."""
    rows = world.agreed.minions.find("service", service)
    return [row for row in rows if _accepts_work(world, row)]


def _accepts_work(world: World, minion: Minion) -> bool:
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
    """Add a minion to its pool or remove it, depending on its current state."""
    minion = world.agreed.minions.get(name)
    if minion is None or not _accepts_work(world, minion):
        world.pools.discard(name)
        return
    health = world.health.get(name)
    paused = health is not None and health.paused_until_ms > now_ms
    if paused or count_attempts(world, name) >= minion.slots:
        world.pools.discard(name)
        return
    world.pools.add(name, minion.service)


@system(Phase.MEMBERSHIP, roles=(Role.ENTRY,), order=130)
def refresh_pools(world: World, now_ms: int) -> None:
    """Refresh the pools for changed minions and zones and for ended pauses."""
    changed = dict.fromkeys(world.agreed.minions.take_changes("routing"))
    zones = set(world.agreed.availability_zones.take_changes("routing"))
    if zones:
        for minion in world.agreed.minions:
            if minion.availability_zone in zones:
                changed[minion.name] = None
    changed.update(dict.fromkeys(world.pause_deadlines.take_due(now_ms)))
    for name in changed:
        refresh_pool(world, str(name), now_ms)
