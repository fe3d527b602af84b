"""Remaining work of the runs, kept up to date with each start and end of a run."""

from heapq import heapify, heappop, heappush

from kingcuppost.batch.systems.speeds import corrected_estimate_ms
from kingcuppost.batch.tables.job import StepSpec
from kingcuppost.batch.tables.overload import RunForecast, RunningWork
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.task import Task

__all__ = [
    "RunningRows",
    "add_run",
    "remaining_work",
    "remove_run",
    "task_weight_millis",
]

RunningRows = dict[tuple[str, int], RunningWork]

MAX_STALE_ENDS = 64  # of runs that have ended, beyond as many as there are runs
MILLIS_PER_ACCELERATOR = 8_000  # as in `units.task_core_equivalents`


def task_weight_millis(step: StepSpec) -> int:
    """Return the weight of a task in thousandths of a core, accelerators included."""
    return step.cpu_millis + MILLIS_PER_ACCELERATOR * step.accelerators


def add_run(rows: RunningRows, plan: Plan, task: Task) -> None:
    """Count the work of a run that has been placed.

    A run without an estimate counts as no work.
    """
    estimate_ms = int(corrected_estimate_ms(plan, task.name.step))
    if not estimate_ms:
        return
    step = plan.job.steps[task.name.step]
    run = RunForecast(task.placed_ms + estimate_ms, estimate_ms, step)
    row = rows.setdefault(_key_of(plan), RunningWork())
    row.runs[task.name] = run
    heappush(row.ends, (run.end_ms, task.name))
    _add_sums(row, run, 1)
    if len(row.ends) > 2 * len(row.runs) + MAX_STALE_ENDS:
        row.ends = [(run.end_ms, name) for name, run in row.runs.items()]
        heapify(row.ends)


def remove_run(rows: RunningRows, plan: Plan, task: Task) -> None:
    """Count a run no more, since it is placed no longer."""
    key = _key_of(plan)
    row = rows.get(key)
    if row is None or task.name not in row.runs:
        return
    _add_sums(row, row.runs.pop(task.name), -1)
    if not row.runs:
        del rows[key]


def _key_of(plan: Plan) -> tuple[str, int]:
    policy = plan.job.policy
    return policy.service, policy.priority


def _add_sums(row: RunningWork, run: RunForecast, sign: int) -> None:
    """Add a run to the sums of a row, or subtract it."""
    step, used, end_sums = run.step, row.used, row.end_sums
    used.cpu_millis += sign * step.cpu_millis
    used.memory_mb += sign * step.memory_mb
    used.accelerators += sign * step.accelerators
    end_sums.cpu_millis += sign * step.cpu_millis * run.end_ms
    end_sums.memory_mb += sign * step.memory_mb * run.end_ms
    end_sums.accelerators += sign * step.accelerators * run.end_ms
    weight = sign * task_weight_millis(step)
    row.weight += weight
    row.weighted_ms += weight * run.estimate_ms


def remaining_work(row: RunningWork, wall_ms: int) -> Resources:
    """Return the remaining work of runs, as demand multiplied by milliseconds.

    A run that goes on after its expected end has no remaining work.
    """
    while row.ends and row.ends[0][0] <= wall_ms:
        end_ms, name = heappop(row.ends)
        run = row.runs.get(name)
        if run is not None and run.end_ms == end_ms:
            del row.runs[name]
            _add_sums(row, run, -1)
    used, sums = row.used, row.end_sums
    return Resources(
        sums.cpu_millis - used.cpu_millis * wall_ms,
        sums.memory_mb - used.memory_mb * wall_ms,
        sums.accelerators - used.accelerators * wall_ms,
    )
