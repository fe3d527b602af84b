"""Pools of the minions that can take another attempt, one for each service."""

import random

__all__ = ["MinionPool", "ServicePools"]


class MinionPool:
    """Set of minion names with random choice in constant time.

    Examples
    --------
    >>> pool = MinionPool()
    >>> pool.add("minion-0")
    >>> pool.choose_random(random.Random(1))
    'minion-0'
    """

    def __init__(self) -> None:
        self._names: list[str] = []
        self._positions: dict[str, int] = {}
        self._cursor = 0

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: object) -> bool:
        return name in self._positions

    def add(self, name: str) -> None:
        """Add a minion unless it is in the pool already."""
        if name not in self._positions:
            self._positions[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a minion by moving the last one to its position."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[position] = last
            self._positions[last] = position

    def choose_random(self, rng: random.Random) -> str:
        """Return a random minion; the pool must not be empty."""
        return self._names[rng.randrange(len(self._names))]

    def choose_next(self) -> str:
        """Return the next minion in round-robin order; the pool must not be empty."""
        self._cursor += 1
        return self._names[self._cursor % len(self._names)]


class ServicePools:
    """Pools of minions by service."""

    def __init__(self) -> None:
        self._pools: dict[str, MinionPool] = {}
        self._service_of: dict[str, str] = {}

    def pool(self, service: str) -> MinionPool:
        """Return the pool of a service; an empty one if it has no minions."""
        return self._pools.get(service) or MinionPool()

    def add(self, name: str, service: str) -> None:
        """Add a minion to the pool of its service and remove it from any other."""
        if self._service_of.get(name, service) != service:
            self.discard(name)
        self._service_of[name] = service
        self._pools.setdefault(service, MinionPool()).add(name)

    def discard(self, name: str) -> None:
        """Remove a minion from its pool."""
        service = self._service_of.pop(name, None)
        if service is None:
            return
        self._pools[service].discard(name)
