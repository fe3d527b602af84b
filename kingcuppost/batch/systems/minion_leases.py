"""Leases of minions as the holder knows them.

A minion stops its runs once its lease has expired on its own clock. The holder counts a
lease as expired only when that is certain on any clock.
"""

from kingcuppost.batch.systems.run_end_rule import certain_expiry_ms
from kingcuppost.batch.tables.fleet import MinionLease, MinionRow
from kingcuppost.batch.tables.job import MinionIncarnation
from kingcuppost.batch.tables.world import BatchWorld, Schedule
from kingcuppost.utils.clock import NEVER_MS

__all__ = ["extend_lease", "mark_unreachable", "take_expired_leases"]


def extend_lease(
    world: BatchWorld, incarnation: MinionIncarnation, sidecar: str, until_ms: int
) -> None:
    """Note that the lease of a minion incarnation may be extended until a time.

    An expiry that is known to be later stays.
    """
    schedule = world.schedule
    expiry_ms = until_ms + certain_expiry_ms(world.cfg.bounds.lease_ms)
    known = schedule.leases.get(incarnation)
    if known is not None:
        expiry_ms = max(expiry_ms, known.expiry_ms)
    schedule.leases.put(MinionLease(incarnation, sidecar, expiry_ms))
    schedule.next_expiry_ms = min(schedule.next_expiry_ms, expiry_ms)
    world.deadlines.add(expiry_ms)


def take_expired_leases(schedule: Schedule, now_ms: int) -> list[MinionIncarnation]:
    """Remove the leases that have certainly expired, and return their incarnations.

    `next_expiry_ms` is not raised with each extension, so the leases are looked at only
    when the earliest one may have expired.
    """
    if now_ms < schedule.next_expiry_ms:
        return []
    expired = [lease for lease in schedule.leases if lease.expiry_ms <= now_ms]
    for lease in expired:
        schedule.leases.delete(lease.incarnation)
    schedule.next_expiry_ms = min(
        (lease.expiry_ms for lease in schedule.leases),
        default=NEVER_MS,
    )
    return [lease.incarnation for lease in expired]


def mark_unreachable(world: BatchWorld, minion: MinionRow, reason: str) -> None:
    """Exclude a minion from placement until a report in contact with it comes."""
    if minion.is_unreachable:
        return
    minion.is_unreachable = True
    world.schedule.inputs_changed = True
    world.note(
        "minion",
        "A minion is unreachable.",
        minion=minion.incarnation.minion,
        reason=reason,
    )
