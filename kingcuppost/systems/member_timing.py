"""Leases, periods and time limits for members of gangs, from the settings."""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.tables.job import Gang
from kingcuppost.tables.world import World

__all__ = [
    "confirmation_ms",
    "full_report_period_ms",
    "grace_ms",
    "heartbeat_period_ms",
    "isolation_ms",
    "lease_ms",
    "reservation_ms",
]

MAX_START_DELAY_MS = 3_000
START_MARGIN_MS = 250
CONFIRMATIONS_PER_LEASE = 2
HEARTBEATS_UNTIL_ISOLATED = 3


def lease_ms(world: World, gang: Gang) -> int:
    """Return how long members may run after their gang was last whole, in ms."""
    return effective_value(world.agreed, "job.lease_ms", team_path(gang.team))


def confirmation_ms(world: World, gang: Gang) -> int:
    """Return how long one confirmation by the leader is valid, in ms.

    The leader declares the gang broken at most this long after a member's last
    report. A confirmation that it gave just before is valid for this long again, so
    that both times together make up the lease.
    """
    return lease_ms(world, gang) // CONFIRMATIONS_PER_LEASE


def grace_ms(world: World, gang: Gang | None) -> int:
    """Return the time for a checkpoint before members are stopped, in ms.

    The time in the stop record takes precedence over the team's setting.
    """
    if gang is None:
        return effective_value(world.agreed, "job.checkpoint_grace_ms")
    if gang.grace_ms >= 0:
        return gang.grace_ms
    path = team_path(gang.team)
    return effective_value(world.agreed, "job.checkpoint_grace_ms", path)


def reservation_ms(world: World) -> int:
    """Return how long the worker keeps a reservation without a renewal, in ms.

    A start order that is delayed in flight takes effect only while the reservation
    is valid. A start is therefore later than the view of the log that it is based
    on by at most the age of that view plus this time. Together they stay
    `START_MARGIN_MS` below `MAX_START_DELAY_MS`, after which no task may start in a
    zone taken out of service.
    """
    wanted_ms = effective_value(world.agreed, "job.reservation_ms")
    fresh_ms = effective_value(world.agreed, "log.fresh_ms")
    return min(wanted_ms, MAX_START_DELAY_MS - START_MARGIN_MS - fresh_ms)


def heartbeat_period_ms(world: World) -> int:
    """Return the period of a sidecar's heartbeats, in ms.

    It grows with the number of sidecars per entry, so that an entry receives a
    bounded number of heartbeats per second.
    """
    period_ms = effective_value(world.agreed, "heartbeat.period_ms")
    gap_ms = effective_value(world.agreed, "heartbeat.gap_ms")
    sidecars = len(world.agreed.minions) / max(len(world.agreed.entries), 1)
    return max(period_ms, int(sidecars * gap_ms))


def full_report_period_ms(world: World) -> int:
    """Return the period of a sidecar's full reports of its members, in ms.

    It grows with the number of sidecars, so that the holder of the scheduling lease
    receives a bounded number of reports per second.
    """
    period_ms = effective_value(world.agreed, "heartbeat.full_ms")
    gap_ms = effective_value(world.agreed, "heartbeat.full_gap_ms")
    return max(period_ms, len(world.agreed.minions) * gap_ms)


def isolation_ms(world: World) -> int:
    """Return how long members may run while cut off from the log and entries, in ms.

    It covers at least `HEARTBEATS_UNTIL_ISOLATED` heartbeats, since these are a
    sidecar's only contact with the entries.
    """
    wanted_ms = effective_value(world.agreed, "job.isolation_ms")
    return max(wanted_ms, HEARTBEATS_UNTIL_ISOLATED * heartbeat_period_ms(world))
