"""The registry of systems and the tick that runs them."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from kingcuppost.tables.identity import Role
from kingcuppost.tables.world import World

__all__ = ["Phase", "System", "run_tick", "system", "systems_of"]

SystemFunction = Callable[[World, int], None]

BOTH_ROLES = (Role.ENTRY, Role.SIDECAR)


class Phase(IntEnum):
    """Order of the systems in a tick."""

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
        Module and function.
    phase : Phase
        When it runs in a tick.
    roles : tuple of Role
        Processes that run it.
    run : callable
        The function ``run(world, now_ms)``.
    """

    name: str
    phase: Phase
    roles: tuple[Role, ...]
    run: SystemFunction


_systems: dict[str, System] = {}


def system(
    phase: Phase, roles: tuple[Role, ...] = BOTH_ROLES
) -> Callable[[SystemFunction], SystemFunction]:
    """Return a decorator that registers a system.

    Parameters
    ----------
    phase : Phase
        When it runs in a tick; within a phase, systems run by name.
    roles : tuple of Role
        Processes that run it.
    """

    def register(run: SystemFunction) -> SystemFunction:
        name = f"{run.__module__}.{run.__name__}"
        _systems[name] = System(name, phase, roles, run)
        return run

    return register


def systems_of(role: Role) -> list[System]:
    """Return a role's systems in the order in which a tick runs them."""
    chosen = [item for item in _systems.values() if role in item.roles]
    return sorted(chosen, key=lambda item: (item.phase, item.name))


def run_tick(world: World, systems: list[System], now_ms: int) -> None:
    """Run every system once.

    Parameters
    ----------
    world : World
        Tables of the process.
    systems : list of System
        What `systems_of` returned.
    now_ms : int
        Monotonic time of the tick.
    """
    world.deadlines.drop_due(now_ms)
    for item in systems:
        item.run(world, now_ms)
