"""Evacuation of availability zones that stay out of service."""

from kingcuppost.settings import effective_value, zone_path
from kingcuppost.systems.agreement.scheduling_lease import is_scheduler
from kingcuppost.systems.jobs.placement import stop_gang
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import GangState
from kingcuppost.tables.world import World

__all__ = ["evacuate_zones"]

GRACE_KEY = "job.checkpoint_grace_ms"


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=80)
def evacuate_zones(world: World, now_ms: int) -> None:
    """Stop gangs in zones out of service, released ones only after a delay.

    If the zone returns before then, no work is lost. No gang starts there meanwhile:
    the fold rejects placements and releases in a zone out of service.
    """
    for name in world.agreed.availability_zones.take_changes("zones"):
        _track_zone(world, str(name), now_ms)
    if not is_scheduler(world):
        return
    for name, evacuate_at_ms in list(world.scheduling.evacuate_at_ms.items()):
        _evacuate(world, name, now_ms >= evacuate_at_ms, now_ms)
        if now_ms < evacuate_at_ms:
            world.deadlines.add(evacuate_at_ms)
        else:
            del world.scheduling.evacuate_at_ms[name]


def _track_zone(world: World, name: str, now_ms: int) -> None:
    zone = world.agreed.availability_zones.get(name)
    if zone is None or zone.in_service:
        world.scheduling.evacuate_at_ms.pop(name, None)
        return
    path = zone_path(zone.region, name)
    delay_ms = effective_value(world.agreed, "job.zone_keep_ms", path)
    world.scheduling.evacuate_at_ms.setdefault(name, now_ms + delay_ms)


def _evacuate(world: World, name: str, include_released: bool, now_ms: int) -> None:
    reason = f"moved, availability zone {name} is out"
    for worker in world.agreed.workers.find("availability_zone", name):
        row = world.scheduling.workers.get(worker.name)
        for key in list(row.allocations) if row is not None else ():
            gang = world.agreed.gangs.get(key)
            if gang is None or (
                gang.state is GangState.RELEASED and not include_released
            ):
                continue
            stop_gang(world, gang, reason, now_ms, GRACE_KEY)
