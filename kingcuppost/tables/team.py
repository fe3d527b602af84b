"""Teams and the shapes that they are guaranteed."""

from dataclasses import dataclass

__all__ = ["Shape", "Team"]


@dataclass(frozen=True, slots=True)
class Shape:
    """A number of members with adjacent accelerators each.

    Attributes
    ----------
    members : int
        Workers' shares that the shape is made of.
    accelerators : int
        Adjacent accelerators of one worker for each member.
    count : int
        How many such shapes may be held at once.
    """

    members: int
    accelerators: int
    count: int = 1


@dataclass(slots=True)
class Team:
    """A team of users with guarantees.

    Attributes
    ----------
    name : str
        Identifier of the team.
    guarantees : tuple of Shape
        Shapes that the team can always reclaim.
    accelerator_limit : int
        Most accelerators that the team may hold, borrowed ones included; 0 for
        no limit.
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
