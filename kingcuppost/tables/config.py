"""Configuration of one process, from its validated file."""

from dataclasses import dataclass, field

from kingcuppost.tables.connections import ClientLimits
from kingcuppost.tables.identity import Role

__all__ = [
    "Address",
    "EntryConfig",
    "LogConfig",
    "ProcessConfig",
    "SidecarConfig",
    "WorkerConfig",
]


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and port; with port 0, the kernel chooses a port to listen on."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class LogConfig:
    """Connection to the platform's log.

    Attributes
    ----------
    driver : str
        Name of the registered edge that connects to the log.
    address : Address
        Address at which the log listens.
    """

    driver: str
    address: Address


@dataclass(frozen=True, slots=True)
class EntryConfig:
    """Addresses on which an entry listens."""

    callers: Address
    operators: Address


@dataclass(frozen=True, slots=True)
class WorkerConfig:
    """Address and resources of the worker beside a sidecar.

    Attributes
    ----------
    driver : str
        Name of the registered edge that connects to the worker.
    name, rack : str
        Names of the worker and of its rack.
    address : Address
        Address at which the worker's interface listens.
    cores, memory_mb, accelerators : int
        Resources of the worker.
    """

    driver: str
    name: str
    rack: str
    address: Address
    cores: int
    memory_mb: int
    accelerators: int


@dataclass(frozen=True, slots=True)
class SidecarConfig:
    """Minion and worker beside a sidecar, and the address for its operators.

    Attributes
    ----------
    service : str
        Service that the minion offers.
    minion : Address
        Address at which the minion listens.
    slots, connections : int
        Maximum number of concurrent requests, and of open connections.
    worker : WorkerConfig
        The worker that the minion runs on.
    operators : Address
        Address on which metrics and health are served.
    """

    service: str
    minion: Address
    slots: int
    connections: int
    worker: WorkerConfig
    operators: Address


@dataclass(frozen=True, slots=True)
class ProcessConfig:
    """Configuration of one process.

    Attributes
    ----------
    role : Role
        Role of the process.
    name, availability_zone, region : str
        Name and location of the process.
    peers : Address
        Address on which the process listens for other processes of the system.
    log : LogConfig
        Connection to the platform's log.
    entry : EntryConfig or None
        Present for an entry.
    sidecar : SidecarConfig or None
        Present for a sidecar.
    seed : int or None
        Seed of the random number generator; None for a random seed.
    log_level : str
        Minimum level of log lines.
    advertised : Address or None
        Address at which peers reach the process, if it differs from the bound one.
    client_limits : ClientLimits
        Limits on what clients' connections may hold.
    """

    role: Role
    name: str
    availability_zone: str
    region: str
    peers: Address
    log: LogConfig
    entry: EntryConfig | None = None
    sidecar: SidecarConfig | None = None
    seed: int | None = field(default=None)
    log_level: str = "INFO"
    advertised: Address | None = None
    client_limits: ClientLimits = ClientLimits()
