"""Admission of callers' requests at an entry."""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.systems.agreement.freshness import is_following
from kingcuppost.systems.events import note
from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.answers import refuse_request
from kingcuppost.systems.requests.expiry import schedule_expiry
from kingcuppost.systems.requests.retries import add_retry_share
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import CallerRequest, ExchangeLost
from kingcuppost.tables.request import Request, RequestState
from kingcuppost.tables.world import World
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["admit_requests", "drop_abandoned_requests"]

RETRY_AFTER_MS = 1_000
MAX_CLOCK_SKEW_MS = 60_000  # by which a caller's clock may be ahead


@system(Phase.INTAKE, roles=(Role.ENTRY,), order=50)
def admit_requests(world: World, now_ms: int) -> None:
    """Admit requests, or refuse them as not run and give the reason."""
    for message in world.inbox.take(CallerRequest):
        reason = _refusal_reason(world, message, now_ms)
        if reason:
            refuse_request(world, message.exchange_id, "admit", reason)
            continue
        request = _make_request(world, message, now_ms)
        world.requests.put(request)
        schedule_expiry(world, request)
        add_retry_share(world, request.team)
        if request.state is RequestState.QUEUED:
            world.request_queue.push(request)
        note(
            world,
            "request.admit",
            "Request admitted.",
            request=request.key or request.request_id,
            team=request.team,
        )


def _refusal_reason(world: World, message: CallerRequest, now_ms: int) -> str:
    if world.stopping:
        return "the entry is leaving"
    if message.team not in world.agreed.teams:
        return f"there is no team {message.team!r}"
    path = team_path(message.team, message.urgency)
    limit = effective_value(world.agreed, "request.queue_limit", path)
    if world.requests.count("team", message.team) >= limit:
        return (
            f"{limit} requests of team {message.team} are open; "
            f"retry after {RETRY_AFTER_MS} ms"
        )
    if message.issued_ms > world.clock.wall_ms() + MAX_CLOCK_SKEW_MS:
        return "the key was made in the future"
    if (
        message.key
        and not _is_claimed(world, message)
        and not is_following(world, now_ms)
    ):
        return "the log is silent, so that no key can be claimed"
    return ""


def _is_claimed(world: World, message: CallerRequest) -> bool:
    return bool(message.key) and _key_of(message) in world.agreed.key_claims


def _key_of(message: CallerRequest) -> str:
    return f"{message.team}/{message.key}" if message.key else ""


def _make_request(world: World, message: CallerRequest, now_ms: int) -> Request:
    path = team_path(message.team, message.urgency)
    limit_ms = effective_value(world.agreed, "request.timeout_ms", path)
    timeout_ms = min(message.timeout_ms or limit_ms, limit_ms)
    claimed = _is_claimed(world, message)
    # A claimed key needs no routing: the claim names the minion.
    state = RequestState.CLAIMING if claimed else RequestState.QUEUED
    return Request(
        request_id=new_identifier(world.rng, "req"),
        exchange_id=message.exchange_id,
        team=message.team,
        service=message.service,
        body=message.body,
        urgency=message.urgency,
        key=_key_of(message),
        state=state,
        created_ms=now_ms,
        deadline_ms=now_ms + timeout_ms,
        issued_ms=message.issued_ms,
    )


@system(Phase.INTAKE, order=60)
def drop_abandoned_requests(world: World, now_ms: int) -> None:
    """Drop queued requests whose caller has disconnected.

    A request whose key is being claimed or that was sent stays open. A sidecar
    continues with an attempt whose exchange is lost, since the entry may send the
    attempt again.
    """
    for message in world.inbox.take(ExchangeLost):
        for request in world.requests.find("exchange_id", message.exchange_id):
            if request.state is RequestState.QUEUED:
                world.request_queue.remove(request)
                world.requests.delete(request.request_id)
