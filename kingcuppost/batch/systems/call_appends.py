"""Appends of the records of callers' calls, and the replies that they decide."""

from kingcuppost.batch.systems.call_replies import (
    ANSWER_MARGIN_MS,
    RETRY_LATER_MS,
    make_not_run_reply,
    send_reply,
)
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.tables.messages import (
    Append,
    AppendEnded,
    AppendOutcome,
    CallerCall,
    CallKind,
    CallOutcome,
    CallReply,
    Record,
    Stream,
)
from kingcuppost.batch.tables.pending_calls import PendingCall
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["end_pending_calls", "propose_record"]

APPEND_TIMEOUT_MS = 1_000
NO_ANSWER_REASON = "the log has not answered in time"


def propose_record(
    world: BatchWorld, call: CallerCall, job_id: str, record: Record
) -> None:
    """Append a record and keep the call pending until the outcome is known."""
    append = Append(
        new_identifier(world.rng, "call"),
        Stream.JOBS,
        (record,),
        timeout_ms=APPEND_TIMEOUT_MS,
    )
    world.pending_calls[append.id] = PendingCall(call, job_id, append)
    world.outbox.put(append)


@system(Phase.INTAKE, (Role.ENTRY,), order=10)
def end_pending_calls(world: BatchWorld, now_ms: int) -> None:
    """Answer pending calls whose append has ended or whose record has been read.

    The results of all other appends are moved to `append_results`.
    """
    for answer in world.inbox.take(AppendEnded):
        _count_failure(world, answer)
        pending = world.pending_calls.get(answer.id)
        if pending is None:
            world.schedule.append_results.append(answer)
        else:
            _handle_append_answer(world, pending, answer, now_ms)
    for pending in list(world.pending_calls.values()):
        if pending.is_answered:
            continue
        if _is_recorded(world, pending):
            _end_pending_call(
                world,
                pending,
                CallReply(pending.call.exchange_id, CallOutcome.OK),
                now_ms,
            )
        elif pending.is_sent:
            _answer_in_time(world, pending, now_ms)
        else:
            _resend_append(world, pending, now_ms)


def _count_failure(world: BatchWorld, answer: AppendEnded) -> None:
    if answer.outcome is not AppendOutcome.DONE:
        world.tally.add("appends_failed", answer.outcome)
    if answer.outcome is AppendOutcome.INVALID:
        world.note(
            "log", "An append is invalid.", append=answer.id, reason=answer.reason
        )


def _is_recorded(world: BatchWorld, pending: PendingCall) -> bool:
    job = world.agreed.jobs.get(pending.job_id)
    if job is None:
        return False
    return pending.call.kind is CallKind.SUBMIT or job.cancelled


def _handle_append_answer(
    world: BatchWorld, pending: PendingCall, answer: AppendEnded, now_ms: int
) -> None:
    """Answer a call according to the end of its append, or resend the append.

    An append of unknown outcome is resent until it succeeds or the caller's time is
    almost over. A later refusal is not final: an earlier attempt may still have
    reached the log.
    """
    exchange_id = pending.call.exchange_id
    if pending.is_answered:
        del world.pending_calls[pending.append.id]
        return
    if answer.outcome is AppendOutcome.DONE:
        _end_pending_call(
            world, pending, CallReply(exchange_id, CallOutcome.OK), now_ms
        )
        return
    if answer.outcome is AppendOutcome.INVALID and not pending.has_unknown_outcome:
        reply = CallReply(exchange_id, CallOutcome.BAD, reason=answer.reason)
        _end_pending_call(world, pending, reply, now_ms)
        return
    pending.has_unknown_outcome = (
        pending.has_unknown_outcome or answer.outcome is AppendOutcome.UNKNOWN
    )
    if pending.has_unknown_outcome:
        pending.is_sent = False
        pending.failure = answer.reason
        pending.backoff.fail(world.rng, now_ms)
    else:
        reply = make_not_run_reply(pending.call, answer.reason, RETRY_LATER_MS)
        _end_pending_call(world, pending, reply, now_ms)


def _resend_append(world: BatchWorld, pending: PendingCall, now_ms: int) -> None:
    """Resend an append of unknown outcome after its pause, while the caller waits."""
    last_ms = _last_answer_ms(pending.call)
    if now_ms >= last_ms:
        _end_pending_call(world, pending, _make_unknown_reply(pending), now_ms)
    elif now_ms < pending.backoff.until_ms:
        world.deadlines.add(min(pending.backoff.until_ms, last_ms))
    else:
        pending.attempts += 1
        pending.is_sent = True
        world.outbox.put(pending.append)


def _answer_in_time(world: BatchWorld, pending: PendingCall, now_ms: int) -> None:
    """Answer a call whose append is under way when the caller's time is almost over.

    A caller that gets no answer in time may not ask again. The call stays pending until
    its append has ended.
    """
    last_ms = _last_answer_ms(pending.call)
    if now_ms < last_ms:
        world.deadlines.add(last_ms)
        return
    pending.is_answered = True
    send_reply(world, pending.call, _make_unknown_reply(pending), now_ms)


def _last_answer_ms(call: CallerCall) -> int:
    """Return the time at which a call is answered at the latest."""
    return call.received_ms + call.timeout_ms - ANSWER_MARGIN_MS


def _make_unknown_reply(pending: PendingCall) -> CallReply:
    reason = pending.failure or NO_ANSWER_REASON
    return CallReply(pending.call.exchange_id, CallOutcome.UNKNOWN, reason=reason)


def _end_pending_call(
    world: BatchWorld, pending: PendingCall, reply: CallReply, now_ms: int
) -> None:
    del world.pending_calls[pending.append.id]
    send_reply(world, pending.call, reply, now_ms)
