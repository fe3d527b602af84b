"""What the order under overload has decided: kept by job, counted and logged."""

from kingcuppost.batch.systems.overload.served_shares import change_lost
from kingcuppost.batch.systems.queue_order import OrderInputs
from kingcuppost.batch.tables.job_load import NO_USE, JobLoad
from kingcuppost.batch.tables.overload import Rate, ServedShare

__all__ = ["note_demotions"]

MILLIS_PER_CORE = 1_000
MS_PER_SECOND = 1_000
LINE_PERIOD_MS = 1_000
OUTCOMES = ("in_time", "late", "no_use")  # by number of demotions


def note_demotions(
    loads: list[JobLoad],
    share: ServedShare,
    inputs: OrderInputs,
    rate: Rate,
    backlog_ms: float,
) -> None:
    """Keep the demotions of jobs, count the changes, and log at most one in a period.

    Parameters
    ----------
    backlog_ms : float
        Time for which the service works on the jobs and on what precedes them.
    """
    for load in loads:
        state = load.plan.order_state
        if load.demotions == state.demotions:
            continue
        _count_change(inputs, load, share)
        if load.demotions > state.demotions:
            _log_demotion(inputs, load, rate, backlog_ms)
        state.demotions = load.demotions


def _count_change(inputs: OrderInputs, load: JobLoad, share: ServedShare) -> None:
    """Count a job whose demotions have changed, by what it is now planned to reach."""
    state, rank = load.plan.order_state, str(load.units[0].rank)
    inputs.world.tally.add("order_changes", OUTCOMES[load.demotions], rank)
    if load.demotions == NO_USE:
        change_lost(share, state.is_large, 1)
    elif state.demotions == NO_USE:
        change_lost(share, state.is_large, -1)


def _log_demotion(
    inputs: OrderInputs, load: JobLoad, rate: Rate, backlog_ms: float
) -> None:
    """Log the inputs of a demotion, unless another was logged within the period."""
    world = inputs.world
    schedule = world.schedule
    if inputs.now_ms - schedule.demotion_logged_ms < LINE_PERIOD_MS:
        return
    schedule.demotion_logged_ms = inputs.now_ms
    cores = rate.cpu_millis / MILLIS_PER_CORE
    late = load.late_end
    world.note(
        "place",
        "A job is demoted.",
        job=load.plan.job.id,
        rank=load.units[0].rank,
        reach=OUTCOMES[load.demotions],
        work_core_s=round(load.work_ms * cores / MS_PER_SECOND),
        backlog_core_s=round(backlog_ms * cores / MS_PER_SECOND),
        capacity_cores=round(cores, 1),
        late_job=late.job_id,
        forecast_ms=round(late.end_ms - inputs.wall_ms),
        due_ms=round(late.due_ms - inputs.wall_ms),
    )
