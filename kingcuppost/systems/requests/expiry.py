"""The end of requests whose time is over."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.answers import close_request
from kingcuppost.systems.requests.claims import withdraw_claim
from kingcuppost.tables.identity import Role
from kingcuppost.tables.request import Outcome, Request, RequestState
from kingcuppost.tables.world import World

__all__ = ["expire", "watch"]


def watch(world: World, request: Request) -> None:
    """Remember when a request expires, and when its claim has to be folded."""
    world.request_deadlines.put(request.deadline_ms, request.request_id)
    if request.key:
        bound_ms = effective_value(world.agreed, "request.claim_timeout_ms")
        claim_ms = min(request.created_ms + bound_ms, request.deadline_ms)
        world.request_deadlines.put(claim_ms, request.request_id)


@system(Phase.MEMBERSHIP, roles=(Role.ENTRY,), order=120)
def expire(world: World, now_ms: int) -> None:
    """Answer requests whose deadline has passed, or whose claim takes too long."""
    for request_id in world.request_deadlines.take_due(now_ms):
        request = world.requests.get(request_id)
        if request is None:
            continue
        if request.deadline_ms <= now_ms:
            _close(world, request, "the deadline has passed")
        elif request.state is RequestState.CLAIMING:
            _close(world, request, "the log did not confirm the claim in time")
    next_ms = world.request_deadlines.next_ms()
    if next_ms is not None:
        world.deadlines.add(next_ms)


def _close(world: World, request: Request, reason: str) -> None:
    may_run = _may_run(world, request)
    outcome = Outcome.UNKNOWN if may_run else Outcome.NOT_RUN
    close_request(world, request, outcome, step=request.state, reason=reason)


def _may_run(world: World, request: Request) -> bool:
    """Return whether the request may have run, or may still run."""
    if request.state is RequestState.SENT:
        return True
    if request.state is RequestState.CLAIMING:
        return withdraw_claim(world, request)
    return bool(request.key) and request.key in world.agreed.key_claims
