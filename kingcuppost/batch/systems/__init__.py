"""Systems over the world of batch jobs, for entries and for sidecars.

`load_systems` imports only the modules of one role: start-up time is part of every
recovery.
"""

from importlib import import_module

from kingcuppost.batch.systems.registry import Phase, run_tick, system, systems_of
from kingcuppost.tables.identity import Role

__all__ = ["Phase", "load_systems", "run_tick", "system", "systems_of"]

MODULES = {
    Role.ENTRY: (
        "fold",
        "calls",
        "holder_election",
        "term_opening",
        "job_adoption",
        "sidecar_reports",
        "lease_expiry",
        "checkpoint_parts",
        "run_monitor",
        "scheduling",
        "explanations",
        "waits",
        "job_removal",
        "plan_writing",
        "sidecar_replies",
        "shutdown",
    ),
    Role.SIDECAR: (
        "sidecar_heartbeats",
        "sidecar_inbox",
        "scheduler_replies",
        "start_withdrawal",
        "minion_requests",
        "lease_withholding",
        "report_sending",
        "shutdown",
    ),
}


def load_systems(role: Role) -> list:
    """Import the systems of a role and return them in the order of a tick."""
    for name in MODULES[role]:
        import_module(f"kingcuppost.batch.systems.{name}")
    return systems_of(role)
