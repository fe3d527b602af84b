"""Requests of a sidecar to its minion: run lists with the lease, starts and stops."""

from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.tables.messages import (
    HoldMinion,
    StartRun,
    StopOrder,
    StopRun,
)
from kingcuppost.batch.tables.world import BatchWorld, Host, HostRun
from kingcuppost.tables.identity import Role

__all__ = ["request_run_lists", "send_run_orders"]

MAX_WAIT_MS = 1_000
MIN_LEASE_MS = 300
STOP_POLL_MS = 50
WAITS_PER_LEASE = 5
MIN_WAIT_MS = 50


@system(Phase.ACT, (Role.SIDECAR,), order=10)
def request_run_lists(world: BatchWorld, now_ms: int) -> None:
    """Keep one request for the run lists open; it also extends the minion lease."""
    host = world.host
    if host.minion is None or host.holding or not host.term:
        return
    if now_ms < host.hold_after_ms:
        world.deadlines.add(host.hold_after_ms)
        return
    host.holding = True
    wait_ms = _wait_ms(host, now_ms)
    if _is_awaiting_stop(world):
        wait_ms = 0
        host.hold_after_ms = now_ms + STOP_POLL_MS
    world.outbox.put(
        HoldMinion(
            host.address,
            host.minion.life,
            host.term,
            host.seen,
            wait_ms,
            host.until_ms,
        )
    )


def _wait_ms(host: Host, now_ms: int) -> int:
    """Return how long the minion may delay its answer while its lists do not change.

    The wait is a part of the time left of the lease, so that a lease that is about to
    end is renewed in time.
    """
    if not host.listed or host.until_ms is None or host.clock_ms is None:
        return 0
    left_ms = host.until_ms - host.clock_ms - (now_ms - host.clock_at_ms)
    return min(MAX_WAIT_MS, max(left_ms // WAITS_PER_LEASE, MIN_WAIT_MS))


def _is_awaiting_stop(world: BatchWorld) -> bool:
    return any(run.stopped_ms is not None for run in world.host.runs.values())


@system(Phase.ACT, (Role.SIDECAR,), order=20)
def send_run_orders(world: BatchWorld, now_ms: int) -> None:
    """Send starts and stops to the minion; resend those without a clear answer."""
    host = world.host
    if host.minion is None:
        return
    for run in list(host.runs.values()):
        if run.asked or run.stopped_ms is not None:
            continue
        if now_ms < run.retry_ms:
            world.deadlines.add(run.retry_ms)
            continue
        if run.stop:
            _send_stop(world, run)
        elif not run.started:
            _send_start(world, run, now_ms)


def _send_stop(world: BatchWorld, run: HostRun) -> None:
    host = world.host
    run.asked = True
    order = StopOrder(run.order.task, run.order.run)
    world.outbox.put(StopRun(host.address, host.minion.life, host.term, order))


def _send_start(world: BatchWorld, run: HostRun, now_ms: int) -> None:
    """Send a start, unless the minion lease is about to end or the minion drains."""
    host = world.host
    if host.until_ms is None or host.clock_ms is None:
        return
    clock_ms = host.clock_ms + now_ms - host.clock_at_ms
    if host.until_ms - clock_ms < MIN_LEASE_MS:
        return
    if host.minion.draining and not run.doubtful:
        return
    run.asked = True
    world.outbox.put(
        StartRun(host.address, host.minion.life, host.term, run.order, host.until_ms)
    )
