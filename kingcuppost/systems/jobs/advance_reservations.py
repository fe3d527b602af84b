"""Advance reservations: accelerators kept free for a job that cannot start yet."""

from collections import Counter
from heapq import nsmallest

from kingcuppost.settings import effective_value, team_path
from kingcuppost.systems.jobs.cells import accelerator_numbers, blocks_in, class_of
from kingcuppost.systems.jobs.occupancy import (
    accelerator_mask,
    cell_mask,
    drop_allocation,
    put_allocation,
)
from kingcuppost.systems.jobs.reclaim import may_preempt, victims_for_cores
from kingcuppost.systems.jobs.run_times import expected_end_ms, expected_run_ms
from kingcuppost.tables.job import (
    Gang,
    GangState,
    Job,
    JobState,
    Placement,
    Urgency,
)
from kingcuppost.tables.scheduling import (
    AdvanceReservation,
    Allocation,
    SchedulingState,
    WorkerAllocation,
    WorkerCapacity,
)
from kingcuppost.tables.world import World

__all__ = [
    "can_start",
    "drop_reservation",
    "drop_stale_reservations",
    "find_preemption_victims",
    "is_still_feasible",
    "plan_reservation",
    "preempt_at_ms",
    "put_reservation",
    "schedule_preemption_pass",
    "waits_for_earlier_gang",
]

NO_ALLOCATION = WorkerAllocation()
MAX_COMPACT_RATIO = 0.5  # highest ratio of the moved gangs' accelerators to the job's


def _allocation_key(job: str) -> str:
    return f"reservation:{job}"


def put_reservation(
    world: World, job: Job, reservation: AdvanceReservation, now_ms: int
) -> None:
    """Store an advance reservation and allocate its accelerators.

    A reservation within a guarantee binds its cells. It also allocates cores and
    memory: otherwise a borrower that was stopped for them would be placed there again
    at once.
    """
    by_worker: dict[str, WorkerAllocation] = {}
    for placement in reservation.placements:
        previous = by_worker.get(placement.worker, NO_ALLOCATION)
        cell = cell_mask(placement)
        cell_masks = (*previous.cell_masks, cell) if cell else previous.cell_masks
        reserved = previous.reserved | accelerator_mask(placement)
        cores = previous.cores + job.cores if reservation.guaranteed else 0
        memory_mb = previous.memory_mb + job.memory_mb if reservation.guaranteed else 0
        by_worker[placement.worker] = WorkerAllocation(
            0, reserved, cell_masks, cores, memory_mb
        )
    world.scheduling.advance_reservations.put(reservation)
    put_allocation(
        world.scheduling, Allocation(_allocation_key(job.name), job.team, 0, by_worker)
    )
    schedule_preemption_pass(world, reservation, now_ms)


def schedule_preemption_pass(
    world: World, reservation: AdvanceReservation, now_ms: int
) -> None:
    """Schedule queue passes at the times when gangs on a reservation may be stopped.

    A reservation within a guarantee needs none: its borrowers are stopped at once.
    """
    if reservation.guaranteed:
        return
    for at_ms in (
        _compact_at_ms(world, reservation),
        preempt_at_ms(world, reservation),
    ):
        if at_ms > now_ms:
            world.deadlines.add(at_ms)
            _schedule_pass(world.scheduling, at_ms)


def _schedule_pass(scheduling: SchedulingState, at_ms: int) -> None:
    if not scheduling.next_pass_ms or at_ms < scheduling.next_pass_ms:
        scheduling.next_pass_ms = at_ms


def preempt_at_ms(world: World, reservation: AdvanceReservation) -> int:
    """Return when borrowers on reserved accelerators are stopped, monotonic ms."""
    job = world.agreed.jobs.get(reservation.job)
    path = team_path(job.team, job.urgency)
    return reservation.since_ms + effective_value(
        world.agreed, "job.keep_bound_ms", path
    )


def drop_reservation(scheduling: SchedulingState, job: str) -> None:
    """Delete the reservation of a job, if there is one."""
    if scheduling.advance_reservations.delete(job) is not None:
        drop_allocation(scheduling, _allocation_key(job))


def drop_stale_reservations(world: World) -> None:
    """Delete the reservations of jobs that are no longer waiting."""
    for reservation in world.scheduling.advance_reservations:
        job = world.agreed.jobs.get(reservation.job)
        if job is None or job.state is not JobState.WAITING:
            drop_reservation(world.scheduling, reservation.job)


def can_start(world: World, reservation: AdvanceReservation, job: Job) -> bool:
    """Return whether the job can start now on the accelerators reserved for it."""
    members = Counter(placement.worker for placement in reservation.placements)
    for placement in reservation.placements:
        worker = world.scheduling.workers.get(placement.worker)
        if not worker.usable or worker.busy & accelerator_mask(placement):
            return False
    for name, member_count in members.items():
        worker = world.scheduling.workers.get(name)
        # Within a guarantee, the reservation has allocated cores and memory already.
        count = 0 if reservation.guaranteed else member_count
        if worker.free_cores < count * job.cores:
            return False
        if worker.free_memory_mb < count * job.memory_mb:
            return False
    return True


def is_still_feasible(world: World, reservation: AdvanceReservation) -> bool:
    """Return whether the job can still be expected to start on its reservation.

    It cannot if a worker is unusable, or if part of the accelerators has since been
    allocated to guaranteed work or reserved for it. A reservation within a guarantee
    can only wait for borrowers, and for gangs that are stopping already.
    """
    for placement in reservation.placements:
        worker = world.scheduling.workers.get(placement.worker)
        if not worker.usable:
            return False
        if (
            not reservation.guaranteed
            and worker.pinned & accelerator_mask(placement) & ~worker.busy
        ):
            return False
    for gang in _blocking_gangs(world, reservation):
        if may_preempt(world, gang, True):
            continue
        if reservation.guaranteed or gang.key not in reservation.earlier_gangs:
            return False
    return True


def find_preemption_victims(
    world: World, reservation: AdvanceReservation, job: Job, now_ms: int
) -> frozenset[str]:
    """Return the keys of the gangs to stop so that the job starts in time.

    - Within a guarantee: all borrowers on the reservation.
    - Beyond it, while a gang from before the reservation still runs there and the
      time limit `job.keep_bound_ms` has not passed: all gangs there once
      `job.compact_after_ms` has passed, if they are small enough to be moved.
    - Beyond it, once that gang has ended or the time limit has passed: the borrowers
      there that must yield to the job.

    Within a guarantee, and beyond it after the time limit, borrowers whose cores or
    memory the job needs are added.
    """
    is_due = reservation.guaranteed or now_ms >= preempt_at_ms(world, reservation)
    if not is_due and waits_for_earlier_gang(world, reservation):
        return _gangs_to_compact(world, reservation, job, now_ms)
    found = {
        gang.key
        for gang in _blocking_gangs(world, reservation)
        if _yields(world, gang, reservation)
    }
    if is_due:
        found |= _add_core_victims(world, reservation, job, frozenset(found))
    return frozenset(found)


def _yields(world: World, gang: Gang, reservation: AdvanceReservation) -> bool:
    """Return whether a gang must yield to the job of a reservation.

    Only gangs of jobs that were submitted later yield to overnight work beyond its
    guarantee. The order of submission never changes, so that no two jobs preempt each
    other alternately.
    """
    if not may_preempt(world, gang, reservation.guaranteed):
        return False
    reserving_job = world.agreed.jobs.get(reservation.job)
    other_job = world.agreed.jobs.get(gang.job)
    is_older = reserving_job.submitted_offset < other_job.submitted_offset
    return (
        reservation.guaranteed
        or reserving_job.urgency is Urgency.INTERACTIVE
        or is_older
    )


def _gangs_to_compact(
    world: World, reservation: AdvanceReservation, job: Job, now_ms: int
) -> frozenset[str]:
    """Return the keys of all gangs on the reservation, or none of them.

    They are moved only if all are preemptible and, together, use at most
    `MAX_COMPACT_RATIO` of the number of accelerators that the job needs.
    """
    if now_ms < _compact_at_ms(world, reservation):
        return frozenset()
    blockers = _blocking_gangs(world, reservation)
    if not all(may_preempt(world, gang, False) for gang in blockers):
        return frozenset()
    accelerators = sum(
        world.scheduling.allocations[gang.key].accelerators for gang in blockers
    )
    if accelerators > MAX_COMPACT_RATIO * job.members * job.accelerators:
        return frozenset()
    return frozenset(gang.key for gang in blockers)


def _compact_at_ms(world: World, reservation: AdvanceReservation) -> int:
    """Return when small gangs may be moved from a reservation, monotonic ms."""
    job = world.agreed.jobs.get(reservation.job)
    path = team_path(job.team, job.urgency)
    return reservation.since_ms + effective_value(
        world.agreed, "job.compact_after_ms", path
    )


def _blocking_gangs(world: World, reservation: AdvanceReservation) -> list[Gang]:
    """Return the gangs that occupy accelerators of a reservation."""
    keys = sorted(_gang_keys_on(world.scheduling, reservation.placements))
    gangs = [world.agreed.gangs.get(key) for key in keys]
    return [gang for gang in gangs if gang is not None]


def waits_for_earlier_gang(world: World, reservation: AdvanceReservation) -> bool:
    """Return whether a gang from before the reservation still occupies part of it."""
    return bool(
        reservation.earlier_gangs
        & _gang_keys_on(world.scheduling, reservation.placements)
    )


def _gang_keys_on(
    scheduling: SchedulingState, placements: tuple[Placement, ...]
) -> frozenset[str]:
    """Return the keys of all gangs that occupy part of the placements."""
    return frozenset(
        key
        for placement in placements
        for key, worker_allocation in scheduling.workers.get(
            placement.worker
        ).allocations.items()
        if worker_allocation.busy & accelerator_mask(placement)
    )


def _add_core_victims(
    world: World, reservation: AdvanceReservation, job: Job, victims: frozenset[str]
) -> frozenset[str]:
    """Return the victims and those that free the cores and memory the job needs.

    A worker whose preemptible gangs cannot free enough adds no victims.
    """
    members = Counter(placement.worker for placement in reservation.placements)
    for name, member_count in members.items():
        worker = world.scheduling.workers.get(name)
        # Within a guarantee, the reservation has allocated cores and memory already.
        count = 0 if reservation.guaranteed else member_count
        extended = victims_for_cores(
            world, worker, count, job, reservation.guaranteed, victims
        )
        victims = extended if extended is not None else victims
    return victims


def plan_reservation(
    world: World, job: Job, since_ms: int, now_ms: int
) -> AdvanceReservation | None:
    """Plan a reservation of the blocks that are expected to be free first.

    Blocks outside guarantees in use are preferred.

    Parameters
    ----------
    world : World
        Tables of the process.
    job : Job
        The job; it needs accelerators.
    since_ms : int
        Since when the job has had a reservation, monotonic ms.
    now_ms : int
        Monotonic time.

    Returns
    -------
    AdvanceReservation or None
        None if there are too few usable blocks.
    """
    cell_class = class_of(job.accelerators)
    blocks = []
    for worker in world.scheduling.workers:
        if worker.name in job.failed_workers:
            continue
        if worker.usable and worker.accelerators >= job.accelerators:
            blocks.extend(_blocks_with_free_time(world, worker, cell_class))
    chosen = nsmallest(job.members, blocks)
    if len(chosen) < job.members:
        return None
    placements = tuple(
        Placement(name, accelerator_numbers(block, job.accelerators))
        for _, _, name, block in chosen
    )
    expected_free_ms = now_ms + max(wait_ms for _, wait_ms, _, _ in chosen)
    earlier_gangs = _gang_keys_on(world.scheduling, placements)
    return AdvanceReservation(
        job.name, placements, False, since_ms, expected_free_ms, earlier_gangs
    )


def _blocks_with_free_time(
    world: World, worker: WorkerCapacity, cell_class: int
) -> list[tuple[bool, int, str, int]]:
    """Return the unreserved blocks of a worker as sort keys.

    Each key has: whether the block is in use within a guarantee, the time until it is
    expected to be free in ms, the name of the worker and the mask of the block.
    """
    found = []
    busy_times = _busy_times(world, worker)
    for block in blocks_in(worker.full_mask & ~worker.reserved, cell_class):
        waits_ms = [wait_ms for busy, wait_ms in busy_times if busy & block]
        pinned = bool(block & worker.pinned)
        found.append((pinned, max(waits_ms, default=0), worker.name, block))
    return found


def _busy_times(world: World, worker: WorkerCapacity) -> list[tuple[int, int]]:
    """Return each mask in use and the time until it is expected to be free, in ms."""
    wall_ms = world.clock.wall_ms()
    busy_times = []
    for key, worker_allocation in worker.allocations.items():
        if worker_allocation.busy:
            busy_times.append(
                (worker_allocation.busy, _remaining_ms(world, key, wall_ms))
            )
    return busy_times


def _remaining_ms(world: World, key: str, wall_ms: int) -> int:
    """Return the time until a gang is expected to end, in ms.

    A gang whose placement is only proposed is expected to run its full run time.
    """
    gang = world.agreed.gangs.get(key)
    job = world.agreed.jobs.get(key.rpartition("/")[0])
    if gang is None:
        return expected_run_ms(world.scheduling, job)
    if gang.state is GangState.STOPPING:
        return 0
    return expected_end_ms(world.scheduling, job, gang, wall_ms) - wall_ms
