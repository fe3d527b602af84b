"""Withdrawal of starts that a sidecar's minion does not carry out in time."""

from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.run_end_rule import is_refusal_final
from kingcuppost.batch.systems.start_limits import start_limit_ms
from kingcuppost.batch.tables.messages import RefusedRun
from kingcuppost.batch.tables.world import BatchWorld, OrderedRun
from kingcuppost.tables.identity import Role

__all__ = ["record_refusal", "withdraw_late_starts", "withdraw_start"]

STOPPED = "stopped"
NOT_ACCEPTED = "the minion did not accept the start in time"
DRAINING = "the minion drains"


def record_refusal(world: BatchWorld, run: OrderedRun, reason: str) -> None:
    """Record for the next report that a run never began and cannot begin later."""
    sidecar_state = world.sidecar_state
    key = (str(run.order.task), run.order.run)
    sidecar_state.ordered_runs.pop(key, None)
    sidecar_state.running.pop(key, None)
    sidecar_state.refused[key] = RefusedRun(run.order.task, run.order.run, reason)
    sidecar_state.refused_at_sync[key] = sidecar_state.sync_number
    sidecar_state.is_report_due = True
    world.note("run", "A run was refused.", task=key[0], run=key[1], reason=reason)


def withdraw_start(
    world: BatchWorld, run: OrderedRun, reason: str, now_ms: int
) -> None:
    """Let a run be stopped, or give it back at once if it certainly does not begin."""
    if not run.should_stop:
        run.should_stop = True
        run.stop_reason = reason
        world.tally.add("starts_withdrawn", reason)
        world.note(
            "run",
            "A start is withdrawn.",
            task=str(run.order.task),
            run=run.order.run,
            reason=reason,
            age_ms=now_ms - run.ordered_ms,
            may_still_start=run.may_still_start,
        )
    if is_refusal_final(run):
        record_refusal(world, run, run.stop_reason or STOPPED)


@system(Phase.INTAKE, (Role.SIDECAR,), order=90)
def withdraw_late_starts(world: BatchWorld, now_ms: int) -> None:
    """Withdraw the starts that have not been accepted in time, or at a draining minion.

    Runs whose stop was ordered before the minion accepted their start are withdrawn,
    too.
    """
    limit_ms = start_limit_ms(world.cfg.bounds)
    for run in list(world.sidecar_state.ordered_runs.values()):
        if run.is_order_pending or run.start_accepted_ms is not None:
            continue
        if run.should_stop:
            withdraw_start(world, run, STOPPED, now_ms)
        elif _is_draining(world):
            withdraw_start(world, run, DRAINING, now_ms)
        elif now_ms >= run.ordered_ms + limit_ms:
            withdraw_start(world, run, NOT_ACCEPTED, now_ms)
        else:
            world.deadlines.add(run.ordered_ms + limit_ms)


def _is_draining(world: BatchWorld) -> bool:
    minion = world.sidecar_state.minion
    return minion is not None and minion.draining
