"""The registry of systems over the world of batch jobs."""

from kingcuppost.tables.identity import Role
from kingcuppost.utils.ticks import Phase, SystemRegistry, run_tick

__all__ = ["Phase", "run_tick", "system", "systems_of"]

_registry = SystemRegistry((Role.ENTRY, Role.SIDECAR))
system = _registry.system
systems_of = _registry.systems_of
