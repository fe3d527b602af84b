"""What a policy decides, and the registry of policies."""

from collections.abc import Callable
from dataclasses import dataclass

from kingcuppost.systems.jobs.queue import Rank
from kingcuppost.tables.job import Job, Placement, RefusedAlternative
from kingcuppost.tables.scheduling import Keep
from kingcuppost.tables.world import World
from kingcuppost.utils.registry import Registry

__all__ = ["Choice", "Policy", "policies"]


@dataclass(frozen=True, slots=True)
class Choice:
    """What a policy decided for a job.

    Attributes
    ----------
    placements : tuple of Placement or None
        One for each member; None if the job must wait.
    borrowed : bool
        Whether it runs beyond its team's guarantees.
    refused : tuple of RefusedAlternative
        What was considered and not taken.
    stops : frozenset of str
        Keys of gangs that are stopped for the job.
    keep : Keep or None
        Place that is kept for it meanwhile.
    lacks_place : bool
        Whether it waits for a place, not for something else.
    """

    placements: tuple[Placement, ...] | None
    borrowed: bool = False
    refused: tuple[RefusedAlternative, ...] = ()
    stops: frozenset[str] = frozenset()
    keep: Keep | None = None
    lacks_place: bool = True


@dataclass(frozen=True, slots=True)
class Policy:
    """How waiting jobs are ordered and placed.

    Attributes
    ----------
    rank : callable
        Order of the queue, smallest first.
    choose : callable
        Decision for one job.
    strict : bool
        Whether nothing overtakes a job that must wait.
    keeps : bool
        Whether a place is kept for the first job that must wait.
    """

    rank: Rank
    choose: Callable[[World, Job, int], Choice]
    strict: bool = False
    keeps: bool = True


policies: Registry[str, Policy] = Registry("placement policy")
