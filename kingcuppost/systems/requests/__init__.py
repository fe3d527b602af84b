"""Requests of callers: admission, routing, attempts, answers, and serving."""

from kingcuppost.systems.requests.admission import (
    admit_requests,
    drop_abandoned_requests,
)
from kingcuppost.systems.requests.answers import handle_attempt_outcomes
from kingcuppost.systems.requests.claims import send_claimed_requests
from kingcuppost.systems.requests.expiry import expire_requests
from kingcuppost.systems.requests.health import handle_heartbeats
from kingcuppost.systems.requests.policies import policies
from kingcuppost.systems.requests.pools import eligible_minions, refresh_pools
from kingcuppost.systems.requests.routing import route_requests
from kingcuppost.systems.requests.sending import resend_attempts
from kingcuppost.systems.requests.serving import (
    accept_attempts,
    answer_pending_exchanges,
    finish_attempts,
    free_slots,
    hand_over_attempts,
)

__all__ = [
    "accept_attempts",
    "admit_requests",
    "answer_pending_exchanges",
    "drop_abandoned_requests",
    "eligible_minions",
    "expire_requests",
    "free_slots",
    "hand_over_attempts",
    "handle_attempt_outcomes",
    "handle_heartbeats",
    "finish_attempts",
    "policies",
    "refresh_pools",
    "resend_attempts",
    "route_requests",
    "send_claimed_requests",
]
