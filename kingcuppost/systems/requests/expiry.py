"""Expiry of requests whose deadline has passed or whose claim takes too long."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.answers import close_request
from kingcuppost.systems.requests.claims import withdraw_claim_proposal
from kingcuppost.tables.identity import Role
from kingcuppost.tables.request import Outcome, Request, RequestState
from kingcuppost.tables.world import World

__all__ = ["expire_requests", "schedule_expiry"]


def schedule_expiry(world: World, request: Request) -> None:
    """Schedule the expiry of a request, and the time limit of its claim."""
    world.request_deadlines.put(request.deadline_ms, request.request_id)
    if request.key:
        limit_ms = effective_value(world.agreed, "request.claim_timeout_ms")
        claim_ms = min(request.created_ms + limit_ms, request.deadline_ms)
        world.request_deadlines.put(claim_ms, request.request_id)


@system(Phase.MEMBERSHIP, roles=(Role.ENTRY,), order=120)
def expire_requests(world: World, now_ms: int) -> None:
    """Close requests whose deadline has passed or whose claim takes too long."""
    for request_id in world.request_deadlines.take_due(now_ms):
        request = world.requests.get(request_id)
        if request is None:
            continue
        if request.deadline_ms <= now_ms:
            _close_expired(world, request, "the deadline has passed")
        elif request.state is RequestState.CLAIMING:
            _close_expired(world, request, "the log did not confirm the claim in time")
    next_ms = world.request_deadlines.next_ms()
    if next_ms is not None:
        world.deadlines.add(next_ms)


def _close_expired(world: World, request: Request, reason: str) -> None:
    may_have_run = _may_have_run(world, request)
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    close_request(world, request, outcome, step=request.state, reason=reason)


def _may_have_run(world: World, request: Request) -> bool:
    """Return whether the request may have run or may still run."""
    if request.state is RequestState.SENT:
        return True
    if request.state is RequestState.CLAIMING:
        return withdraw_claim_proposal(world, request)
    return bool(request.key) and request.key in world.agreed.key_claims
