"""Choosing a minion for each queued request."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.claims import claim
from kingcuppost.systems.requests.policies import policies
from kingcuppost.systems.requests.sending import send
from kingcuppost.tables.identity import Role
from kingcuppost.tables.request import Request
from kingcuppost.tables.world import World
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["route"]


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=110)
def route(world: World, now_ms: int) -> None:
    """Send queued requests in turn while a minion of their service is free."""
    for service in world.request_queue.services():
        while len(world.pools.pool(service)):
            request_id = world.request_queue.pop(service)
            if request_id is None:
                break
            _start(world, world.requests.get(request_id), now_ms)


def _start(world: World, request: Request, now_ms: int) -> None:
    policy = policies[effective_value(world.agreed, "request.routing")]
    pool = world.pools.pool(request.service)
    minion = world.agreed.minions.get(policy(world, request, pool, now_ms))
    if request.key:
        claim(world, request, minion, now_ms)
        return
    send(world, request, minion, new_identifier(world.rng, "att"), 0, now_ms)
