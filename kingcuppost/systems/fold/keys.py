"""Records about the idempotency keys of non-idempotent requests."""

from kingcuppost.systems.fold.record_rules import (
    FoldInput,
    Rejection,
    appliers,
    checkers,
)
from kingcuppost.tables.agreed_rows import ExplainedKey, KeyClaim
from kingcuppost.tables.record import KeyClaimPut, KeyOutcome
from kingcuppost.tables.world import Agreed

__all__: list[str] = []

MAX_KEY_CLAIMS = 10_000
MAX_EXPLAINED_KEYS = 200


@checkers.register(KeyClaimPut)
def check_key_claim(agreed: Agreed, body: KeyClaimPut) -> Rejection | None:
    """Reject all claims but the first, and keys whose claim may have been evicted.

    An evicted key was issued no later than `LowerBounds.key_issued_ms`, so that only
    a key issued after that time is certain to be new. A key without an issue time
    counts as issued at 0, and is rejected once any key was evicted.
    """
    if body.key in agreed.key_claims:
        return Rejection(f"key {body.key} is claimed", is_conflict=True)
    if body.issued_ms <= agreed.floors.key_issued_ms:
        return Rejection(
            f"key {body.key} is too old to tell if it was used", is_possible_repeat=True
        )
    return None


@appliers.register(KeyClaimPut)
def apply_key_claim(agreed: Agreed, body: KeyClaimPut, fold_input: FoldInput) -> None:
    """Claim the key for one attempt."""
    agreed.key_claims.put(
        KeyClaim(
            body.key,
            body.attempt_id,
            body.minion,
            body.minion_incarnation,
            fold_input.offset,
            fold_input.record.wall_ms,
            issued_ms=body.issued_ms,
            decision=body.decision,
        )
    )
    _evict_claims(agreed)
    _evict_decisions(agreed, body.key)


def _evict_claims(agreed: Agreed) -> None:
    while len(agreed.key_claims) > MAX_KEY_CLAIMS:
        evicted = agreed.key_claims.delete(agreed.key_claims.first().key)
        agreed.floors.key_issued_ms = max(
            agreed.floors.key_issued_ms, evicted.issued_ms
        )


def _evict_decisions(agreed: Agreed, newest_key: str) -> None:
    """Keep only the newest keys' decisions, since decisions are larger than claims."""
    agreed.explained_keys.delete(newest_key)
    agreed.explained_keys.put(ExplainedKey(newest_key))
    while len(agreed.explained_keys) > MAX_EXPLAINED_KEYS:
        key = agreed.explained_keys.first().key
        agreed.explained_keys.delete(key)
        if key in agreed.key_claims:
            agreed.key_claims.update(key, decision=None)


@checkers.register(KeyOutcome)
def check_key_outcome(agreed: Agreed, body: KeyOutcome) -> Rejection | None:
    """Reject the outcome of an attempt without the key, and any second outcome."""
    claim = agreed.key_claims.get(body.key)
    if claim is None or claim.attempt_id != body.attempt_id:
        return Rejection(f"key {body.key} is not held by {body.attempt_id}")
    if claim.outcome:
        return Rejection(f"the outcome of key {body.key} is known", is_conflict=True)
    return None


@appliers.register(KeyOutcome)
def apply_key_outcome(agreed: Agreed, body: KeyOutcome, fold_input: FoldInput) -> None:
    """Set the outcome, or release the key of a request that did not run."""
    if body.outcome == "not_run":
        agreed.key_claims.delete(body.key)
        return
    agreed.key_claims.update(body.key, outcome=body.outcome)
