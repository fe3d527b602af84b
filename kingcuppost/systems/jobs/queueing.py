"""The system that updates the queue of waiting jobs."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.jobs.choice import policies
from kingcuppost.systems.jobs.job_queue import apply_job_changes
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.world import World

__all__ = ["POLICY_KEY", "update_queue"]

POLICY_KEY = "job.placement_policy"


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=50)
def update_queue(world: World, now_ms: int) -> None:
    """Apply job changes to the queue, ordered by the policy in the settings."""
    name = str(effective_value(world.agreed, POLICY_KEY))
    apply_job_changes(world, name, policies[name].sort_key)
