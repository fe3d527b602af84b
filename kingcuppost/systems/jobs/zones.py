"""Gangs leave an availability zone that stays out of service."""

from kingcuppost.settings import effective_value, zone_path
from kingcuppost.systems.agreement.scheduling_lease import is_scheduler
from kingcuppost.systems.jobs.placement import stop_gang
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import GangState
from kingcuppost.tables.world import World

__all__ = ["leave_zones"]

GRACE_KEY = "job.checkpoint_grace_ms"


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=80)
def leave_zones(world: World, now_ms: int) -> None:
    """Stop gangs in zones that are out, those that run only after a while.

    A zone that is back before then costs no work. Nothing starts there meanwhile:
    the fold refuses placements and releases in a zone that is out.
    """
    for name in world.agreed.availability_zones.take_changes("zones"):
        _follow_zone(world, str(name), now_ms)
    if not is_scheduler(world):
        return
    for name, leave_ms in list(world.scheduling.leave_ms.items()):
        _leave(world, name, now_ms >= leave_ms, now_ms)
        if now_ms < leave_ms:
            world.deadlines.add(leave_ms)
        else:
            del world.scheduling.leave_ms[name]


def _follow_zone(world: World, name: str, now_ms: int) -> None:
    zone = world.agreed.availability_zones.get(name)
    if zone is None or zone.in_service:
        world.scheduling.leave_ms.pop(name, None)
        return
    path = zone_path(zone.region, name)
    keep_ms = effective_value(world.agreed, "job.zone_keep_ms", path)
    world.scheduling.leave_ms.setdefault(name, now_ms + keep_ms)


def _leave(world: World, name: str, running_too: bool, now_ms: int) -> None:
    reason = f"moved, availability zone {name} is out"
    for worker in world.agreed.workers.find("availability_zone", name):
        row = world.scheduling.workers.get(worker.name)
        for key in list(row.holds) if row is not None else ():
            gang = world.agreed.gangs.get(key)
            if gang is None or (gang.state is GangState.RELEASED and not running_too):
                continue
            stop_gang(world, gang, reason, now_ms, GRACE_KEY)
