"""Bounds that members of gangs are held to, from the settings."""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.tables.job import Gang
from kingcuppost.tables.world import World

__all__ = [
    "beat_period_ms",
    "confirm_ms",
    "full_period_ms",
    "grace_ms",
    "isolation_ms",
    "lease_ms",
    "reservation_ms",
]

MAX_START_DELAY_MS = 3_000
START_MARGIN_MS = 250
CONFIRMATIONS_PER_LEASE = 2
HEARTBEATS_UNTIL_ISOLATED = 3


def lease_ms(world: World, gang: Gang) -> int:
    """Return how long members may run after the gang was last whole, in ms."""
    return effective_value(world.agreed, "job.lease_ms", team_path(gang.team))


def confirm_ms(world: World, gang: Gang) -> int:
    """Return how long one confirmation by the leader lasts, in ms.

    The leader hears a member for the last time up to this long before it calls
    the gang broken, and its last confirmation lasts this long: together the lease.
    """
    return lease_ms(world, gang) // CONFIRMATIONS_PER_LEASE


def grace_ms(world: World, gang: Gang | None) -> int:
    """Return the time that members get for a checkpoint before they are stopped.

    The stop's own time counts if it names one, else the setting of the team.
    """
    if gang is None:
        return effective_value(world.agreed, "job.checkpoint_grace_ms")
    if gang.grace_ms >= 0:
        return gang.grace_ms
    path = team_path(gang.team)
    return effective_value(world.agreed, "job.checkpoint_grace_ms", path)


def reservation_ms(world: World) -> int:
    """Return how long the worker holds a reservation without a renewal, in ms.

    A start order that is late in flight takes effect only while the reservation
    holds. So a start follows the view that it rests on by no more than the age of
    that view and this time, which together stay below `MAX_START_DELAY_MS`.
    """
    wanted_ms = effective_value(world.agreed, "job.reservation_ms")
    fresh_ms = effective_value(world.agreed, "log.fresh_ms")
    return min(wanted_ms, MAX_START_DELAY_MS - START_MARGIN_MS - fresh_ms)


def beat_period_ms(world: World) -> int:
    """Return the period of a sidecar's heartbeats, in ms.

    It stretches with the number of sidecars that one entry is home to, so that
    the heartbeats that an entry hears in a second are bounded.
    """
    period_ms = effective_value(world.agreed, "heartbeat.period_ms")
    gap_ms = effective_value(world.agreed, "heartbeat.gap_ms")
    sidecars = len(world.agreed.minions) / max(len(world.agreed.entries), 1)
    return max(period_ms, int(sidecars * gap_ms))


def full_period_ms(world: World) -> int:
    """Return the period in which a sidecar reports all members anew, in ms.

    It stretches with the sidecars, so that the reports that the scheduling holder
    hears in a second are bounded.
    """
    period_ms = effective_value(world.agreed, "heartbeat.full_ms")
    gap_ms = effective_value(world.agreed, "heartbeat.full_gap_ms")
    return max(period_ms, len(world.agreed.minions) * gap_ms)


def isolation_ms(world: World) -> int:
    """Return after how long without log and entries members are stopped, in ms.

    Never less than a few heartbeats, since entries are heard only by them.
    """
    wanted_ms = effective_value(world.agreed, "job.isolation_ms")
    return max(wanted_ms, HEARTBEATS_UNTIL_ISOLATED * beat_period_ms(world))
