"""The decisions of placement policies, and the registry of policies."""

from collections.abc import Callable
from dataclasses import dataclass

from kingcuppost.systems.jobs.job_queue import SortKey
from kingcuppost.tables.job import Job, Placement, RefusedAlternative
from kingcuppost.tables.scheduling import AdvanceReservation
from kingcuppost.tables.world import World
from kingcuppost.utils.registry import Registry

__all__ = ["Choice", "Policy", "policies"]


@dataclass(frozen=True, slots=True)
class Choice:
    """The decision of a policy about one job.

    Attributes
    ----------
    placements : tuple of Placement or None
        One for each member; None if the job must wait.
    borrowed : bool
        Whether the job runs beyond its team's guarantees.
    refused : tuple of RefusedAlternative
        Alternatives that were considered and rejected.
    victims : frozenset of str
        Keys of the gangs to stop for the job.
    reservation : AdvanceReservation or None
        Reservation that the job gets, or retains, while it waits.
    lacks_capacity : bool
        Whether the job waits for free capacity and not for another condition.
    """

    placements: tuple[Placement, ...] | None
    borrowed: bool = False
    refused: tuple[RefusedAlternative, ...] = ()
    victims: frozenset[str] = frozenset()
    reservation: AdvanceReservation | None = None
    lacks_capacity: bool = True


@dataclass(frozen=True, slots=True)
class Policy:
    """Order and placement of waiting jobs.

    Attributes
    ----------
    sort_key : callable
        Returns the sort key of a job in the queue, smallest first.
    choose : callable
        Returns the decision about one job.
    strict : bool
        Whether no job may overtake one that must wait.
    reserves : bool
        Whether the first job that must wait gets an advance reservation.
    """

    sort_key: SortKey
    choose: Callable[[World, Job, int], Choice]
    strict: bool = False
    reserves: bool = True


policies: Registry[str, Policy] = Registry("placement policy")
