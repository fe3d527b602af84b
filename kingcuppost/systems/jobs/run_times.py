"""Expected run times: the declared ones, corrected by what the team's jobs took."""

from math import exp, log

from kingcuppost.tables.job import Gang, Job
from kingcuppost.tables.scheduling import RunTimes, SchedulingState

__all__ = ["expected_end_ms", "expected_run_ms", "learn_run_time"]

WEIGHT = 0.2
UNKNOWN_RUN_MS = 3_600_000
OVERSTAY_SHARE = 0.5


def expected_run_ms(scheduling: SchedulingState, job: Job) -> int:
    """Return how long a job is expected to run, in ms."""
    seen = scheduling.run_times.get(job.team)
    if seen is None:
        return job.declared_ms or UNKNOWN_RUN_MS
    if not job.declared_ms:
        return int(seen.mean_ms)
    return int(job.declared_ms * exp(seen.log_ratio))


def expected_end_ms(
    scheduling: SchedulingState, job: Job, gang: Gang, wall_ms: int
) -> int:
    """Return when a gang is expected to end, Unix ms.

    One that runs longer than expected is taken to run on for a share of the time
    that it has run.
    """
    start_ms = gang.released_wall_ms or wall_ms
    end_ms = start_ms + expected_run_ms(scheduling, job)
    overstay_ms = int((wall_ms - start_ms) * (1 + OVERSTAY_SHARE))
    return max(end_ms, start_ms + overstay_ms) if end_ms <= wall_ms else end_ms


def learn_run_time(scheduling: SchedulingState, job: Job, run_ms: int) -> None:
    """Count the run time of a finished job for its team."""
    row = scheduling.run_times.get(job.team) or RunTimes(job.team)
    weight = max(WEIGHT, 1 / (row.seen + 1))
    row.mean_ms += weight * (run_ms - row.mean_ms)
    if job.declared_ms > 0 and run_ms > 0:
        ratio = log(run_ms / job.declared_ms)
        row.log_ratio += weight * (ratio - row.log_ratio)
    row.seen += 1
    scheduling.run_times.put(row)
