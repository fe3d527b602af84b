"""Graceful shutdown of a process."""

from kingcuppost.batch.systems.holder_election import release_lease
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.tables.messages import StopProcess, StopRequested
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role

__all__ = ["stop_process"]

GRACE_MARGIN_MS = 1_500  # for open exchanges to end before the process is killed
ENTRY_LINGER_MS = 2_500
SIDECAR_LINGER_MS = 100


@system(Phase.REPORT, (Role.ENTRY, Role.SIDECAR), order=10)
def stop_process(world: BatchWorld, now_ms: int) -> None:
    """Release the lease, wait until pending calls are answered, then stop the process.

    The process keeps serving for its linger time, and stops before the end of its grace
    period even if calls are still pending.
    """
    if world.inbox.take(StopRequested) and not world.stopping:
        world.stopping = True
        world.earliest_stop_ms = now_ms + _linger_ms(world)
        world.stop_deadline_ms = now_ms + world.cfg.bounds.grace_ms - GRACE_MARGIN_MS
        release_lease(world, now_ms)
        world.note("process", "Stopping.", by_ms=world.stop_deadline_ms - now_ms)
    if not world.stopping:
        return
    is_done = not world.pending_calls and now_ms >= world.earliest_stop_ms
    if is_done or now_ms >= world.stop_deadline_ms:
        world.outbox.put(StopProcess())
        return
    due_ms = (
        world.earliest_stop_ms
        if now_ms < world.earliest_stop_ms
        else world.stop_deadline_ms
    )
    world.deadlines.add(due_ms)


def _linger_ms(world: BatchWorld) -> int:
    """Return how long the process keeps serving after the request to stop, in ms.

    An entry serves until the load balancer sends calls elsewhere.
    """
    if world.cfg.role is Role.ENTRY:
        return ENTRY_LINGER_MS
    return SIDECAR_LINGER_MS
