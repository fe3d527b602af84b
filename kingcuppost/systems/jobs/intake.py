"""Taking changed jobs into the queue."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.jobs.choice import policies
from kingcuppost.systems.jobs.queue import follow_jobs
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.world import World

__all__ = ["POLICY_KEY", "follow_queue"]

POLICY_KEY = "job.placement_policy"


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=50)
def follow_queue(world: World, now_ms: int) -> None:
    """Keep the queue in the order of the policy that the settings name."""
    name = str(effective_value(world.agreed, POLICY_KEY))
    follow_jobs(world, name, policies[name].rank)
