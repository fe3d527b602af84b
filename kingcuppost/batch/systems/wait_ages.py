"""How long ready work has waited, and orders have had no result."""

from collections.abc import Iterator

from kingcuppost.batch.tables.job import TaskPhase
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.waiting import WaitReason
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["longest_waits_ms", "unanswered_orders"]


def unanswered_orders(world: BatchWorld) -> Iterator[tuple[int, WaitReason, Task]]:
    """Yield each run with an order that has no result, after the order's age in ms."""
    now_ms, wall_ms = world.clock.now_ms(), world.clock.wall_ms()
    for _, task in world.schedule.pending_runs.values():
        if task.phase is not TaskPhase.PLACED:
            continue
        if task.stopping:
            yield now_ms - task.stop_requested_ms, WaitReason.STOP, task
        elif not task.confirmed:
            yield wall_ms - task.placed_ms, WaitReason.START, task


def longest_waits_ms(world: BatchWorld) -> dict[WaitReason, int]:
    """Return the longest present wait for each reason, in ms; 0 if there is none.

    Only the holder of the scheduling lease knows of any.
    """
    now_ms = world.clock.now_ms()
    longest = dict.fromkeys(WaitReason, 0)
    if not world.schedule.is_loaded:
        return longest
    for wait in world.schedule.waits:
        longest[wait.reason] = max(longest[wait.reason], now_ms - wait.since_ms)
    for age_ms, reason, _ in unanswered_orders(world):
        longest[reason] = max(longest[reason], age_ms)
    return longest
