"""Expected run times: the declared ones, corrected by the team's past jobs."""

from math import exp, log

from kingcuppost.tables.job import Gang, Job
from kingcuppost.tables.scheduling import RunTimes, SchedulingState

__all__ = ["expected_end_ms", "expected_run_ms", "record_run_time"]

SMOOTHING_WEIGHT = 0.2  # least weight of the latest job in the averages
DEFAULT_RUN_MS = 3_600_000  # for undeclared run times in a team without finished jobs
# Part of its run time so far for which an overdue gang is expected to run on.
OVERRUN_RATIO = 0.5


def expected_run_ms(scheduling: SchedulingState, job: Job) -> int:
    """Return how long a job is expected to run, in ms.

    A declared run time is scaled by the team's smoothed ratio of actual to declared
    time. Without one, the smoothed run time of the team's jobs is used.
    """
    run_times = scheduling.run_times.get(job.team)
    if run_times is None:
        return job.declared_ms or DEFAULT_RUN_MS
    if not job.declared_ms:
        return int(run_times.mean_ms)
    return int(job.declared_ms * exp(run_times.log_ratio))


def expected_end_ms(
    scheduling: SchedulingState, job: Job, gang: Gang, wall_ms: int
) -> int:
    """Return when a gang is expected to end, Unix ms.

    A gang that exceeds its expected run time is expected to run on for a fixed
    fraction of the time that it has run so far.
    """
    start_ms = gang.released_wall_ms or wall_ms
    end_ms = start_ms + expected_run_ms(scheduling, job)
    extended_ms = int((wall_ms - start_ms) * (1 + OVERRUN_RATIO))
    return max(end_ms, start_ms + extended_ms) if end_ms <= wall_ms else end_ms


def record_run_time(scheduling: SchedulingState, job: Job, run_ms: int) -> None:
    """Include the run time of a finished job in the averages of its team."""
    run_times = scheduling.run_times.get(job.team) or RunTimes(job.team)
    # A plain mean of the first jobs, then exponential smoothing.
    weight = max(SMOOTHING_WEIGHT, 1 / (run_times.sample_count + 1))
    run_times.mean_ms += weight * (run_ms - run_times.mean_ms)
    if job.declared_ms > 0 and run_ms > 0:
        log_ratio = log(run_ms / job.declared_ms)
        run_times.log_ratio += weight * (log_ratio - run_times.log_ratio)
    run_times.sample_count += 1
    scheduling.run_times.put(run_times)
