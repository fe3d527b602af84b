"""A simulated process: an entry, or a sidecar with its minion."""

from dataclasses import dataclass, field
from typing import Any

from kingcuppost.batch.tables.messages import Stream
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from standins.batch.minions import Minion

__all__ = ["Process"]


@dataclass
class Process:
    """A simulated entry or sidecar.

    Attributes
    ----------
    is_cut_off : bool
        Whether it can reach neither the log nor its peers.
    is_rejected_by_log : bool
        Whether the log refuses its requests.
    is_frozen : bool
        Whether it is paused and runs no ticks.
    missed_streams : set of Stream
        Streams of which its reads return nothing.
    slow_reads : set of Stream
        Streams of which a read is not answered yet, while the log is slow.
    reads_parts : bool
        Whether its build reads and writes the parts of plans.
    busy_until_ms : int
        Time at which its present tick ends, if its ticks take time.
    incarnation : int
        Number of starts of the process.
    next_offsets : dict of Stream to int
        Offset to read next from each stream; -1 before the first read.
    """

    name: str
    zone: str
    role: Role
    address: Address
    world: Any = None
    systems: Any = None
    incarnation: int = 0
    is_up: bool = False
    is_cut_off: bool = False
    is_rejected_by_log: bool = False
    is_frozen: bool = False
    busy_until_ms: int = 0
    missed_streams: set[Stream] = field(default_factory=set)
    slow_reads: set[Stream] = field(default_factory=set)
    reads_parts: bool = True
    minion: Minion | None = None
    next_offsets: dict[Stream, int] | None = None
