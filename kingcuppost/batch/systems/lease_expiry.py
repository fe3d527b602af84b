"""Expiry of minion leases, and exclusion of unreachable minions from placement.

An unreachable minion gets no new runs; its runs end only once its lease has expired.
"""

from kingcuppost.batch.systems.minion_leases import (
    mark_unreachable,
    take_expired_leases,
)
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.run_ends import end_incarnation_runs
from kingcuppost.batch.systems.term_opening import is_scheduling
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role

__all__ = ["UNREACHABLE_MS", "end_expired_incarnations", "mark_unreachable_minions"]

UNREACHABLE_MS = 1_700
CHECK_PERIOD_MS = 100


@system(Phase.MEMBERSHIP, (Role.ENTRY,), order=10)
def end_expired_incarnations(world: BatchWorld, now_ms: int) -> None:
    """End the runs of minion incarnations whose leases have certainly expired.

    Also removes their minions from the schedule.
    """
    if not is_scheduling(world):
        return
    schedule = world.schedule
    for incarnation in take_expired_leases(schedule, now_ms):
        end_incarnation_runs(world, incarnation, "the minion lease has expired")
        for minion in schedule.minions.find("incarnation", incarnation):
            schedule.minions.delete(minion.sidecar)


@system(Phase.MEMBERSHIP, (Role.ENTRY,), order=20)
def mark_unreachable_minions(world: BatchWorld, now_ms: int) -> None:
    """Exclude minions from placement after `UNREACHABLE_MS` without a report."""
    if not is_scheduling(world) or now_ms < world.schedule.check_minions_at_ms:
        return
    world.schedule.check_minions_at_ms = now_ms + CHECK_PERIOD_MS
    for minion in world.schedule.minions:
        due_ms = minion.last_report_ms + UNREACHABLE_MS
        if minion.is_unreachable:
            continue
        if now_ms < due_ms:
            world.deadlines.add(due_ms)
            continue
        mark_unreachable(world, minion, "its sidecar does not report")
