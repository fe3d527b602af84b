"""State of the adapter in the context of a process."""

from dataclasses import dataclass, field

from kingcuppost.batch.tables.messages import Stream
from kingcuppost.platform.settings import StoreLimits
from kingcuppost.platform.store import StoreClient

__all__ = ["AdapterState"]


@dataclass(frozen=True, slots=True)
class AdapterState:
    """State of the adapter in the context of a process.

    Attributes
    ----------
    store : StoreClient
        Client of the platform's store.
    limits : StoreLimits
        Limits of the store.
    positions : dict of Stream to object
        Where each stream is followed next; None while it is listed.
    """

    store: StoreClient
    limits: StoreLimits
    positions: dict[Stream, object | None] = field(default_factory=dict)
