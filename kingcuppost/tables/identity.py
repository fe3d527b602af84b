"""Who this process is."""

from dataclasses import dataclass

__all__ = ["Identity", "Role"]

from enum import StrEnum


class Role(StrEnum):
    """Kinds of processes of the system."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


@dataclass(frozen=True, slots=True)
class Identity:
    """Name and incarnation of a process.

    Attributes
    ----------
    role : Role
        Kind of process.
    name : str
        Name of the entry, or of the minion that the sidecar stands beside.
    incarnation : str
        Identifier drawn anew at every start.
    availability_zone, region : str
        Where the process runs.
    """

    role: Role
    name: str
    incarnation: str
    availability_zone: str
    region: str
