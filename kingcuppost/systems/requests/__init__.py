"""Callers' requests: admission, routing, attempts, answers, serving."""

from kingcuppost.systems.requests.admission import admit, forget_lost
from kingcuppost.systems.requests.answers import take_answers
from kingcuppost.systems.requests.claims import take_claims
from kingcuppost.systems.requests.expiry import expire
from kingcuppost.systems.requests.health import hear_heartbeats
from kingcuppost.systems.requests.policies import policies
from kingcuppost.systems.requests.pools import candidates, follow_minions
from kingcuppost.systems.requests.routing import route
from kingcuppost.systems.requests.sending import repeat_attempts
from kingcuppost.systems.requests.serving import (
    accept_attempts,
    answer_held,
    free_slots,
    hand_over,
    take_minion_answers,
)

__all__ = [
    "accept_attempts",
    "admit",
    "answer_held",
    "candidates",
    "expire",
    "follow_minions",
    "forget_lost",
    "free_slots",
    "hand_over",
    "hear_heartbeats",
    "policies",
    "repeat_attempts",
    "route",
    "take_answers",
    "take_claims",
    "take_minion_answers",
]
