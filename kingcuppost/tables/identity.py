"""Identity of this process."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Identity", "Role"]


class Role(StrEnum):
    """Role of a process in the system."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


@dataclass(frozen=True, slots=True)
class Identity:
    """Name and incarnation of a process.

    Attributes
    ----------
    role : Role
        Role of the process.
    name : str
        Name of the entry, or of the minion beside which the sidecar runs.
    incarnation : str
        Random identifier that differs at every start.
    availability_zone, region : str
        Location of the process.
    """

    role: Role
    name: str
    incarnation: str
    availability_zone: str
    region: str
