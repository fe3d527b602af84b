"""A simulated deployment in one process: log, minions, entries and sidecars.

The systems of `kingcuppost.batch` run unchanged in simulated time. Their messages pass
through a seeded network that delays them and, as a fault, loses them. `checks` verifies
the scheduler's guarantees from what callers and minions observe.
"""

from standins.batch import log_messages, minion_messages, peer_messages
from standins.batch.deployment import Deployment
from standins.batch.minions import Minion
from standins.batch.store import Store

__all__ = [
    "Deployment",
    "Minion",
    "Store",
    "log_messages",
    "minion_messages",
    "peer_messages",
]
