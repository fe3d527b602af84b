"""Settings of one process, from its checked file."""

from dataclasses import dataclass, field

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
    """An IP number and a port; port 0 lets the kernel choose when listening."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class LogConfig:
    """How the platform's log is reached.

    Attributes
    ----------
    driver : str
        Name of the registered edge that speaks to the log.
    address : Address
        Where the log listens.
    """

    driver: str
    address: Address


@dataclass(frozen=True, slots=True)
class EntryConfig:
    """Addresses that an entry listens on."""

    callers: Address
    operators: Address


@dataclass(frozen=True, slots=True)
class WorkerConfig:
    """The worker beside a sidecar.

    Attributes
    ----------
    driver : str
        Name of the registered edge that speaks to the worker.
    name, rack : str
        Identifiers.
    address : Address
        Where the worker's interface listens.
    cores, memory_mb, accelerators : int
        What the worker has.
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
    """The minion beside a sidecar.

    Attributes
    ----------
    service : str
        Service that the minion offers.
    minion : Address
        Where the minion listens.
    slots, connections : int
        Requests that run at once; connections that may be open at once.
    worker : WorkerConfig
        The worker that the minion runs on.
    operators : Address
        Where metrics and health are served.
    """

    service: str
    minion: Address
    slots: int
    connections: int
    worker: WorkerConfig
    operators: Address


@dataclass(frozen=True, slots=True)
class ProcessConfig:
    """Settings of one process, passed whole.

    Attributes
    ----------
    role : Role
        Kind of process.
    name, availability_zone, region : str
        Who and where the process is.
    peers : Address
        Where other processes of the system reach it.
    log : LogConfig
        The platform's log.
    entry : EntryConfig or None
        Present for an entry.
    sidecar : SidecarConfig or None
        Present for a sidecar.
    seed : int or None
        Seed of the random generator; None draws one.
    log_level : str
        Least level of the logs written.
    advertised : Address or None
        Where peers reach the process, if not at the port bound for `peers`.
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
