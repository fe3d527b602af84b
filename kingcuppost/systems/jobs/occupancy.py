"""Keeping capacity in step with the agreed tables, change by change."""

from kingcuppost.systems.jobs.cells import (
    add_counts,
    class_of,
    count_blocks,
)
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.fleet import MemberState, Worker
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import Job, JobState, Placement
from kingcuppost.tables.scheduling import (
    CELL_CLASSES,
    Hold,
    SchedulingState,
    TeamShare,
    WorkerCapacity,
    WorkerHold,
)
from kingcuppost.tables.team import Team
from kingcuppost.tables.world import World

__all__ = [
    "cell_mask",
    "drop_hold",
    "hold_of",
    "mask_of",
    "put_hold",
    "refresh_worker",
    "track_occupancy",
]

UNUSABLE_ROOM = -1
UNUSABLE_CORES = (-1, 0)
NO_HOLD = WorkerHold()


@system(Phase.MEMBERSHIP, roles=(Role.ENTRY,), order=40)
def track_occupancy(world: World, now_ms: int) -> None:
    """Follow changes of workers, zones, minions, teams and gangs.

    The cost follows the number of changed rows, not the size of the tables.
    """
    if world.scheduling.source is not world.agreed:
        _start_over(world)
    changed = _follow_fleet(world)
    changed |= _follow_teams(world)
    if changed:
        world.scheduling.fleet_changed_ms = now_ms
        _judge_all_anew(world)
    if _follow_gangs(world) or changed:
        world.scheduling.due = True


def _judge_all_anew(world: World) -> None:
    """Let every waiting and parked job be judged against the changed fleet."""
    world.scheduling.holdable.clear()
    for state in (JobState.WAITING, JobState.PARKED):
        for job in world.agreed.jobs.find("state", state):
            world.scheduling.unjudged[job.name] = None


def _start_over(world: World) -> None:
    """Forget everything; the new tables report all of their rows as changed."""
    world.scheduling = SchedulingState(source=world.agreed)


def _follow_fleet(world: World) -> bool:
    agreed = world.agreed
    names = set(agreed.workers.take_changes("occupancy"))
    for zone in agreed.availability_zones.take_changes("occupancy"):
        rows = agreed.workers.find("availability_zone", zone)
        names.update(row.name for row in rows)
    for name in agreed.minions.take_changes("occupancy"):
        minion = agreed.minions.get(name)
        if minion is not None:
            names.add(minion.worker)
    changed = False
    for name in sorted(names):
        worker = agreed.workers.get(name)
        if worker is not None:
            changed |= _follow_worker(world, worker)
    return changed


def _follow_worker(world: World, worker: Worker) -> bool:
    scheduling = world.scheduling
    row = scheduling.workers.get(worker.name)
    if row is None or row.accelerators != worker.accelerators:
        holds = row.holds if row is not None else {}
        if row is not None:
            _uncount(scheduling, row)
        row = _new_row(worker, holds)
        scheduling.workers.put(row)
        refresh_worker(scheduling, row)
    in_service = _is_in_service(world, worker)
    if in_service == row.in_service:
        return False
    row.in_service = in_service
    refresh_worker(scheduling, row)
    return True


def _new_row(worker: Worker, holds: dict[str, WorkerHold]) -> WorkerCapacity:
    return WorkerCapacity(
        worker.name,
        worker.availability_zone,
        worker.rack,
        worker.cores,
        worker.memory_mb,
        worker.accelerators,
        (1 << worker.accelerators) - 1,
        holds=holds,
    )


def _is_in_service(world: World, worker: Worker) -> bool:
    zone = world.agreed.availability_zones.get(worker.availability_zone)
    if zone is None or not zone.in_service:
        return False
    minion = world.agreed.minions.get(worker.minion)
    return minion is None or minion.state is not MemberState.LEAVING


def _follow_teams(world: World) -> bool:
    names = world.agreed.teams.take_changes("occupancy")
    for name in names:
        team = world.agreed.teams.get(name)
        if team is not None:
            _follow_team(world.scheduling, team)
    return bool(names)


def _follow_team(scheduling: SchedulingState, team: Team) -> None:
    guaranteed = [0] * CELL_CLASSES
    for shape in team.guarantees:
        guaranteed[class_of(shape.accelerators)] += shape.members * shape.count
    share = _share_of(scheduling, team.name)
    share.guaranteed = tuple(guaranteed)
    share.limit = team.accelerator_limit
    _refresh_share(scheduling, share)


def _share_of(scheduling: SchedulingState, team: str) -> TeamShare:
    share = scheduling.shares.get(team)
    if share is None:
        share = TeamShare(team)
        scheduling.shares.put(share)
    return share


def _refresh_share(scheduling: SchedulingState, share: TeamShare) -> None:
    add_counts(scheduling.demand, share.unused, -1)
    unused = list(share.guaranteed)
    for _, cell in share.cells:
        unused[class_of(cell.bit_count())] -= 1
    share.unused = tuple(max(count, 0) for count in unused)
    add_counts(scheduling.demand, share.unused)


def _follow_gangs(world: World) -> bool:
    keys = world.agreed.gangs.take_changes("occupancy")
    changed = False
    for key in keys:
        gang = world.agreed.gangs.get(key)
        foreseen = key in world.scheduling.pending
        world.scheduling.pending.discard(key)
        if gang is None:
            drop_hold(world.scheduling, str(key))
            changed = True
        elif foreseen or key not in world.scheduling.holds:
            job = world.agreed.jobs.get(gang.job)
            put_hold(world.scheduling, hold_of(str(key), job, gang.placements))
            changed = True
    return changed


def mask_of(placement: Placement) -> int:
    """Return the mask of a member's accelerators."""
    return sum(1 << number for number in placement.accelerators)


def cell_mask(placement: Placement) -> int:
    """Return the mask of the guaranteed cell that a member is part of.

    Examples
    --------
    >>> bin(cell_mask(Placement("w", (5, 6), 4)))
    '0b11110000'
    """
    if not placement.cell:
        return 0
    start = placement.accelerators[0] // placement.cell * placement.cell
    return ((1 << placement.cell) - 1) << start


def hold_of(key: str, job: Job, placements: tuple[Placement, ...]) -> Hold:
    """Return what a gang's members take."""
    shares: dict[str, WorkerHold] = {}
    for placement in placements:
        old = shares.get(placement.worker, NO_HOLD)
        cell = cell_mask(placement)
        shares[placement.worker] = WorkerHold(
            old.busy | mask_of(placement),
            0,
            (*old.cells, cell) if cell else old.cells,
            old.cores + job.cores,
            old.memory_mb + job.memory_mb,
        )
    return Hold(key, job.team, job.accelerators * len(placements), shares)


def put_hold(scheduling: SchedulingState, hold: Hold) -> None:
    """Take what a hold takes from its workers and its team's share."""
    drop_hold(scheduling, hold.key)
    scheduling.holds[hold.key] = hold
    share = _share_of(scheduling, hold.team)
    share.used += hold.accelerators
    for name, part in hold.shares.items():
        for cell in part.cells:
            place = (name, cell)
            share.cells[place] = share.cells.get(place, 0) + 1
        row = scheduling.workers.get(name)
        if row is not None:
            row.holds[hold.key] = part
            refresh_worker(scheduling, row)
    _refresh_share(scheduling, share)


def drop_hold(scheduling: SchedulingState, key: str) -> None:
    """Give back what a hold took, if there is one."""
    hold = scheduling.holds.pop(key, None)
    if hold is None:
        return
    share = _share_of(scheduling, hold.team)
    share.used -= hold.accelerators
    for name, part in hold.shares.items():
        for cell in part.cells:
            _unbind(share, (name, cell))
        row = scheduling.workers.get(name)
        if row is not None:
            row.holds.pop(key, None)
            refresh_worker(scheduling, row)
    _refresh_share(scheduling, share)


def _unbind(share: TeamShare, place: tuple[str, int]) -> None:
    share.cells[place] -= 1
    if not share.cells[place]:
        del share.cells[place]


def refresh_worker(scheduling: SchedulingState, row: WorkerCapacity) -> None:
    """Work out again what is left of one worker, and count it in the totals."""
    busy = kept = bound = pinned = cores = memory_mb = 0
    for part in row.holds.values():
        busy |= part.busy
        kept |= part.kept
        cores += part.cores
        memory_mb += part.memory_mb
        if part.cells:
            pinned |= part.busy | part.kept
            for cell in part.cells:
                bound |= cell
    free = row.full_mask & ~(busy | kept)
    unbound = row.full_mask & ~bound
    free_cores = row.cores - cores
    usable = _may_start(scheduling, row)
    _uncount(scheduling, row)
    scheduling.workers.update(
        row.name,
        usable=usable,
        busy=busy,
        kept=kept,
        bound=bound,
        pinned=pinned,
        free_cores=free_cores,
        free_memory_mb=row.memory_mb - memory_mb,
        room=_largest(free) if usable else UNUSABLE_ROOM,
        bind_room=_largest(unbound) if usable else UNUSABLE_ROOM,
        core_room=_core_room(row, free_cores) if usable else UNUSABLE_CORES,
        free_blocks=count_blocks(free if usable else 0),
        unbound_blocks=count_blocks(unbound if usable else 0),
    )
    add_counts(scheduling.free_blocks, row.free_blocks)
    add_counts(scheduling.unbound_blocks, row.unbound_blocks)


def _may_start(scheduling: SchedulingState, row: WorkerCapacity) -> bool:
    """Return whether new work may go to a worker, a single probe included."""
    faults = scheduling.faults.get(row.name)
    aside = faults is not None and faults.aside
    avoided = faults is not None and faults.avoided
    if not row.in_service or avoided or (aside and not row.probing):
        return False
    return not (row.probing and row.holds)


def _uncount(scheduling: SchedulingState, row: WorkerCapacity) -> None:
    add_counts(scheduling.free_blocks, row.free_blocks, -1)
    add_counts(scheduling.unbound_blocks, row.unbound_blocks, -1)


def _largest(mask: int) -> int:
    counts = count_blocks(mask)
    for cell_class in reversed(range(CELL_CLASSES)):
        if counts[cell_class]:
            return cell_class
    return UNUSABLE_ROOM


def _core_room(row: WorkerCapacity, free_cores: int) -> tuple[int, int]:
    return (int(row.accelerators > 0), max(free_cores, 0).bit_length())
