"""Fleets of simulated minions: how many in which racks, zones and kinds."""

import random
from dataclasses import dataclass

from kingcuppost.batch.tables.resources import Resources

__all__ = [
    "KIND",
    "RARE_KIND",
    "WHOLE",
    "MinionSpec",
    "make_default_fleet",
    "make_random_fleet",
    "make_random_minion",
]

KIND = "a"
RARE_KIND = "b"
RARE_KIND_RATIO = 0.25
SLOW_SPEED = 0.55
FAST_SPEED = 1.2
SLOW_RATIO = 0.25
ZONES = 3
MIN_RACKS = 2
MAX_RACKS = 5
MAX_RACK_MINIONS = 8
MIN_FLEET = 6
WHOLE = (64_000, 131_072, 8)
HALF = (32_000, 65_536, 4)
HALF_RATIO = 0.15


@dataclass(frozen=True, slots=True)
class MinionSpec:
    """A minion as a deployment begins with it or adds it.

    Attributes
    ----------
    id, zone, rack : str
        Its identifier and its location.
    kind : str
        Label that steps may require.
    capacity : tuple of int
        Processors in thousandths of a core, memory in MB, and accelerators.
    speed : float
        Work done per ms, in ms at speed 1.
    """

    id: str
    zone: str
    rack: str
    kind: str = KIND
    capacity: tuple[int, int, int] = WHOLE
    speed: float = FAST_SPEED

    @property
    def resources(self) -> Resources:
        """Return its capacity as resources of its own."""
        return Resources(*self.capacity)


def make_default_fleet(count: int) -> tuple[MinionSpec, ...]:
    """Return like minions in one rack of each zone; each fourth is slow."""
    return tuple(
        MinionSpec(
            f"m-{index}",
            f"zone-{index % ZONES}",
            f"r{index % ZONES}-1",
            speed=SLOW_SPEED if index % 4 == 0 else FAST_SPEED,
        )
        for index in range(count)
    )


def make_random_fleet(rng: random.Random) -> tuple[MinionSpec, ...]:
    """Return minions of several kinds in racks of unequal size."""
    sizes = [rng.randint(1, MAX_RACK_MINIONS) for _ in range(_random_rack_count(rng))]
    while sum(sizes) < MIN_FLEET:
        sizes.append(rng.randint(1, MAX_RACK_MINIONS))
    racks = [rack for rack, size in enumerate(sizes) for _ in range(size)]
    return tuple(
        make_random_minion(rng, f"m-{index}", rack) for index, rack in enumerate(racks)
    )


def _random_rack_count(rng: random.Random) -> int:
    return rng.randint(MIN_RACKS, MAX_RACKS)


def make_random_minion(rng: random.Random, minion_id: str, rack: int) -> MinionSpec:
    """Return a minion of random kind, capacity and speed in a rack."""
    return MinionSpec(
        minion_id,
        f"zone-{rack % ZONES}",
        f"r{rack}-1",
        RARE_KIND if rng.random() < RARE_KIND_RATIO else KIND,
        HALF if rng.random() < HALF_RATIO else WHOLE,
        SLOW_SPEED if rng.random() < SLOW_RATIO else FAST_SPEED,
    )
