"""Routing of queued requests to minions."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.claims import claim_key
from kingcuppost.systems.requests.policies import policies
from kingcuppost.systems.requests.sending import send_attempt
from kingcuppost.tables.identity import Role
from kingcuppost.tables.request import Request
from kingcuppost.tables.world import World
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["route_requests"]


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=110)
def route_requests(world: World, now_ms: int) -> None:
    """Send queued requests or claim their keys while their service has free minions."""
    for service in world.request_queue.services():
        while len(world.pools.pool(service)):
            request_id = world.request_queue.pop(service)
            if request_id is None:
                break
            _route_request(world, world.requests.get(request_id), now_ms)


def _route_request(world: World, request: Request, now_ms: int) -> None:
    policy = policies[effective_value(world.agreed, "request.routing")]
    pool = world.pools.pool(request.service)
    minion = world.agreed.minions.get(policy(world, request, pool, now_ms))
    if request.key:
        claim_key(world, request, minion, now_ms)
        return
    send_attempt(world, request, minion, new_identifier(world.rng, "att"), 0, now_ms)
