"""Teams and their guaranteed shapes."""

from dataclasses import dataclass

__all__ = ["Shape", "Team"]


@dataclass(frozen=True, slots=True)
class Shape:
    """A number of gang members and the adjacent accelerators that each has.

    Attributes
    ----------
    members : int
        Number of members.
    accelerators : int
        Adjacent accelerators of one worker for each member.
    count : int
        Number of such shapes guaranteed at the same time.
    """

    members: int
    accelerators: int
    count: int = 1


@dataclass(slots=True)
class Team:
    """A team of users and its guarantees.

    Attributes
    ----------
    name : str
        Identifier of the team.
    guarantees : tuple of Shape
        Shapes that the team can reclaim from borrowers at any time.
    accelerator_limit : int
        Maximum number of accelerators allocated to the team, including borrowed
        ones; 0 for no limit.
    offset : int
        Log offset of the record that set the row.
    operator : str
        Author of that record.
    """

    name: str
    guarantees: tuple[Shape, ...]
    accelerator_limit: int
    offset: int
    operator: str
