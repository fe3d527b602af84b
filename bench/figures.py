"""Figures of one run.

They cover completion times, fragmentation, work during zone changes, violated
guarantees and lost work.
"""

from dataclasses import dataclass, field

from bench.driver import Driver, JobRun
from bench.workloads import ZoneChange
from kingcuppost.systems.jobs.cells import blocks_in, count_shortfall
from kingcuppost.tables.job import GangState, JobState, Urgency
from kingcuppost.tables.scheduling import CELL_CLASSES, WorkerCapacity

__all__ = ["Figures", "measure"]

SECOND_MS = 1_000
MINUTE_MS = 60 * SECOND_MS
HOUR_MS = 60 * MINUTE_MS
SAMPLE_PERIOD_MS = MINUTE_MS
WINDOW_AFTER_RETURN_MS = 30 * MINUTE_MS
HORIZON_MS = 72 * HOUR_MS


@dataclass(slots=True)
class Samples:
    """Sums over the samples of a run.

    Attributes
    ----------
    free, unusable : float
        Free accelerators, and those among them in gaps too small for the largest
        wanted member.
    window_done_accelerator_ms, window_possible_accelerator_ms : float
        Work done and work possible around the zone change, in accelerators times ms.
    violations : int
        Samples in which a guarantee was violated.
    sample_count : int
        Number of samples.
    last_lost_accelerator_ms : float
        Lost work of the driver at the last sample, in accelerators times ms.
    """

    free: float = 0.0
    unusable: float = 0.0
    window_done_accelerator_ms: float = 0.0
    window_possible_accelerator_ms: float = 0.0
    violations: int = 0
    sample_count: int = 0
    last_lost_accelerator_ms: float = 0.0


@dataclass(slots=True)
class Figures:
    """Figures of one run; times in ms, lost work in accelerator hours.

    Attributes
    ----------
    overnight_ms, interactive_ms : list of int
        Time of each job from submission to finish, by urgency.
    urgent_start_ms : list of int
        Time from submission to first start of each interactive job that fit its
        team's guarantee.
    unfinished : int
        Jobs that had not finished at the horizon.
    fragmentation : float
        Share of the free accelerators that lie in gaps too small for the largest
        wanted member.
    zone_work : float
        Share of the possible work that was done around the zone change.
    lost_hours, reclaim_lost_hours : float
        Work lost at stops without a checkpoint, and the part lost to reclaims.
    reclaims : int
        Running gangs stopped to reclaim capacity.
    violations, samples : int
        Samples in which a guarantee was violated, and all samples.
    """

    overnight_ms: list[int] = field(default_factory=list)
    interactive_ms: list[int] = field(default_factory=list)
    urgent_start_ms: list[int] = field(default_factory=list)
    unfinished: int = 0
    fragmentation: float = 0.0
    zone_work: float = 0.0
    lost_hours: float = 0.0
    reclaim_lost_hours: float = 0.0
    reclaims: int = 0
    violations: int = 0
    samples: int = 0


def measure(driver: Driver) -> Figures:
    """Run a driver to the horizon and return its figures.

    Samples are taken until the last arrival. A job that has not finished at the
    horizon counts with its time until then.
    """
    samples = Samples()
    last_ms = max(item.at_ms for item in driver.deployment.arrivals)
    window = _zone_change_window(driver.deployment.zone_changes)
    for at_ms in range(SAMPLE_PERIOD_MS, last_ms, SAMPLE_PERIOD_MS):
        driver.run(at_ms)
        _sample(driver, samples, window, at_ms)
    driver.run(HORIZON_MS)
    return _summarize(driver, samples)


def _zone_change_window(changes: list[ZoneChange]) -> tuple[int, int]:
    """Return begin and end, in ms, of the period in which zone work is measured."""
    return changes[0].at_ms, changes[-1].at_ms + WINDOW_AFTER_RETURN_MS


def _sample(
    driver: Driver, samples: Samples, window: tuple[int, int], at_ms: int
) -> None:
    scheduling = driver.world.scheduling
    workers = [worker for worker in scheduling.workers if worker.accelerators]
    largest = _largest_wanted_size(driver)
    for worker in workers:
        if worker.in_service:
            free = worker.full_mask & ~worker.busy
            samples.free += free.bit_count()
            samples.unusable += free.bit_count() - _count_usable(free, largest)
    samples.violations += _has_violation(driver, workers)
    samples.sample_count += 1
    if window[0] <= at_ms < window[1]:
        _sample_window(driver, samples, workers)


def _largest_wanted_size(driver: Driver) -> int:
    """Return the size of the largest member that waits or has an unused guarantee."""
    scheduling = driver.world.scheduling
    sizes = [
        1 << cell_class
        for share in scheduling.shares
        for cell_class in range(CELL_CLASSES)
        if share.unused[cell_class]
    ]
    waiting = driver.world.agreed.jobs.find("state", JobState.WAITING)
    return max([1, *sizes, *(job.accelerators for job in waiting)])


def _count_usable(free: int, size: int) -> int:
    """Return how many free accelerators lie in blocks of a size, aligned or not."""
    usable = 0
    run_length = 0
    while free:
        run_length = run_length + 1 if free & 1 else 0
        if run_length == size:
            usable += size
            run_length = 0
        free >>= 1
    return usable


def _has_violation(driver: Driver, workers: list[WorkerCapacity]) -> int:
    """Return whether unused guarantees do not fit, as 1 or 0.

    The result is 0 if the workers in service could not hold all guarantees even
    when empty. The baseline policies never stop work, so only free accelerators
    count for them; their blocks need not be aligned, which favours the baselines.
    Running work of a team counts against its guarantee, largest cells first.
    """
    scheduling = driver.world.scheduling
    full_cells = _count_cells(
        [worker.full_mask for worker in workers if worker.in_service]
    )
    guaranteed_cells = [
        sum(share.guaranteed[cell_class] for share in scheduling.shares)
        for cell_class in range(CELL_CLASSES)
    ]
    if count_shortfall(full_cells, guaranteed_cells):
        return 0
    if driver.policy == "shapes":
        return int(count_shortfall(scheduling.unbound_blocks, scheduling.demand) > 0)
    return int(not _fits_unaligned(driver, workers))


def _count_cells(masks: list[int]) -> list[int]:
    """Return the number of cells of each class, cut from the masks largest first."""
    counts = [0] * CELL_CLASSES
    for mask in masks:
        for cell_class in reversed(range(CELL_CLASSES)):
            for block in blocks_in(mask, cell_class):
                counts[cell_class] += 1
                mask &= ~block
    return counts


def _fits_unaligned(driver: Driver, workers: list[WorkerCapacity]) -> bool:
    """Return whether unused guarantees fit the free accelerators, aligned or not."""
    used_by_team: dict[str, int] = {}
    for gang in driver.world.agreed.gangs:
        job = driver.world.agreed.jobs.get(gang.job)
        used_by_team[gang.team] = (
            used_by_team.get(gang.team, 0) + job.members * job.accelerators
        )
    free = [worker.full_mask & ~worker.busy for worker in workers if worker.in_service]
    for cell_class in reversed(range(CELL_CLASSES)):
        wanted = 0
        for share in driver.world.scheduling.shares:
            used = min(
                used_by_team.get(share.team, 0) >> cell_class,
                share.guaranteed[cell_class],
            )
            used_by_team[share.team] = used_by_team.get(share.team, 0) - (
                used << cell_class
            )
            wanted += share.guaranteed[cell_class] - used
        if not _allocate_unaligned(free, 1 << cell_class, wanted):
            return False
    return True


def _allocate_unaligned(free: list[int], size: int, wanted: int) -> bool:
    """Allocate up to `wanted` unaligned blocks; return whether that many were free."""
    pattern = (1 << size) - 1
    for index, mask in enumerate(free):
        for start in range(mask.bit_length()):
            if wanted and (mask >> start) & pattern == pattern:
                mask &= ~(pattern << start)
                wanted -= 1
        free[index] = mask
    return not wanted


def _sample_window(
    driver: Driver, samples: Samples, workers: list[WorkerCapacity]
) -> None:
    """Add the work done and possible in one period on the accelerators in service.

    Work that still runs in a zone out of service counts on both sides. The
    possible work is at most the running plus the waiting work.
    """
    busy = 0
    for gang in driver.world.agreed.gangs:
        job = driver.world.agreed.jobs.get(gang.job)
        if gang.state is GangState.RELEASED:
            busy += job.members * job.accelerators
    usable = sum(
        worker.accelerators if worker.in_service else worker.busy.bit_count()
        for worker in workers
    )
    waiting = driver.world.agreed.jobs.find("state", JobState.WAITING)
    wanted = sum(
        job.members * job.accelerators
        for job in waiting
        if job.members * job.accelerators <= usable
    )
    if not samples.window_possible_accelerator_ms:
        samples.last_lost_accelerator_ms = driver.lost_accelerator_ms
    samples.window_done_accelerator_ms += busy * SAMPLE_PERIOD_MS - (
        driver.lost_accelerator_ms - samples.last_lost_accelerator_ms
    )
    samples.last_lost_accelerator_ms = driver.lost_accelerator_ms
    samples.window_possible_accelerator_ms += (
        min(usable, busy + wanted) * SAMPLE_PERIOD_MS
    )


def _summarize(driver: Driver, samples: Samples) -> Figures:
    figures = Figures(
        fragmentation=samples.unusable / max(samples.free, 1),
        zone_work=samples.window_done_accelerator_ms
        / max(samples.window_possible_accelerator_ms, 1),
        lost_hours=driver.lost_accelerator_ms / HOUR_MS,
        reclaim_lost_hours=driver.reclaim_lost_accelerator_ms / HOUR_MS,
        reclaims=driver.reclaims,
        violations=samples.violations,
        samples=samples.sample_count,
    )
    for run in driver.runs.values():
        if run.arrival.accelerators:
            _add_job(driver, figures, run)
    return figures


def _add_job(driver: Driver, figures: Figures, run: JobRun) -> None:
    finished = run.finished_ms >= 0
    end_ms = run.finished_ms if finished else HORIZON_MS
    figures.unfinished += not finished
    duration_ms = end_ms - run.submitted_ms
    if run.arrival.urgency is Urgency.OVERNIGHT:
        figures.overnight_ms.append(duration_ms)
        return
    figures.interactive_ms.append(duration_ms)
    started_ms = run.started_ms if run.started_ms >= 0 else HORIZON_MS
    if run.guaranteed:
        figures.urgent_start_ms.append(started_ms - run.submitted_ms)
