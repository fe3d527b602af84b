"""Placing waiting jobs by the policy that the settings name."""

from collections.abc import Callable
from dataclasses import dataclass

from kingcuppost.settings import effective, team_path
from kingcuppost.systems.agreement.follow import is_fresh, want_barrier
from kingcuppost.systems.agreement.lease import is_scheduler
from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.events import note
from kingcuppost.systems.jobs.occupancy import (
    FreeWorker,
    free_workers,
    occupy,
    take_adjacent,
)
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import (
    Decision,
    Job,
    JobState,
    Placement,
    RefusedAlternative,
    Urgency,
)
from kingcuppost.tables.record import GangPlace
from kingcuppost.tables.world import World
from kingcuppost.utils.registry import Registry

__all__ = ["Choice", "place_jobs", "policies"]

REFUSALS_KEPT = 8
DECISION_KEYS = ("job.placement_policy", "job.lease_ms", "job.reserve_timeout_ms")


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
    """

    placements: tuple[Placement, ...] | None
    borrowed: bool = False
    refused: tuple[RefusedAlternative, ...] = ()


Policy = Callable[[World, Job, dict[str, FreeWorker]], Choice]

policies: Registry[str, Policy] = Registry("placement policy")


@system(Phase.DECIDE, roles=(Role.ENTRY,))
def place_jobs(world: World, now_ms: int) -> None:
    """Place waiting jobs, one batch at a time, on a fresh view only."""
    if not is_scheduler(world) or world.stopping:
        return
    waiting = world.agreed.jobs.find("state", JobState.WAITING)
    if not waiting or _batch_under_way(world):
        return
    if not is_fresh(world, now_ms):
        want_barrier(world, now_ms)
        return
    free = free_workers(world.agreed)
    for job in sorted(waiting, key=_order):
        _place(world, job, free, now_ms)


def _batch_under_way(world: World) -> bool:
    return any(isinstance(row.record.body, GangPlace) for row in world.proposals)


def _order(job: Job) -> tuple[bool, int]:
    return (job.urgency != Urgency.INTERACTIVE, job.submitted_offset)


def _place(world: World, job: Job, free: dict[str, FreeWorker], now_ms: int) -> None:
    path = team_path(job.team, job.urgency)
    policy = effective(world.agreed, path, "job.placement_policy")
    choice = policies[str(policy.value)](world, job, free)
    if choice.placements is None:
        return
    for placement in choice.placements:
        occupy(free, job, placement)
    values = tuple(effective(world.agreed, path, key) for key in DECISION_KEYS)
    decision = Decision(
        str(policy.value),
        world.log_view.folded_offset,
        values,
        choice.refused[:REFUSALS_KEPT],
    )
    body = GangPlace(
        world.agreed.lease.term,
        job.name,
        job.incarnation + 1,
        choice.placements,
        choice.borrowed,
        decision,
    )
    propose(world, body, now_ms)
    note(world, "job.place", "Placement proposed.", job=job.name, team=job.team)


@policies.register("first_fit")
def first_fit(world: World, job: Job, free: dict[str, FreeWorker]) -> Choice:
    """Take the first workers that hold a member each, rack by rack."""
    placements = []
    refused = []
    spare = {name: set(worker.accelerators) for name, worker in free.items()}
    order = sorted(
        free.values(), key=lambda row: (row.availability_zone, row.rack, row.name)
    )
    for worker in order:
        cores = worker.cores
        memory_mb = worker.memory_mb
        while len(placements) < job.members:
            trial = FreeWorker(
                worker.name,
                worker.availability_zone,
                worker.rack,
                spare[worker.name],
                cores,
                memory_mb,
            )
            run = take_adjacent(trial, job.accelerators)
            if run is None or cores < job.cores or memory_mb < job.memory_mb:
                refused.append(RefusedAlternative(worker.name, "no room for a member"))
                break
            placements.append(Placement(worker.name, run))
            spare[worker.name] -= set(run)
            cores -= job.cores
            memory_mb -= job.memory_mb
    if len(placements) < job.members:
        return Choice(None, refused=tuple(refused))
    return Choice(tuple(placements), refused=tuple(refused))


policies.register("shapes")(first_fit)
