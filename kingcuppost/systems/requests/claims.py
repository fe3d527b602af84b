"""Claims of keys, so that a non-idempotent request runs at most once.

The first claim of a key in the log names one attempt and one sidecar process. Every
entry sends that attempt to that process only, and the process runs it once.
"""

from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.fold import check_body
from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.answers import close_request
from kingcuppost.systems.requests.decision import decision_of
from kingcuppost.systems.requests.sending import requests_awaiting, send_attempt
from kingcuppost.tables.fleet import Minion
from kingcuppost.tables.identity import Role
from kingcuppost.tables.record import KeyClaimPut
from kingcuppost.tables.request import Outcome, Request, RequestState
from kingcuppost.tables.world import World
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["claim_key", "send_claimed_requests", "withdraw_claim_proposal"]


def claim_key(world: World, request: Request, minion: Minion, now_ms: int) -> None:
    """Send the attempt that holds the request's key, or propose a claim of the key.

    If the fold would reject the claim, the request is closed instead: as unknown if
    an earlier claim of the key may have been evicted, else as not run.
    """
    if request.key in world.agreed.key_claims:
        _send_claimed_attempt(world, request, now_ms)
        return
    attempt_id = new_identifier(world.rng, "att")
    body = KeyClaimPut(
        request.key,
        attempt_id,
        minion.name,
        minion.incarnation,
        issued_ms=request.issued_ms,
        decision=decision_of(world, request, minion),
    )
    rejection = check_body(world.agreed, body)
    if rejection is not None:
        outcome = Outcome.UNKNOWN if rejection.is_possible_repeat else Outcome.NOT_RUN
        close_request(world, request, outcome, step="claim", reason=rejection.reason)
        return
    claim_id = propose(world, body, now_ms)
    world.requests.update(
        request.request_id, state=RequestState.CLAIMING, claim_id=claim_id
    )


@system(Phase.MEMBERSHIP, roles=(Role.ENTRY,), order=110)
def send_claimed_requests(world: World, now_ms: int) -> None:
    """Send requests whose key has been claimed, by this entry or by another.

    A request whose proposal ended without a claim is queued again.
    """
    for request in world.requests.find("state", RequestState.CLAIMING):
        if request.key in world.agreed.key_claims:
            _send_claimed_attempt(world, request, now_ms)
        elif request.claim_id not in world.proposals:
            world.requests.update(request.request_id, state=RequestState.QUEUED)
            world.request_queue.push(request)


def withdraw_claim_proposal(world: World, request: Request) -> bool:
    """Withdraw the proposal of a claim; return whether the claim may be in the log."""
    proposal = world.proposals.delete(request.claim_id)
    return proposal is None or proposal.appends > 0


def _send_claimed_attempt(world: World, request: Request, now_ms: int) -> None:
    """Send the attempt that holds the key to the process that the claim names.

    The sidecar runs it once and gives the same answer to every resend. If that process
    has gone or the body differs, the request is closed as unknown.
    """
    claim = world.agreed.key_claims.get(request.key)
    minion = world.agreed.minions.get(claim.minion)
    if minion is None or minion.incarnation != claim.minion_incarnation:
        reason = "the process that was to run it has gone"
        if claim.outcome == "answered":
            reason = "it has run, and the process that held the answer has gone"
        close_request(
            world,
            request,
            Outcome.UNKNOWN,
            minion=claim.minion,
            step="claim",
            reason=reason,
        )
        return
    if _has_different_body(world, request, claim.attempt_id):
        close_request(
            world,
            request,
            Outcome.UNKNOWN,
            minion=claim.minion,
            step="claim",
            reason="the key stands for another body",
        )
        return
    send_attempt(world, request, minion, claim.attempt_id, claim.offset, now_ms)


def _has_different_body(world: World, request: Request, attempt_id: str) -> bool:
    """Return whether this entry has the attempt open for a different body."""
    attempt = world.attempts.get(attempt_id)
    if attempt is None:
        return False
    return any(row.body != request.body for row in requests_awaiting(world, attempt))
