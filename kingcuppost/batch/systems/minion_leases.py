"""Leases of minions as the holder knows them.

A minion stops its runs once its lease has expired on its own clock. The holder counts a
lease as expired only when that is certain on any clock.
"""

from kingcuppost.batch.tables.fleet import MinionLease
from kingcuppost.batch.tables.job import MinionIncarnation
from kingcuppost.batch.tables.world import BatchWorld, Schedule
from kingcuppost.utils.clock import NEVER_MS

__all__ = ["certain_expiry_ms", "extend_lease", "take_expired_leases"]

EXPIRY_MARGIN_MS = 400
MAX_CLOCK_DRIFT_RATIO = 1.03


def certain_expiry_ms(lease_ms: int) -> int:
    """Return the time after a report by which a minion lease has expired, in ms.

    The lease has expired by then even if the minion's clock is slower than this
    process's clock by the factor `MAX_CLOCK_DRIFT_RATIO`.
    """
    return int(lease_ms * MAX_CLOCK_DRIFT_RATIO) + EXPIRY_MARGIN_MS


def extend_lease(
    world: BatchWorld, incarnation: MinionIncarnation, sidecar: str, now_ms: int
) -> None:
    """Note that the lease of a minion incarnation may have been extended until now."""
    schedule = world.schedule
    expiry_ms = now_ms + certain_expiry_ms(world.cfg.bounds.lease_ms)
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
