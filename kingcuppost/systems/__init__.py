"""Systems: functions that run over the tables in each tick."""

from kingcuppost.systems import agreement, jobs, members, requests, views
from kingcuppost.systems.registry import Phase, System, run_tick, system, systems_of

__all__ = ["Phase", "System", "run_tick", "system", "systems_of"]

del agreement, jobs, members, requests, views
