"""Runs at minions that were not heard of until their leases had surely lapsed."""

from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.reports import lose_life
from kingcuppost.batch.systems.term import is_scheduling
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role

__all__ = ["AWAY_MS", "end_lapsed_lives", "note_absences"]

AWAY_MS = 1_700
PERIOD_MS = 100


@system(Phase.MEMBERSHIP, (Role.ENTRY,), order=10)
def end_lapsed_lives(world: BatchWorld, now_ms: int) -> None:
    """End the runs of lives whose leases have lapsed."""
    if not is_scheduling(world):
        return
    schedule = world.schedule
    for incarnation, sure_ms in list(schedule.lapse_times_ms.items()):
        if now_ms < sure_ms:
            continue
        lose_life(world, incarnation, "the lease has lapsed")
        for row in schedule.minions.find("incarnation", incarnation):
            schedule.minions.delete(row.sidecar)


@system(Phase.MEMBERSHIP, (Role.ENTRY,), order=20)
def note_absences(world: BatchWorld, now_ms: int) -> None:
    """Place nothing at minions that were not heard of for `AWAY_MS`."""
    if not is_scheduling(world) or now_ms < world.schedule.check_minions_at_ms:
        return
    world.schedule.check_minions_at_ms = now_ms + PERIOD_MS
    for row in world.schedule.minions:
        due_ms = row.last_report_ms + AWAY_MS
        if row.is_unreachable:
            continue
        if now_ms < due_ms:
            world.deadlines.add(due_ms)
            continue
        row.is_unreachable = True
        world.schedule.changed = True
        world.note("minion", "A minion is silent.", minion=row.incarnation.minion)
