"""Serving attempts at a sidecar: slots, repeats, and the hand-over."""

from kingcuppost.systems.events import answer_id, note
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import AttemptArrived, MinionAnswered
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.outbox import HandOver, Reply
from kingcuppost.tables.replies import ServedReply
from kingcuppost.tables.request import Outcome, ServedAttempt, ServedState
from kingcuppost.tables.world import World

__all__ = ["accept_attempts", "free_slots", "hand_over", "take_minion_answers"]

OUTCOME_OF = {
    ServedState.ANSWERED: Outcome.ANSWERED,
    ServedState.NOT_RUN: Outcome.NOT_RUN,
    ServedState.UNKNOWN: Outcome.UNKNOWN,
}
SMOOTHING = 0.2


def free_slots(world: World) -> int:
    """Return how many more attempts the minion can run now."""
    return world.cfg.sidecar.slots - world.served.count("state", ServedState.RUNNING)


@system(Phase.INTAKE, roles=(Role.SIDECAR,))
def accept_attempts(world: World, now_ms: int) -> None:
    """Queue new attempts; answer repeats from memory; refuse foreign ones."""
    for message in world.inbox.take(AttemptArrived):
        known = world.served.get(message.attempt_id)
        if message.incarnation != world.identity.incarnation:
            _answer(world, message, Outcome.UNKNOWN, "another process was meant")
        elif known is not None:
            _join(world, known, message)
        elif world.stopping:
            _answer(world, message, Outcome.NOT_RUN, "the minion is leaving")
        else:
            _queue(world, message, now_ms)


def _answer(
    world: World, message: AttemptArrived, outcome: Outcome, reason: str
) -> None:
    reply = _reply_of(world, message.attempt_id, outcome, "", reason)
    world.outbox.put(Reply(message.exchange_id, 200, reply))


def _reply_of(
    world: World, attempt_id: str, outcome: Outcome, body: str, reason: str = ""
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
    )


def _join(world: World, known: ServedAttempt, message: AttemptArrived) -> None:
    if known.state in OUTCOME_OF:
        reply = _reply_of(
            world, known.attempt_id, OUTCOME_OF[known.state], known.answer
        )
        world.outbox.put(Reply(message.exchange_id, 200, reply))
        return
    waiting = (*known.exchange_ids, message.exchange_id)
    world.served.update(known.attempt_id, exchange_ids=waiting)


def _queue(world: World, message: AttemptArrived, now_ms: int) -> None:
    row = ServedAttempt(
        message.attempt_id,
        message.team,
        (message.exchange_id,),
        message.body,
        message.keyed,
        message.urgency,
        ServedState.WAITING,
        now_ms,
        now_ms + message.timeout_ms,
    )
    world.served.put(row)
    world.deadlines.add(row.deadline_ms)
    note(
        world,
        "serve.receive",
        f"Attempt {row.attempt_id} received.",
        team=row.team,
        receives=row.attempt_id,
    )


@system(Phase.INTAKE, roles=(Role.SIDECAR,))
def take_minion_answers(world: World, now_ms: int) -> None:
    """Give whole answers to the exchanges that wait for them."""
    for message in world.inbox.take(MinionAnswered):
        row = world.served.get(message.attempt_id)
        if row is None or row.state is not ServedState.RUNNING:
            continue
        if message.ok:
            _smooth(world, now_ms - row.started_ms)
            _finish(world, row, ServedState.ANSWERED, now_ms, message.body)
        elif message.never_sent:
            _finish(world, row, ServedState.NOT_RUN, now_ms, reason=message.reason)
        else:
            _finish(world, row, ServedState.UNKNOWN, now_ms, reason=message.reason)


def _smooth(world: World, took_ms: int) -> None:
    if world.service_ms:
        took_ms = world.service_ms + SMOOTHING * (took_ms - world.service_ms)
    world.service_ms = float(max(took_ms, 1))


def _finish(
    world: World,
    row: ServedAttempt,
    state: ServedState,
    now_ms: int,
    answer: str = "",
    reason: str = "",
) -> None:
    waiting = row.exchange_ids
    note(
        world,
        "serve.close",
        f"Attempt {row.attempt_id} {state}{': ' + reason if reason else ''}.",
        team=row.team,
        sends=answer_id(row.attempt_id),
    )
    world.served.update(
        row.attempt_id,
        state=state,
        finished_ms=now_ms,
        answer=answer,
        exchange_ids=(),
    )
    for exchange_id in waiting:
        reply = _reply_of(world, row.attempt_id, OUTCOME_OF[state], answer, reason)
        world.outbox.put(Reply(exchange_id, 200, reply))


@system(Phase.ACT, roles=(Role.SIDECAR,))
def hand_over(world: World, now_ms: int) -> None:
    """Drop attempts that are too late; give the rest a slot each."""
    waiting = world.served.find("state", ServedState.WAITING)
    for row in waiting:
        if row.deadline_ms <= now_ms:
            reason = "the deadline passed before a slot was free"
            _finish(world, row, ServedState.NOT_RUN, now_ms, reason=reason)
    waiting = [row for row in waiting if row.state is ServedState.WAITING]
    waiting.sort(key=lambda row: (row.urgency != Urgency.INTERACTIVE, row.received_ms))
    for row in waiting[: free_slots(world)]:
        world.served.update(
            row.attempt_id, state=ServedState.RUNNING, started_ms=now_ms
        )
        world.outbox.put(HandOver(row.attempt_id, row.body, row.deadline_ms - now_ms))
