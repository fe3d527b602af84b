"""The registry of systems that run over the world of an entry or a sidecar."""

from kingcuppost.tables.identity import Role
from kingcuppost.utils.ticks import Phase, System, SystemRegistry, run_tick

__all__ = ["Phase", "System", "run_tick", "system", "systems_of"]

_registry = SystemRegistry((Role.ENTRY, Role.SIDECAR))
system = _registry.system
systems_of = _registry.systems_of
