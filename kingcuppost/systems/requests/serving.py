"""Serving of attempts at a sidecar: slots, resends, and the hand-over."""

from collections import Counter

from kingcuppost.systems.events import answer_id, note
from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.reply_cache import (
    cache_attempt,
    may_have_been_evicted,
)
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import AttemptArrived, MinionAnswered
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.outbox import HandOver, Reply
from kingcuppost.tables.replies import ServedReply
from kingcuppost.tables.request import (
    Outcome,
    PendingExchange,
    ServedAttempt,
    ServedState,
)
from kingcuppost.tables.world import World

__all__ = [
    "accept_attempts",
    "answer_pending_exchanges",
    "free_slots",
    "hand_over_attempts",
    "finish_attempts",
]

STATUS_OK = 200
OUTCOME_OF = {
    ServedState.ANSWERED: Outcome.ANSWERED,
    ServedState.NOT_RUN: Outcome.NOT_RUN,
    ServedState.UNKNOWN: Outcome.UNKNOWN,
}
SMOOTHING_WEIGHT = 0.2  # weight of the newest service time


def free_slots(world: World) -> int:
    """Return the number of free slots of the minion."""
    return world.cfg.sidecar.slots - world.served_attempts.count(
        "state", ServedState.RUNNING
    )


def _count_open_attempts(world: World) -> int:
    states = (ServedState.WAITING, ServedState.RUNNING)
    return sum(world.served_attempts.count("state", state) for state in states)


@system(Phase.INTAKE, roles=(Role.SIDECAR,), order=90)
def accept_attempts(world: World, now_ms: int) -> None:
    """Queue or refuse new attempts, and answer resends or hold them.

    A resend is held while its attempt is open. A process answers "not run" only for
    attempts addressed to itself. An attempt for another process, or one that may have
    been evicted from the cache, gets "unknown".
    """
    for message in world.inbox.take(AttemptArrived):
        known = world.served_attempts.get(message.attempt_id)
        if message.incarnation != world.identity.incarnation:
            _reply_unknown(world, message, "another process was meant")
        elif known is not None:
            _answer_resend(world, known, message, now_ms)
        elif may_have_been_evicted(world, message.claim_offset):
            _reply_unknown(world, message, "the claim is older than the memory")
        else:
            _accept_attempt(world, message, now_ms)


def _reply_unknown(world: World, message: AttemptArrived, reason: str) -> None:
    reply = _make_reply(world, message.attempt_id, Outcome.UNKNOWN, "", reason)
    world.outbox.put(Reply(message.exchange_id, STATUS_OK, reply))


def _make_reply(
    world: World,
    attempt_id: str,
    outcome: Outcome,
    body: str = "",
    reason: str = "",
    running: bool = False,
) -> ServedReply:
    return ServedReply(
        attempt_id,
        world.identity.incarnation,
        outcome,
        body,
        free_slots(world),
        world.stopping,
        world.service_ms,
        reason,
        running,
    )


def _answer_resend(
    world: World, known: ServedAttempt, message: AttemptArrived, now_ms: int
) -> None:
    if known.body != message.body:
        _reply_unknown(world, message, "the key stands for another body")
        return
    if known.state not in OUTCOME_OF:
        _add_pending_exchange(world, message, now_ms)
        return
    reply = _make_reply(world, known.attempt_id, OUTCOME_OF[known.state], known.answer)
    world.outbox.put(Reply(message.exchange_id, STATUS_OK, reply))


def _add_pending_exchange(world: World, message: AttemptArrived, now_ms: int) -> None:
    world.pending_exchanges.put(
        PendingExchange(message.exchange_id, message.attempt_id)
    )
    if message.hold_ms:
        world.hold_deadlines.put(now_ms + message.hold_ms, message.exchange_id)
        world.deadlines.add(now_ms + message.hold_ms)


def _accept_attempt(world: World, message: AttemptArrived, now_ms: int) -> None:
    attempt = ServedAttempt(
        message.attempt_id,
        message.team,
        message.body,
        message.keyed,
        message.urgency,
        ServedState.WAITING,
        now_ms,
        now_ms + message.timeout_ms,
        claim_offset=message.claim_offset,
    )
    refusal = _refusal_reason(world)
    world.served_attempts.put(attempt)
    _add_pending_exchange(world, message, now_ms)
    if refusal:
        _finish_attempt(world, attempt, ServedState.NOT_RUN, now_ms, reason=refusal)
        return
    world.deadlines.add(attempt.deadline_ms)
    note(
        world,
        "serve.receive",
        f"Attempt {attempt.attempt_id} received.",
        team=attempt.team,
        receives=attempt.attempt_id,
    )


def _refusal_reason(world: World) -> str:
    if world.stopping:
        return "the minion is leaving"
    if _count_open_attempts(world) >= world.cfg.sidecar.connections:
        return f"{world.cfg.sidecar.connections} attempts are open at the minion"
    return ""


@system(Phase.INTAKE, roles=(Role.SIDECAR,), order=100)
def finish_attempts(world: World, now_ms: int) -> None:
    """Finish attempts that the minion answered, and answer waiting exchanges."""
    for message in world.inbox.take(MinionAnswered):
        attempt = world.served_attempts.get(message.attempt_id)
        if attempt is None or attempt.state is not ServedState.RUNNING:
            continue
        if message.ok:
            _update_service_time(world, now_ms - attempt.started_ms)
            _finish_attempt(world, attempt, ServedState.ANSWERED, now_ms, message.body)
        elif message.never_sent:
            _finish_attempt(
                world, attempt, ServedState.NOT_RUN, now_ms, reason=message.reason
            )
        else:
            _finish_attempt(
                world, attempt, ServedState.UNKNOWN, now_ms, reason=message.reason
            )


def _update_service_time(world: World, duration_ms: int) -> None:
    """Update the smoothed service time; at least 1 ms, since 0 means not measured."""
    if world.service_ms:
        duration_ms = world.service_ms + SMOOTHING_WEIGHT * (
            duration_ms - world.service_ms
        )
    world.service_ms = float(max(duration_ms, 1))


def _finish_attempt(
    world: World,
    attempt: ServedAttempt,
    state: ServedState,
    now_ms: int,
    answer: str = "",
    reason: str = "",
) -> None:
    note(
        world,
        "serve.close",
        f"Attempt {attempt.attempt_id} {state}{': ' + reason if reason else ''}.",
        team=attempt.team,
        sends=answer_id(attempt.attempt_id),
    )
    world.served_attempts.update(
        attempt.attempt_id, state=state, finished_ms=now_ms, answer=answer
    )
    for pending in world.pending_exchanges.find("attempt_id", attempt.attempt_id):
        world.pending_exchanges.delete(pending.exchange_id)
        reply = _make_reply(
            world, attempt.attempt_id, OUTCOME_OF[state], answer, reason
        )
        world.outbox.put(Reply(pending.exchange_id, STATUS_OK, reply))
    cache_attempt(world, attempt, now_ms)


@system(Phase.ACT, roles=(Role.SIDECAR,), order=80)
def hand_over_attempts(world: World, now_ms: int) -> None:
    """Close attempts past their deadline, and hand over others while slots are free.

    Interactive attempts go first, then those of the team with the fewest running.
    """
    waiting = []
    for attempt in world.served_attempts.find("state", ServedState.WAITING):
        if attempt.deadline_ms <= now_ms:
            reason = "the deadline passed before a slot was free"
            _finish_attempt(world, attempt, ServedState.NOT_RUN, now_ms, reason=reason)
        else:
            waiting.append(attempt)
    if not waiting:
        return
    running = Counter(
        attempt.team
        for attempt in world.served_attempts.find("state", ServedState.RUNNING)
    )
    for _ in range(min(free_slots(world), len(waiting))):
        attempt = min(waiting, key=lambda attempt: _priority_key(attempt, running))
        waiting.remove(attempt)
        running[attempt.team] += 1
        _start_attempt(world, attempt, now_ms)


def _priority_key(
    attempt: ServedAttempt, running: Counter[str]
) -> tuple[bool, int, int]:
    return (
        attempt.urgency != Urgency.INTERACTIVE,
        running[attempt.team],
        attempt.received_ms,
    )


def _start_attempt(world: World, attempt: ServedAttempt, now_ms: int) -> None:
    world.served_attempts.update(
        attempt.attempt_id, state=ServedState.RUNNING, started_ms=now_ms
    )
    world.outbox.put(
        HandOver(attempt.attempt_id, attempt.body, attempt.deadline_ms - now_ms)
    )


@system(Phase.ACT, roles=(Role.SIDECAR,), order=70)
def answer_pending_exchanges(world: World, now_ms: int) -> None:
    """Answer "still running" to exchanges whose hold time is over."""
    for exchange_id in world.hold_deadlines.take_due(now_ms):
        pending = world.pending_exchanges.delete(exchange_id)
        if pending is not None:
            reply = _make_reply(
                world, pending.attempt_id, Outcome.UNKNOWN, running=True
            )
            world.outbox.put(Reply(exchange_id, STATUS_OK, reply))
