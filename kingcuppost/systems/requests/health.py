"""What an entry learns of minions from answers and heartbeats."""

from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.pools import refresh_pool
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import AttemptDone, HeartbeatArrived
from kingcuppost.tables.outbox import Reply
from kingcuppost.tables.replies import HeartbeatReply
from kingcuppost.tables.request import Attempt, MinionHealth
from kingcuppost.tables.world import World

__all__ = ["hear_heartbeats", "note_answer", "note_failure"]

FAILURES_TO_PAUSE = 3
PAUSE_UNIT_MS = 200
LONGEST_PAUSE_MS = 5_000
MOST_DOUBLINGS = 5


def note_answer(world: World, done: AttemptDone, now_ms: int) -> None:
    """Note what a sidecar told of itself with an answer."""
    row = world.health.get(done.minion)
    service_ms = done.service_ms or (row.service_ms if row else 0.0)
    world.health.put(
        MinionHealth(
            done.minion,
            done.incarnation,
            now_ms,
            done.free_slots,
            done.leaving,
            service_ms,
            measured_ms=now_ms,
        )
    )
    refresh_pool(world, done.minion, now_ms)


def note_failure(world: World, attempt: Attempt, now_ms: int) -> None:
    """Count a failed exchange; several in a row pause a minion for a while."""
    minion = world.agreed.minions.get(attempt.minion)
    if minion is None or minion.incarnation != attempt.incarnation:
        return
    row = world.health.get(attempt.minion)
    if row is None or row.incarnation != attempt.incarnation:
        row = MinionHealth(attempt.minion, attempt.incarnation, now_ms, 0, False, 0.0)
        world.health.put(row)
    failures = row.failures + 1
    world.health.update(attempt.minion, failures=failures, measured_ms=now_ms)
    if failures >= FAILURES_TO_PAUSE:
        _pause(world, attempt.minion, failures, now_ms)
    refresh_pool(world, attempt.minion, now_ms)


def _pause(world: World, minion: str, failures: int, now_ms: int) -> None:
    doublings = min(failures - FAILURES_TO_PAUSE, MOST_DOUBLINGS)
    pause_ms = now_ms + min(PAUSE_UNIT_MS << doublings, LONGEST_PAUSE_MS)
    world.health.update(minion, pause_ms=pause_ms)
    world.pause_deadlines.put(pause_ms, minion)
    world.deadlines.add(pause_ms)


@system(Phase.INTAKE, roles=(Role.ENTRY,), order=80)
def hear_heartbeats(world: World, now_ms: int) -> None:
    """Note what sidecars tell of themselves, and answer."""
    for beat in world.inbox.take(HeartbeatArrived):
        row = world.health.get(beat.minion)
        service_ms = beat.service_ms or (row.service_ms if row else 0.0)
        world.health.put(
            MinionHealth(
                beat.minion,
                beat.incarnation,
                now_ms,
                beat.free_slots,
                beat.leaving,
                service_ms,
                measured_ms=row.measured_ms if row else 0,
            )
        )
        refresh_pool(world, beat.minion, now_ms)
        for report in beat.reports:
            world.inbox.put(report)
        reply = HeartbeatReply(
            world.identity.name,
            world.identity.incarnation,
            world.log_view.folded_offset,
        )
        world.outbox.put(Reply(beat.exchange_id, 200, reply))
