"""What a sidecar asks of its minion: lists and lease, starts and stops."""

from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.tables.messages import (
    HoldMinion,
    StartRun,
    StopOrder,
    StopRun,
)
from kingcuppost.batch.tables.world import BatchWorld, OrderedRun, SidecarState
from kingcuppost.tables.identity import Role

__all__ = ["ask_minion", "give_orders"]

WAIT_MS = 1_000
LEAST_LEASE_MS = 300
STOP_LOOK_MS = 50
LEASE_PARTS = 5
LEAST_WAIT_MS = 50


@system(Phase.ACT, (Role.SIDECAR,), order=10)
def ask_minion(world: BatchWorld, now_ms: int) -> None:
    """Keep one question for the lists open, which also extends the lease."""
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
    if _awaits_stop(world):
        wait_ms = 0
        sidecar_state.hold_after_ms = now_ms + STOP_LOOK_MS
    world.outbox.put(
        HoldMinion(
            sidecar_state.address,
            sidecar_state.minion.incarnation,
            sidecar_state.term,
            sidecar_state.acknowledged_end,
            wait_ms,
            sidecar_state.until_ms,
        )
    )


def _wait_ms(sidecar_state: SidecarState, now_ms: int) -> int:
    """Return how long the minion may wait with its lists; shorter as its lease ends."""
    if (
        not sidecar_state.listed
        or sidecar_state.until_ms is None
        or sidecar_state.clock_ms is None
    ):
        return 0
    left_ms = (
        sidecar_state.until_ms
        - sidecar_state.clock_ms
        - (now_ms - sidecar_state.clock_at_ms)
    )
    return min(WAIT_MS, max(left_ms // LEASE_PARTS, LEAST_WAIT_MS))


def _awaits_stop(world: BatchWorld) -> bool:
    return any(run.stopped_ms is not None for run in world.sidecar_state.runs.values())


@system(Phase.ACT, (Role.SIDECAR,), order=20)
def give_orders(world: BatchWorld, now_ms: int) -> None:
    """Start and stop runs; an order without an answer goes out again."""
    sidecar_state = world.sidecar_state
    if sidecar_state.minion is None:
        return
    for run in list(sidecar_state.runs.values()):
        if run.is_order_pending or run.stopped_ms is not None:
            continue
        if now_ms < run.retry_ms:
            world.deadlines.add(run.retry_ms)
            continue
        if run.stop:
            _stop(world, run)
        elif not run.started:
            _start(world, run, now_ms)


def _stop(world: BatchWorld, run: OrderedRun) -> None:
    sidecar_state = world.sidecar_state
    run.is_order_pending = True
    order = StopOrder(run.order.task, run.order.run)
    world.outbox.put(
        StopRun(
            sidecar_state.address,
            sidecar_state.minion.incarnation,
            sidecar_state.term,
            order,
        )
    )


def _start(world: BatchWorld, run: OrderedRun, now_ms: int) -> None:
    """Order a start, unless the lease that the scheduler allows is about to end."""
    sidecar_state = world.sidecar_state
    if sidecar_state.until_ms is None or sidecar_state.clock_ms is None:
        return
    clock_ms = sidecar_state.clock_ms + now_ms - sidecar_state.clock_at_ms
    if sidecar_state.until_ms - clock_ms < LEAST_LEASE_MS:
        return
    if sidecar_state.minion.draining and not run.may_still_start:
        return
    run.is_order_pending = True
    world.outbox.put(
        StartRun(
            sidecar_state.address,
            sidecar_state.minion.incarnation,
            sidecar_state.term,
            run.order,
            sidecar_state.until_ms,
        )
    )
