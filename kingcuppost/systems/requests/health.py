"""Health of minions as an entry observes it in answers and heartbeats."""

from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.pools import refresh_pool
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import AttemptAnswered, HeartbeatArrived
from kingcuppost.tables.outbox import Reply
from kingcuppost.tables.replies import HeartbeatReply
from kingcuppost.tables.request import Attempt, MinionHealth
from kingcuppost.tables.world import World

__all__ = ["handle_heartbeats", "record_answer", "record_failure"]

STATUS_OK = 200
MIN_FAILURES_TO_PAUSE = 3
BASE_PAUSE_MS = 200
MAX_PAUSE_MS = 5_000
MAX_PAUSE_DOUBLINGS = 5


def record_answer(world: World, answer: AttemptAnswered, now_ms: int) -> None:
    """Update a minion's health from its sidecar's answer to an attempt.

    The answer resets the number of failures and ends a pause.
    """
    previous = world.health.get(answer.minion)
    service_ms = answer.service_ms or (previous.service_ms if previous else 0.0)
    world.health.put(
        MinionHealth(
            answer.minion,
            answer.incarnation,
            now_ms,
            answer.free_slots,
            answer.leaving,
            service_ms,
            last_measured_ms=now_ms,
        )
    )
    refresh_pool(world, answer.minion, now_ms)


def record_failure(world: World, attempt: Attempt, now_ms: int) -> None:
    """Count a failed exchange, and pause the minion after several in a row."""
    minion = world.agreed.minions.get(attempt.minion)
    if minion is None or minion.incarnation != attempt.incarnation:
        return
    health = world.health.get(attempt.minion)
    if health is None or health.incarnation != attempt.incarnation:
        health = MinionHealth(
            attempt.minion, attempt.incarnation, now_ms, 0, False, 0.0
        )
        world.health.put(health)
    failures = health.failures + 1
    world.health.update(attempt.minion, failures=failures, last_measured_ms=now_ms)
    if failures >= MIN_FAILURES_TO_PAUSE:
        _pause(world, attempt.minion, failures, now_ms)
    refresh_pool(world, attempt.minion, now_ms)


def _pause(world: World, minion: str, failures: int, now_ms: int) -> None:
    doublings = min(failures - MIN_FAILURES_TO_PAUSE, MAX_PAUSE_DOUBLINGS)
    paused_until_ms = now_ms + min(BASE_PAUSE_MS << doublings, MAX_PAUSE_MS)
    world.health.update(minion, paused_until_ms=paused_until_ms)
    world.pause_deadlines.put(paused_until_ms, minion)
    world.deadlines.add(paused_until_ms)


@system(Phase.INTAKE, roles=(Role.ENTRY,), order=80)
def handle_heartbeats(world: World, now_ms: int) -> None:
    """Update minions' health from heartbeats, pass on reports, and answer.

    Like an answer to an attempt, a heartbeat resets the number of failures and ends a
    pause.
    """
    for heartbeat in world.inbox.take(HeartbeatArrived):
        previous = world.health.get(heartbeat.minion)
        service_ms = heartbeat.service_ms or (previous.service_ms if previous else 0.0)
        world.health.put(
            MinionHealth(
                heartbeat.minion,
                heartbeat.incarnation,
                now_ms,
                heartbeat.free_slots,
                heartbeat.leaving,
                service_ms,
                last_measured_ms=previous.last_measured_ms if previous else 0,
            )
        )
        refresh_pool(world, heartbeat.minion, now_ms)
        for report in heartbeat.reports:
            world.inbox.put(report)
        reply = HeartbeatReply(
            world.identity.name,
            world.identity.incarnation,
            world.log_view.folded_offset,
        )
        world.outbox.put(Reply(heartbeat.exchange_id, STATUS_OK, reply))
