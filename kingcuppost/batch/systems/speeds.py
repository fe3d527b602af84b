"""Estimation of the speeds of machines from the progress of their runs."""

from math import exp, log

from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.plan import EstimateError, Plan
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["corrected_estimate_ms", "expected_remaining_ms", "update_speed"]

MIN_SAMPLE_MS = 1_500
MAX_WEIGHT_RUNS = 6.0
PRIOR_WEIGHT_RUNS = 0.25
MIN_SAMPLE_SPEED = 0.2
MAX_SAMPLE_SPEED = 2.0
FULL_PERCENT = 100
MIN_SPEED = 0.05  # smallest speed that is used as a divisor


def update_speed(world: BatchWorld, minion: MinionRow, plan: Plan, task: Task) -> None:
    """Update the speed of a machine from the progress of one run.

    A caller's estimate is rough, but the same for all tasks of a step. The measured
    speed of each run, relative to the known speed of its machine, therefore yields the
    error of the estimate. Corrected by the mean error over all runs of the step, it
    yields the speed of the machine.
    """
    sample_speed = _measure_speed(plan, task)
    if sample_speed is None:
        return
    speed = minion.speed
    estimate_error = plan.estimate_errors.setdefault(task.name.step, EstimateError())
    estimate_error.log_sum += log(sample_speed / max(speed.value, MIN_SPEED))
    estimate_error.count += 1
    plan.changed_estimates[task.name.step] = None
    corrected_speed = sample_speed / exp(estimate_error.mean_log)
    corrected_speed = min(max(corrected_speed, MIN_SAMPLE_SPEED), MAX_SAMPLE_SPEED)
    speed.weight = min(speed.weight + 1, MAX_WEIGHT_RUNS)
    speed.value += (corrected_speed - speed.value) / (speed.weight + PRIOR_WEIGHT_RUNS)
    world.schedule.speeds_changed = True


def _measure_speed(plan: Plan, task: Task) -> float | None:
    """Return a run's speed by the caller's estimate, or None if not known yet."""
    estimate_ms = plan.job.steps[task.name.step].estimate_ms
    if task.running_since_ms is None or not estimate_ms:
        return None
    observed_ms = task.percent_changed_ms - task.running_since_ms
    done_percent = task.percent - task.initial_percent
    if observed_ms < MIN_SAMPLE_MS or done_percent <= 0:
        return None
    return estimate_ms * done_percent / FULL_PERCENT / observed_ms


def corrected_estimate_ms(plan: Plan, step: int) -> float:
    """Return the estimated duration of a task of a step at speed 1.0.

    The caller's estimate is corrected by the runs of the step.
    """
    estimate_error = plan.estimate_errors.get(step, EstimateError())
    return plan.job.steps[step].estimate_ms / exp(estimate_error.mean_log)


def expected_remaining_ms(minion: MinionRow, plan: Plan, task: Task) -> float:
    """Return the remaining duration of a run.

    It follows from the run's own progress if that is known, else from the corrected
    estimate and the speed of the machine.
    """
    remaining_ratio = (FULL_PERCENT - task.percent) / FULL_PERCENT
    observed_ms = task.percent_changed_ms - (
        task.running_since_ms or task.percent_changed_ms
    )
    done_percent = task.percent - task.initial_percent
    if observed_ms >= MIN_SAMPLE_MS and done_percent > 0:
        return remaining_ratio * FULL_PERCENT * observed_ms / done_percent
    return (
        remaining_ratio
        * corrected_estimate_ms(plan, task.name.step)
        / max(minion.speed.value, MIN_SPEED)
    )
