"""A deployment in one process and in simulated time: log, minions, entries, sidecars.

The systems of `kingcuppost.batch` run as they are; their messages travel through a
seeded network that delays, loses and repeats them. `checks` looks at what callers and
minions see.
"""

from standins.batch.deployment import Deployment
from standins.batch.minions import Minion
from standins.batch.store import Store

__all__ = ["Deployment", "Minion", "Store"]
