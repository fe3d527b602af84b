"""How fast machines work, learned from the progress of what they run."""

from math import exp, log

from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import EstimateError, Plan, Task
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["expected_left_ms", "fair_estimate_ms", "learn_speed"]

LEAST_SAMPLE_MS = 1_500
MOST_WEIGHT = 6.0
PRIOR_WEIGHT = 0.25
SLOWEST_SAMPLE = 0.2
FASTEST_SAMPLE = 2.0
WHOLE = 100
LEAST_SPEED = 0.05


def learn_speed(world: BatchWorld, row: MinionRow, plan: Plan, task: Task) -> None:
    """Take one run's progress into its machine's speed.

    A caller's estimate is rough, but the same for all tasks of a step. So a run says
    two things: how the estimate compares with the machines' known speeds, and, once
    that is set right by all runs of the step, how fast this machine is.
    """
    sample = _sample(plan, task)
    if sample is None:
        return
    speed = row.speed
    estimate_error = plan.estimate_errors.setdefault(task.name.step, EstimateError())
    estimate_error.log_sum += log(sample / max(speed.value, LEAST_SPEED))
    estimate_error.count += 1
    fair = sample / exp(estimate_error.mean_log)
    fair = min(max(fair, SLOWEST_SAMPLE), FASTEST_SAMPLE)
    speed.weight = min(speed.weight + 1, MOST_WEIGHT)
    speed.value += (fair - speed.value) / (speed.weight + PRIOR_WEIGHT)
    world.schedule.speeds_changed = True


def _sample(plan: Plan, task: Task) -> float | None:
    """Return a run's speed if the estimate were right, or None if it is too short."""
    estimate_ms = plan.job.steps[task.name.step].estimate_ms
    if task.running_since_ms is None or not estimate_ms:
        return None
    took_ms = task.percent_changed_ms - task.running_since_ms
    done = task.percent - task.initial_percent
    if took_ms < LEAST_SAMPLE_MS or done <= 0:
        return None
    return estimate_ms * done / WHOLE / took_ms


def fair_estimate_ms(plan: Plan, task: Task) -> float:
    """Return how long a task takes at speed 1.0, as the step's runs have shown."""
    estimate_error = plan.estimate_errors.get(task.name.step, EstimateError())
    return plan.job.steps[task.name.step].estimate_ms / exp(estimate_error.mean_log)


def expected_left_ms(row: MinionRow, plan: Plan, task: Task) -> float:
    """Return how long a run will yet take, from its own progress if it shows any."""
    left = (WHOLE - task.percent) / WHOLE
    took_ms = task.percent_changed_ms - (
        task.running_since_ms or task.percent_changed_ms
    )
    done = task.percent - task.initial_percent
    if took_ms >= LEAST_SAMPLE_MS and done > 0:
        return left * WHOLE * took_ms / done
    return left * fair_estimate_ms(plan, task) / max(row.speed.value, LEAST_SPEED)
