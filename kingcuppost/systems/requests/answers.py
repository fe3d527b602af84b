"""Answers to callers, and the handling of outcomes of attempts."""

from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.events import answer_id, note
from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.health import record_answer, record_failure
from kingcuppost.systems.requests.pools import refresh_pool
from kingcuppost.systems.requests.retries import spend_retry
from kingcuppost.systems.requests.sending import (
    can_resend,
    requests_awaiting,
    schedule_resend,
)
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import AttemptAnswered
from kingcuppost.tables.outbox import Reply
from kingcuppost.tables.record import KeyOutcome
from kingcuppost.tables.replies import RequestReply
from kingcuppost.tables.request import Attempt, Outcome, Request, RequestState
from kingcuppost.tables.world import World

__all__ = ["STATUS_OF", "close_request", "handle_attempt_outcomes", "refuse_request"]

STATUS_OF = {Outcome.ANSWERED: 200, Outcome.NOT_RUN: 503, Outcome.UNKNOWN: 504}


def refuse_request(world: World, exchange_id: str, step: str, reason: str) -> None:
    """Answer a caller that the request was not run."""
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
    """Answer the caller and delete the request, so that later answers are dropped.

    "Not run" becomes "unknown" if an earlier attempt may have run.
    """
    if outcome is Outcome.NOT_RUN and request.may_have_run:
        outcome = Outcome.UNKNOWN
    world.request_queue.remove(request)
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
    duration_ms = world.clock.now_ms() - request.created_ms
    world.tally.add("requests", request.team, outcome)
    world.tally.observe("request", duration_ms, request.team, outcome)


@system(Phase.INTAKE, roles=(Role.ENTRY,), order=70)
def handle_attempt_outcomes(world: World, now_ms: int) -> None:
    """Handle outcomes of open attempts; drop late ones and those of unknown attempts.

    An attempt that can be resent stays open.
    """
    for answer in world.inbox.take(AttemptAnswered):
        attempt = world.attempts.get(answer.attempt_id)
        if attempt is None:
            continue
        sidecar_answered = answer.free_slots >= 0  # -1 after a failed exchange
        if sidecar_answered:
            record_answer(world, answer, now_ms)
        else:
            record_failure(world, attempt, now_ms)
        if (answer.running or not sidecar_answered) and can_resend(
            world, attempt, answer
        ):
            schedule_resend(world, attempt, answer, now_ms)
            continue
        note(
            world,
            "request.answer",
            f"Attempt {answer.attempt_id} is {answer.outcome}.",
            peer=attempt.minion,
            request=attempt.key or attempt.request_id,
            receives=answer_id(answer.attempt_id),
        )
        _end_attempt(world, attempt, answer, now_ms)


def _end_attempt(
    world: World, attempt: Attempt, answer: AttemptAnswered, now_ms: int
) -> None:
    requests = requests_awaiting(world, attempt)
    outcome = _outcome_of(attempt, answer)
    world.attempts.delete(attempt.attempt_id)
    refresh_pool(world, attempt.minion, now_ms)
    if attempt.key and outcome is not Outcome.UNKNOWN:
        propose(world, KeyOutcome(attempt.key, attempt.attempt_id, outcome), now_ms)
    for request in requests:
        _retry_or_close(world, request, answer, outcome)


def _outcome_of(attempt: Attempt, answer: AttemptAnswered) -> Outcome:
    """Return the outcome that is certain.

    A failed connection proves "not run" for an attempt that was not sent before.
    For a claimed key it proves nothing, since another entry may have sent the
    same attempt: only the sidecar's answer frees a key.
    """
    if not answer.never_sent:
        return answer.outcome
    is_only_send = attempt.resends == 0 and not attempt.key
    return Outcome.NOT_RUN if is_only_send else Outcome.UNKNOWN


def _retry_or_close(
    world: World, request: Request, answer: AttemptAnswered, outcome: Outcome
) -> None:
    if outcome is Outcome.ANSWERED:
        close_request(
            world,
            request,
            outcome,
            answer=answer.body,
            minion=answer.minion,
            step="serve",
        )
        return
    may_have_run = request.may_have_run or outcome is Outcome.UNKNOWN
    world.requests.update(request.request_id, may_have_run=may_have_run)
    if spend_retry(world, request):
        tried_minions = (*request.tried_minions, answer.minion)
        world.requests.update(
            request.request_id, state=RequestState.QUEUED, tried_minions=tried_minions
        )
        world.request_queue.push(request)
        return
    close_request(
        world,
        request,
        outcome,
        minion=answer.minion,
        step="serve",
        reason=answer.reason,
    )
