"""Callers' requests: admission, routing, attempts, answers, serving."""

from kingcuppost.systems.requests.admission import admit, forget_lost
from kingcuppost.systems.requests.answers import expire, take_answers
from kingcuppost.systems.requests.routing import (
    candidates,
    hear_heartbeats,
    route,
    take_claims,
)
from kingcuppost.systems.requests.serving import (
    accept_attempts,
    free_slots,
    hand_over,
    take_minion_answers,
)

__all__ = [
    "accept_attempts",
    "admit",
    "candidates",
    "expire",
    "forget_lost",
    "free_slots",
    "hand_over",
    "hear_heartbeats",
    "route",
    "take_answers",
    "take_claims",
    "take_minion_answers",
]
