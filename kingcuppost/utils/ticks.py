"""Registries of systems, and the tick that runs the systems in order."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

__all__ = [
    "Phase",
    "System",
    "SystemRegistry",
    "SystemTime",
    "run_tick",
    "time_tick",
]

SystemFunction = Callable[[Any, int], None]


class Phase(IntEnum):
    """Phases of a tick, in the order in which they run.

    Attributes
    ----------
    FOLD
        Apply new records of the log to the agreed tables.
    INTAKE
        Handle other messages of the inbox.
    MEMBERSHIP
        Update what follows from the fold and from time, such as leases and expiries.
    DECIDE
        Decide on placements and routes.
    ACT
        Send orders, reports and attempts.
    PROPOSE
        Read the log and append proposed records.
    REPORT
        Answer requests for the state that results, and finish what has ended.
    """

    FOLD = 1
    INTAKE = 2
    MEMBERSHIP = 3
    DECIDE = 4
    ACT = 5
    PROPOSE = 6
    REPORT = 7


@dataclass(frozen=True, slots=True)
class System:
    """A registered system.

    Attributes
    ----------
    name : str
        Names of the module and the function.
    phase : Phase
        Phase of the tick in which it runs.
    order : int
        Position among the systems of its phase; lower runs first.
    roles : tuple of str
        Roles of the processes that run it.
    run : callable
        The function ``run(world, now_ms)``.
    """

    name: str
    phase: Phase
    order: int
    roles: tuple[str, ...]
    run: SystemFunction


@dataclass(frozen=True, slots=True)
class SystemTime:
    """Time that a system took in a tick.

    Attributes
    ----------
    name : str
        Name of the system; empty if the role has none.
    duration_ms : float
        The time, in ms.
    """

    name: str = ""
    duration_ms: float = 0.0


class SystemRegistry:
    """Systems that run over one type of world.

    Parameters
    ----------
    roles : tuple of str
        Roles of a system that is registered without any.

    Examples
    --------
    >>> registry = SystemRegistry(("entry",))
    >>> @registry.system(Phase.FOLD, order=10)
    ... def fold(world, now_ms):
    ...     world.append(now_ms)
    >>> world = []
    >>> [item.run(world, 5) for item in registry.systems_of("entry")]
    [None]
    >>> world
    [5]
    """

    def __init__(self, roles: tuple[str, ...]) -> None:
        self._roles = roles
        self._systems: dict[str, System] = {}

    def system(
        self, phase: Phase, roles: tuple[str, ...] | None = None, *, order: int
    ) -> Callable[[SystemFunction], SystemFunction]:
        """Return a decorator that registers a system.

        Parameters
        ----------
        phase : Phase
            Phase of the tick in which it runs.
        roles : tuple of str, optional
            Roles of the processes that run it; all roles of the registry if None.
        order : int
            Position among the systems of its phase, unique in the registry; lower
            runs first.

        Raises
        ------
        ValueError
            If another system of the phase has the same position.
        """

        def register(run: SystemFunction) -> SystemFunction:
            name = f"{run.__module__}.{run.__name__}"
            self._check_position(name, phase, order)
            system_roles = roles or self._roles
            self._systems[name] = System(name, phase, order, system_roles, run)
            return run

        return register

    def _check_position(self, name: str, phase: Phase, order: int) -> None:
        for item in self._systems.values():
            if (item.phase, item.order) == (phase, order) and item.name != name:
                raise ValueError(
                    f"{name}: {item.name} has position {order} of {phase!r}"
                )

    def systems_of(self, role: str) -> list[System]:
        """Return the systems of a role in the order in which a tick runs them."""
        selected = [item for item in self._systems.values() if role in item.roles]
        return sorted(selected, key=lambda item: (item.phase, item.order))


def run_tick(world: Any, systems: list[System], now_ms: int) -> None:
    """Drop the deadlines that are due, then run every system once.

    Parameters
    ----------
    world : object
        World of the process; has an attribute `deadlines`.
    systems : list of System
        Systems in order, as `SystemRegistry.systems_of` returns them.
    now_ms : int
        Monotonic time of the tick, in ms.
    """
    world.deadlines.drop_due(now_ms)
    for item in systems:
        item.run(world, now_ms)


def time_tick(
    world: Any, systems: list[System], now_ms: int, read_ms: Callable[[], float]
) -> SystemTime:
    """Run a tick as `run_tick` does; return the system that took longest.

    Parameters
    ----------
    read_ms : callable
        Returns the reading of a clock, in ms.
    """
    longest = SystemTime()
    world.deadlines.drop_due(now_ms)
    started_ms = read_ms()
    for item in systems:
        item.run(world, now_ms)
        ended_ms = read_ms()
        if ended_ms - started_ms > longest.duration_ms:
            longest = SystemTime(item.name, ended_ms - started_ms)
        started_ms = ended_ms
    return longest
