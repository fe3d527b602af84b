"""Choosing a minion for each request and sending the attempt."""

from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.events import note
from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.answers import close_request
from kingcuppost.systems.requests.decision import decision_of
from kingcuppost.tables.fleet import MemberState, Minion
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import HeartbeatArrived
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.outbox import Reply, SendAttempt
from kingcuppost.tables.record import KeyClaimPut
from kingcuppost.tables.replies import HeartbeatReply
from kingcuppost.tables.request import (
    Attempt,
    Health,
    Outcome,
    Request,
    RequestState,
)
from kingcuppost.tables.world import World
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["candidates", "route", "take_claims"]

UNHEARD_SERVICE_MS = 1.0


def candidates(world: World, service: str) -> list[Minion]:
    """Return the minions that may get new work of a service."""
    chosen = []
    for minion in world.agreed.minions.find("service", service):
        zone = world.agreed.availability_zones.get(minion.availability_zone)
        health = world.health.get(minion.name)
        leaving = (
            health is not None
            and health.leaving
            and health.incarnation == minion.incarnation
        )
        in_service = zone is not None and zone.in_service
        if minion.state is MemberState.SERVING and in_service and not leaving:
            chosen.append(minion)
    return chosen


@system(Phase.DECIDE, roles=(Role.ENTRY,))
def route(world: World, now_ms: int) -> None:
    """Send queued requests, those that somebody waits for first."""
    queued = world.requests.find("state", RequestState.QUEUED)
    queued.sort(key=lambda row: (row.urgency != Urgency.INTERACTIVE, row.created_ms))
    for request in queued:
        minion = _choose(world, request)
        if minion is not None:
            _start(world, request, minion, now_ms)


def _choose(world: World, request: Request) -> Minion | None:
    """Return the better of two random minions with a free slot, or None."""
    free = [
        minion
        for minion in candidates(world, request.service)
        if _outstanding(world, minion) < minion.slots
    ]
    untried = [minion for minion in free if minion.name not in request.tried]
    pool = untried or free
    if not pool:
        return None
    pair = world.rng.sample(pool, min(2, len(pool)))
    return min(pair, key=lambda minion: _cost(world, minion))


def _outstanding(world: World, minion: Minion) -> int:
    return world.attempts.count("minion", minion.name)


def _cost(world: World, minion: Minion) -> float:
    health = world.health.get(minion.name)
    service_ms = health.service_ms if health else 0.0
    failures = health.failures if health else 0
    load = 1 + _outstanding(world, minion)
    return (service_ms or UNHEARD_SERVICE_MS) * load * (1 + failures)


def _start(world: World, request: Request, minion: Minion, now_ms: int) -> None:
    if not request.key:
        _send(world, request, minion, new_identifier(world.rng, "att"), now_ms)
        return
    claim = world.agreed.key_claims.get(request.key)
    if claim is not None:
        _follow_claim(world, request, now_ms)
        return
    attempt_id = new_identifier(world.rng, "att")
    decision = decision_of(world, request, minion)
    body = KeyClaimPut(
        request.key, attempt_id, minion.name, minion.incarnation, decision
    )
    propose(world, body, now_ms)
    world.requests.update(request.request_id, state=RequestState.CLAIMING)


@system(Phase.MEMBERSHIP, roles=(Role.ENTRY,))
def take_claims(world: World, now_ms: int) -> None:
    """Send requests whose key is claimed, by this entry or by another."""
    for request in world.requests.find("state", RequestState.CLAIMING):
        if request.key in world.agreed.key_claims:
            _follow_claim(world, request, now_ms)


def _follow_claim(world: World, request: Request, now_ms: int) -> None:
    """Send the one attempt that holds the key to the one process it names.

    The sidecar runs it once and gives the same answer to every repeat.
    """
    claim = world.agreed.key_claims.get(request.key)
    minion = world.agreed.minions.get(claim.minion)
    if minion is None or minion.incarnation != claim.minion_incarnation:
        close_request(
            world,
            request,
            Outcome.UNKNOWN,
            minion=claim.minion,
            step="claim",
            reason="the process that was to run it has gone",
        )
        return
    _send(world, request, minion, claim.attempt_id, now_ms)


def _send(
    world: World, request: Request, minion: Minion, attempt_id: str, now_ms: int
) -> None:
    attempt = Attempt(
        attempt_id,
        request.request_id,
        minion.name,
        minion.incarnation,
        now_ms,
        request.deadline_ms,
    )
    world.attempts.put(attempt)
    world.requests.update(
        request.request_id, state=RequestState.SENT, attempts=request.attempts + 1
    )
    world.outbox.put(
        SendAttempt(
            attempt_id,
            minion.name,
            minion.incarnation,
            minion.host,
            minion.peer_port,
            request.team,
            request.body,
            bool(request.key),
            request.urgency,
            request.deadline_ms - now_ms,
        )
    )
    note(
        world,
        "request.send",
        "Attempt sent.",
        peer=minion.name,
        request=request.key or request.request_id,
        team=request.team,
        sends=attempt_id,
    )


@system(Phase.INTAKE, roles=(Role.ENTRY,))
def hear_heartbeats(world: World, now_ms: int) -> None:
    """Note what sidecars tell of themselves, and answer."""
    for beat in world.inbox.take(HeartbeatArrived):
        row = world.health.get(beat.minion)
        world.health.put(
            Health(
                beat.minion,
                beat.incarnation,
                now_ms,
                beat.free_slots,
                beat.leaving,
                beat.service_ms,
                row.outstanding if row else 0,
            )
        )
        for report in beat.reports:
            world.inbox.put(report)
        reply = HeartbeatReply(
            world.identity.name,
            world.identity.incarnation,
            world.log_view.folded_offset,
        )
        world.outbox.put(Reply(beat.exchange_id, 200, reply))
