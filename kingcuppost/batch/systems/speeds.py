"""How fast minions work, learned from the progress of what they run."""

from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import Plan, Task

__all__ = ["expected_left_ms", "learn_speed"]

LEAST_SAMPLE_MS = 1_500
MOST_WEIGHT = 6.0
PRIOR_WEIGHT = 1.0
SLOWEST_SAMPLE = 0.2
FASTEST_SAMPLE = 2.0
WHOLE = 100
LEAST_SPEED = 0.05


def learn_speed(row: MinionRow, plan: Plan, task: Task, now_ms: int) -> None:
    """Take one run's progress into its minion's speed.

    Estimates of callers are rough, so the speed is a mean over runs and over the
    assumption that the minion is like the others.
    """
    step = plan.job.steps[task.name.step]
    if task.running_since_ms is None or not step.estimate_ms:
        return
    took_ms = task.moved_ms - task.running_since_ms
    done = task.percent - task.first_percent
    if took_ms < LEAST_SAMPLE_MS or done <= 0:
        return
    sample = step.estimate_ms * done / WHOLE / took_ms
    sample = min(max(sample, SLOWEST_SAMPLE), FASTEST_SAMPLE)
    row.speed_weight = min(row.speed_weight + 1, MOST_WEIGHT)
    row.speed += (sample - row.speed) / (row.speed_weight + PRIOR_WEIGHT)


def expected_left_ms(row: MinionRow, plan: Plan, task: Task) -> float:
    """Return how long a run will yet take, from its own progress if it shows any."""
    step = plan.job.steps[task.name.step]
    left = (WHOLE - task.percent) / WHOLE
    took_ms = task.moved_ms - (task.running_since_ms or task.moved_ms)
    done = task.percent - task.first_percent
    if took_ms >= LEAST_SAMPLE_MS and done > 0:
        return left * WHOLE * took_ms / done
    return left * step.estimate_ms / max(row.speed, LEAST_SPEED)
