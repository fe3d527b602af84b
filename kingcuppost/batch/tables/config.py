"""Settings of a process that serves batch jobs."""

from dataclasses import dataclass

from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role

__all__ = ["Bounds", "DaemonConfig"]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times that the deployment promises or demands.

    Attributes
    ----------
    lease_ms : int
        Longest lease of what runs at a minion.
    stop_ms : int
        Longest time that a stop of a run takes.
    gang_ms : int
        How long a member of a gang waits for the others.
    grace_ms : int
        Time between the request to stop a process and its end by force.
    remote_factor : float
        How many times as long work takes away from its rack.
    restore_ms : int
        Time that resuming from a checkpoint takes.
    status_ms : int
        How long the state of an ended job can be asked for.
    """

    lease_ms: int = 10_000
    stop_ms: int = 400
    gang_ms: int = 3_000
    grace_ms: int = 6_000
    remote_factor: float = 3.0
    restore_ms: int = 250
    status_ms: int = 120_000


@dataclass(frozen=True, slots=True)
class DaemonConfig:
    """Who the process is and whom it can reach.

    Attributes
    ----------
    role : Role
        Kind of process.
    name : str
        Name of the instance.
    availability_zone : str
        Where it runs.
    peers : Address
        Where other processes of the system reach it.
    seeds : tuple of Address
        Entries that were known when the process started; may be stale.
    bounds : Bounds
        Times of the deployment.
    """

    role: Role
    name: str
    availability_zone: str
    peers: Address
    seeds: tuple[Address, ...] = ()
    bounds: Bounds = Bounds()
