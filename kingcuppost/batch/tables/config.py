"""Settings of a batch process."""

from dataclasses import dataclass

from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role

__all__ = ["DEFAULT_QUEUE_ORDER", "Bounds", "DaemonConfig"]

DEFAULT_QUEUE_ORDER = "deadline"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Durations and factors that the deployment guarantees or requires.

    Attributes
    ----------
    lease_ms : int
        Longest duration of a minion lease.
    stop_ms : int
        Longest time that stopping a run takes.
    gang_ms : int
        Time for which a member of a gang waits for the others.
    grace_ms : int
        Time between the request to stop a process and its forced end.
    remote_factor : float
        Factor by which work takes longer outside its rack.
    restore_ms : int
        Time that resuming from a checkpoint takes.
    status_ms : int
        Time for which callers can request the state of an ended job.
    config_apply_ms : int
        Time after which calls are handled by a newer configuration only.
    """

    lease_ms: int = 10_000
    stop_ms: int = 400
    gang_ms: int = 3_000
    grace_ms: int = 6_000
    remote_factor: float = 3.0
    restore_ms: int = 250
    status_ms: int = 120_000
    config_apply_ms: int = 2_000


@dataclass(frozen=True, slots=True)
class DaemonConfig:
    """Identity and addresses of a process, and bounds of its deployment.

    Attributes
    ----------
    role : Role
        Role of the process.
    name : str
        Name of the instance.
    availability_zone : str
        Availability zone where it runs.
    peers : Address
        Address at which other processes of the system reach it.
    seeds : tuple of Address
        Peer addresses of the entries in the settings; some may no longer exist.
    bounds : Bounds
        Durations and factors that the deployment guarantees or requires.
    minion_address : Address or None
        Address of the minion beside a sidecar; None if the settings do not name it.
    minion_service : str
        Service of that minion; empty if the settings do not name it.
    queue_order : str
        Name of the order in which waiting work of one rank is scheduled.
    """

    role: Role
    name: str
    availability_zone: str
    peers: Address
    seeds: tuple[Address, ...] = ()
    bounds: Bounds = Bounds()
    minion_address: Address | None = None
    minion_service: str = ""
    queue_order: str = DEFAULT_QUEUE_ORDER
