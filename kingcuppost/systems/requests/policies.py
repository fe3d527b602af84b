"""Routing policies: the choice of a minion among those with a free slot."""

from collections.abc import Callable

from kingcuppost.tables.pools import MinionPool
from kingcuppost.tables.request import MinionHealth, Request
from kingcuppost.tables.world import World
from kingcuppost.utils.registry import Registry

__all__ = ["expected_latency_ms", "policies"]

Policy = Callable[[World, Request, MinionPool, int], str]

policies: Registry[str, Policy] = Registry("routing policy")

MAX_DRAWS = 4
MAX_MEASUREMENT_AGE_MS = 10_000
UNKNOWN_LATENCY_MS = float("inf")


def expected_latency_ms(world: World, name: str, now_ms: int) -> float:
    """Return the expected latency of one more request at a minion, in ms.

    It is the measured service time, increased for the wait behind the current load
    and for exchanges that failed since the last answer or heartbeat. The load from
    other entries follows from the free slots last reported. The latency of a minion
    without a recent measurement counts as 0 while this entry has no attempt there, so
    that one request goes there to measure it.
    """
    health = world.health.get(name)
    own_attempts = world.attempts.count("minion", name)
    if own_attempts == 0 and not _is_measurement_fresh(health, now_ms):
        return 0.0
    if health is None or not health.service_ms:
        return UNKNOWN_LATENCY_MS
    minion = world.agreed.minions.get(name)
    load = max(own_attempts, minion.slots - health.free_slots)
    waiting = max(0, load + 1 - minion.slots)
    return health.service_ms * (1 + waiting / minion.slots) * (1 + health.failures)


def _is_measurement_fresh(health: MinionHealth | None, now_ms: int) -> bool:
    """Return whether an exchange about an attempt ended recently, even if it failed."""
    if health is None or not health.last_measured_ms:
        return False
    return now_ms - health.last_measured_ms <= MAX_MEASUREMENT_AGE_MS


def _choose_untried(
    world: World, request: Request, pool: MinionPool, other: str = ""
) -> str:
    """Return a random minion, preferably neither tried before nor `other`."""
    name = pool.choose_random(world.rng)
    for _ in range(MAX_DRAWS):
        if name not in request.tried_minions and name != other:
            return name
        name = pool.choose_random(world.rng)
    return name


@policies.register("two_choices")
def two_choices(world: World, request: Request, pool: MinionPool, now_ms: int) -> str:
    """Return the better of two random minions.

    A minion not tried before is better, then the one with the lower expected latency,
    then the one with fewer open attempts of this entry.
    """
    first = _choose_untried(world, request, pool)
    second = _choose_untried(world, request, pool, first)

    def sort_key(name: str) -> tuple[bool, float, int]:
        own_attempts = world.attempts.count("minion", name)
        return (
            name in request.tried_minions,
            expected_latency_ms(world, name, now_ms),
            own_attempts,
        )

    return min(first, second, key=sort_key)


@policies.register("random")
def at_random(world: World, request: Request, pool: MinionPool, now_ms: int) -> str:
    """Return a random minion, preferably one not tried before."""
    return _choose_untried(world, request, pool)


@policies.register("round_robin")
def round_robin(world: World, request: Request, pool: MinionPool, now_ms: int) -> str:
    """Return the next minion in round-robin order."""
    return pool.choose_next()
