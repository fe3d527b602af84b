"""Ways to choose a minion among those with a free slot."""

from collections.abc import Callable

from kingcuppost.tables.pools import MinionPool
from kingcuppost.tables.request import MinionHealth, Request
from kingcuppost.tables.world import World
from kingcuppost.utils.registry import Registry

__all__ = ["expected_ms", "policies"]

Policy = Callable[[World, Request, MinionPool, int], str]

policies: Registry[str, Policy] = Registry("routing policy")

DRAWS = 4
STALE_MS = 10_000
UNKNOWN_MS = float("inf")


def expected_ms(world: World, name: str, now_ms: int) -> float:
    """Return how long a minion would take for one more request, in ms.

    Measured service time, plus the wait that its present load means; what other
    entries have under way there is taken from the free slots last told. A minion
    with no recent measure is welcome to one request, so that it gets one.
    """
    health = world.health.get(name)
    own = world.attempts.count("minion", name)
    if own == 0 and not _is_measured(health, now_ms):
        return 0.0
    if health is None or not health.service_ms:
        return UNKNOWN_MS
    minion = world.agreed.minions.get(name)
    load = max(own, minion.slots - health.free_slots)
    waiting = max(0, load + 1 - minion.slots)
    return health.service_ms * (1 + waiting / minion.slots) * (1 + health.failures)


def _is_measured(health: MinionHealth | None, now_ms: int) -> bool:
    """Return whether an attempt of this entry ended there not long ago."""
    if health is None or not health.measured_ms:
        return False
    return now_ms - health.measured_ms <= STALE_MS


def _draw(world: World, request: Request, pool: MinionPool, other: str = "") -> str:
    """Return a minion at random, one not tried yet if the draws find it."""
    name = pool.draw(world.rng)
    for _ in range(DRAWS):
        if name not in request.tried and name != other:
            return name
        name = pool.draw(world.rng)
    return name


@policies.register("two_choices")
def two_choices(world: World, request: Request, pool: MinionPool, now_ms: int) -> str:
    """Return the better of two minions drawn at random."""
    first = _draw(world, request, pool)
    second = _draw(world, request, pool, first)

    def rank(name: str) -> tuple[bool, float, int]:
        own = world.attempts.count("minion", name)
        return name in request.tried, expected_ms(world, name, now_ms), own

    return min(first, second, key=rank)


@policies.register("random")
def at_random(world: World, request: Request, pool: MinionPool, now_ms: int) -> str:
    """Return a minion at random."""
    return _draw(world, request, pool)


@policies.register("round_robin")
def round_robin(world: World, request: Request, pool: MinionPool, now_ms: int) -> str:
    """Return the minions in turn."""
    return pool.next_in_turn()
