"""Requests of a sidecar to its minion: run lists and lease, starts and stops."""

from kingcuppost.batch.systems.minion_clock import (
    minion_time_ms,
    remaining_lease_ms,
)
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.start_limits import start_validity_ms
from kingcuppost.batch.tables.messages import (
    HoldMinion,
    StartRun,
    StopOrder,
    StopRun,
)
from kingcuppost.batch.tables.world import BatchWorld, OrderedRun, SidecarState
from kingcuppost.tables.identity import Role

__all__ = ["request_run_lists", "send_run_orders"]

MAX_WAIT_MS = 1_000
MIN_START_LEASE_MS = 300
STOP_POLL_MS = 50
WAITS_PER_LEASE = 5
MIN_WAIT_MS = 50


@system(Phase.ACT, (Role.SIDECAR,), order=10)
def request_run_lists(world: BatchWorld, now_ms: int) -> None:
    """Keep one request for the run lists open; it also extends the minion lease.

    While a stopped run has not ended, or a start has had no answer, the lists are
    polled every `STOP_POLL_MS`.
    """
    sidecar_state = world.sidecar_state
    if (
        sidecar_state.minion is None
        or sidecar_state.is_hold_open
        or not sidecar_state.term
    ):
        return
    if now_ms < sidecar_state.hold_after_ms:
        world.deadlines.add(sidecar_state.hold_after_ms)
        return
    sidecar_state.is_hold_open = True
    wait_ms = _wait_ms(sidecar_state, now_ms)
    if any(_needs_new_lists(run) for run in sidecar_state.ordered_runs.values()):
        wait_ms = 0
        sidecar_state.hold_after_ms = now_ms + STOP_POLL_MS
    # after a failure another incarnation may answer, with its own ends and clock
    is_confirmed = not sidecar_state.hold_failed
    world.outbox.put(
        HoldMinion(
            sidecar_state.address,
            sidecar_state.minion.incarnation,
            sidecar_state.term,
            sidecar_state.acknowledged_end if is_confirmed else 0,
            wait_ms if is_confirmed else 0,
            sidecar_state.lease_until_ms if is_confirmed else None,
        )
    )


def _wait_ms(sidecar_state: SidecarState, now_ms: int) -> int:
    """Return how long the minion may delay its answer while its lists do not change.

    The wait is a fraction of the remaining lease, so that the lease is extended before
    it ends.
    """
    remaining_ms = remaining_lease_ms(sidecar_state, now_ms)
    if not sidecar_state.listed or remaining_ms is None:
        return 0
    return min(MAX_WAIT_MS, max(remaining_ms // WAITS_PER_LEASE, MIN_WAIT_MS))


def _needs_new_lists(run: OrderedRun) -> bool:
    """Return whether a run is to be stopped, or may be once its start fails again."""
    return run.should_stop or (run.may_still_start and run.start_accepted_ms is None)


@system(Phase.ACT, (Role.SIDECAR,), order=20)
def send_run_orders(world: BatchWorld, now_ms: int) -> None:
    """Send starts and stops to the minion; resend those without a final answer.

    A stop is also sent again if the run is still listed long after it was accepted.
    """
    sidecar_state = world.sidecar_state
    if sidecar_state.minion is None:
        return
    for key, run in list(sidecar_state.ordered_runs.items()):
        is_stopped = run.stop_accepted_ms is not None
        if run.is_order_pending or (is_stopped and key not in sidecar_state.running):
            continue
        if now_ms < run.retry_ms:
            world.deadlines.add(run.retry_ms)
            continue
        if run.should_stop:
            _send_stop(world, run, now_ms)
        elif run.start_accepted_ms is None:
            _send_start(world, run, now_ms)


def _send_stop(world: BatchWorld, run: OrderedRun, now_ms: int) -> None:
    sidecar_state = world.sidecar_state
    run.is_order_pending = True
    run.is_stop_sent = True
    if run.stop_since_ms is None:
        run.stop_since_ms = now_ms
    order = StopOrder(run.order.task, run.order.run)
    world.outbox.put(
        StopRun(
            sidecar_state.address,
            sidecar_state.minion.incarnation,
            sidecar_state.term,
            order,
        )
    )


def _send_start(world: BatchWorld, run: OrderedRun, now_ms: int) -> None:
    """Send a start, unless the minion lease is about to end or the minion is draining.

    After a failed request for the lists, starts wait for one that succeeds: another
    incarnation may listen there, and would carry them out.

    All copies of a start are valid until the same time, well before the lease ends, so
    that a late copy is void early; the requests for the lists extend the lease.
    """
    sidecar_state = world.sidecar_state
    remaining_ms = remaining_lease_ms(sidecar_state, now_ms)
    if remaining_ms is None or remaining_ms < MIN_START_LEASE_MS:
        return
    if sidecar_state.hold_failed or sidecar_state.minion.draining:
        return
    if run.start_deadline_ms is None:
        clock_ms = minion_time_ms(sidecar_state, now_ms)
        run.start_deadline_ms = clock_ms + start_validity_ms(world.cfg.bounds)
    run.is_order_pending = True
    world.outbox.put(
        StartRun(
            sidecar_state.address,
            sidecar_state.minion.incarnation,
            sidecar_state.term,
            run.order,
            min(sidecar_state.lease_until_ms, run.start_deadline_ms),
        )
    )
