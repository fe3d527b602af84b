"""Availability zones, workers, minions and entry instances."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["AvailabilityZone", "Entry", "MemberState", "Minion", "Worker"]


class MemberState(StrEnum):
    """What a process last said of itself in the log."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(slots=True)
class AvailabilityZone:
    """A zone that operators take out of service and back in.

    Attributes
    ----------
    name, region : str
        Identifiers.
    in_service : bool
        False while operators keep the zone out.
    offset : int
        Log offset of the record that set the row.
    operator : str
        Author of that record.
    """

    name: str
    region: str
    in_service: bool
    offset: int
    operator: str


@dataclass(slots=True)
class Worker:
    """A machine that runs tasks.

    Attributes
    ----------
    name, availability_zone, rack : str
        Identifiers.
    cores, accelerators : int
        Counts; accelerators are numbered from 0 in order of adjacency.
    memory_mb : int
        Memory in MB.
    minion : str
        The minion whose sidecar acts for the worker.
    """

    name: str
    availability_zone: str
    rack: str
    cores: int
    memory_mb: int
    accelerators: int
    minion: str


@dataclass(slots=True)
class Minion:
    """A back end with the sidecar that announced it.

    Attributes
    ----------
    name, service, worker, availability_zone : str
        Identifiers.
    incarnation : str
        Identifier of the sidecar's present process.
    host : str
        IP number of the sidecar.
    peer_port : int
        Port of the sidecar for other processes of the system.
    slots, connections : int
        Requests that run at once; connections that may be open at once.
    state : MemberState
        Whether new work is welcome.
    offset : int
        Log offset of the record that set the row.
    operator_port : int
        Port of the sidecar for operators; 0 if it did not tell.
    """

    name: str
    service: str
    worker: str
    availability_zone: str
    incarnation: str
    host: str
    peer_port: int
    slots: int
    connections: int
    state: MemberState
    offset: int
    operator_port: int = 0


@dataclass(slots=True)
class Entry:
    """An entry instance.

    Attributes
    ----------
    name, availability_zone : str
        Identifiers.
    incarnation : str
        Identifier of the instance's present process.
    host : str
        IP number.
    caller_port, operator_port, peer_port : int
        Ports for callers, operators and other processes of the system.
    state : MemberState
        Whether the instance is leaving.
    offset : int
        Log offset of the record that set the row.
    """

    name: str
    availability_zone: str
    incarnation: str
    host: str
    caller_port: int
    operator_port: int
    peer_port: int
    state: MemberState
    offset: int
