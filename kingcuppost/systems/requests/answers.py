"""Answers to callers, and what follows from an attempt's outcome."""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.events import answer_id, note
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import AttemptDone
from kingcuppost.tables.outbox import Reply
from kingcuppost.tables.record import KeyOutcome
from kingcuppost.tables.replies import RequestReply
from kingcuppost.tables.request import Attempt, Outcome, Request, RequestState
from kingcuppost.tables.world import World

__all__ = ["STATUS_OF", "close_request", "expire", "refuse", "take_answers"]

STATUS_OF = {Outcome.ANSWERED: 200, Outcome.NOT_RUN: 503, Outcome.UNKNOWN: 504}


def refuse(world: World, exchange_id: str, step: str, reason: str) -> None:
    """Tell a caller that the request was not run."""
    reply = RequestReply(
        Outcome.NOT_RUN, step=step, peer=world.identity.name, reason=reason
    )
    world.outbox.put(Reply(exchange_id, STATUS_OF[Outcome.NOT_RUN], reply))


def close_request(
    world: World,
    request: Request,
    outcome: Outcome,
    *,
    answer: str = "",
    minion: str = "",
    step: str = "",
    reason: str = "",
) -> None:
    """Answer the caller and forget the request; later answers are dropped."""
    world.requests.delete(request.request_id)
    reply = RequestReply(
        outcome, answer, request.attempts, minion, step, minion, reason
    )
    world.outbox.put(Reply(request.exchange_id, STATUS_OF[outcome], reply))
    note(
        world,
        "request.close",
        f"Request {outcome}{': ' + reason if reason else ''}.",
        peer=minion,
        request=request.key or request.request_id,
        team=request.team,
    )
    took_ms = world.clock.now_ms() - request.created_ms
    world.tally.add("requests", request.team, outcome)
    world.tally.observe("request", took_ms, request.team, outcome)


@system(Phase.INTAKE, roles=(Role.ENTRY,))
def take_answers(world: World, now_ms: int) -> None:
    """Match answers with attempts; crossed and late ones fit no row."""
    for done in world.inbox.take(AttemptDone):
        attempt = world.attempts.delete(done.attempt_id)
        if attempt is None:
            continue
        _note_health(world, attempt, done, now_ms)
        request = world.requests.get(attempt.request_id)
        note(
            world,
            "request.answer",
            f"Attempt {done.attempt_id} is {done.outcome}.",
            peer=attempt.minion,
            request=(request and request.key) or attempt.request_id,
            team=request.team if request else "",
            receives=answer_id(done.attempt_id),
        )
        if request is not None:
            _conclude(world, request, done, now_ms)


def _note_health(
    world: World, attempt: Attempt, done: AttemptDone, now_ms: int
) -> None:
    row = world.health.get(attempt.minion)
    if row is None:
        return
    outstanding = max(0, row.outstanding - 1)
    if done.free_slots < 0:
        world.health.update(
            attempt.minion, outstanding=outstanding, failures=row.failures + 1
        )
        return
    world.health.update(
        attempt.minion,
        incarnation=done.incarnation,
        heard_ms=now_ms,
        free_slots=done.free_slots,
        leaving=done.leaving,
        service_ms=done.service_ms or row.service_ms,
        outstanding=outstanding,
        failures=0,
    )


def _conclude(world: World, request: Request, done: AttemptDone, now_ms: int) -> None:
    outcome = Outcome.NOT_RUN if done.never_sent else done.outcome
    if outcome is Outcome.ANSWERED:
        _note_outcome(world, request, done, "answered", now_ms)
        close_request(
            world, request, outcome, answer=done.body, minion=done.minion, step="serve"
        )
        return
    if outcome is Outcome.NOT_RUN:
        _note_outcome(world, request, done, "not_run", now_ms)
    if _may_retry(world, request, outcome):
        tried = (*request.tried, done.minion)
        world.requests.update(
            request.request_id, state=RequestState.QUEUED, tried=tried
        )
        return
    close_request(
        world, request, outcome, minion=done.minion, step="serve", reason=done.reason
    )


def _may_retry(world: World, request: Request, outcome: Outcome) -> bool:
    if request.key:
        return False
    path = team_path(request.team, request.urgency)
    return request.attempts < effective_value(world.agreed, "request.attempts", path)


def _note_outcome(
    world: World, request: Request, done: AttemptDone, outcome: str, now_ms: int
) -> None:
    if request.key:
        propose(world, KeyOutcome(request.key, done.attempt_id, outcome), now_ms)


@system(Phase.MEMBERSHIP, roles=(Role.ENTRY,))
def expire(world: World, now_ms: int) -> None:
    """Answer requests whose deadline has passed."""
    for request in world.requests:
        if request.deadline_ms > now_ms:
            continue
        sent = request.attempts > 0
        outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
        reason = "the deadline has passed"
        close_request(world, request, outcome, step=request.state, reason=reason)
