"""Replies to callers' calls: sending them, with their metrics and log lines."""

from kingcuppost.batch.systems.freshness import view_age_ms
from kingcuppost.batch.tables.messages import (
    CallerCall,
    CallKind,
    CallOutcome,
    CallReply,
    Stream,
)
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["ANSWER_MARGIN_MS", "RETRY_LATER_MS", "make_not_run_reply", "send_reply"]

RETRY_SOON_MS = 500
RETRY_LATER_MS = 1_000
ANSWER_MARGIN_MS = 200  # before the caller's time is over
LOGGED_KINDS = (CallKind.SUBMIT, CallKind.CANCEL)
# answers that a caller may complain about, or that rest on the configuration alone
LOGGED_OUTCOMES = (
    CallOutcome.NOT_RUN,
    CallOutcome.UNKNOWN,
    CallOutcome.NO_KEY,
    CallOutcome.NO_QUEUE,
)


def send_reply(
    world: BatchWorld, call: CallerCall, reply: CallReply, now_ms: int
) -> None:
    """Send the reply to a call; count it, and log it if it may matter later."""
    took_ms = now_ms - call.received_ms
    world.tally.add("calls", call.kind, reply.outcome)
    world.tally.observe("call", took_ms, call.kind)
    world.outbox.put(reply)
    if call.kind in LOGGED_KINDS or reply.outcome in LOGGED_OUTCOMES:
        _log_reply(world, call, reply, now_ms)


def _log_reply(
    world: BatchWorld, call: CallerCall, reply: CallReply, now_ms: int
) -> None:
    configuration = world.agreed.configuration
    world.note(
        "call",
        f"{call.kind} call was answered.",
        job=call.path.rpartition("/")[2],
        path=call.path,
        verdict=reply.outcome,
        reason=reply.reason,
        version=configuration.version if configuration else -1,
        operators_age_ms=view_age_ms(world, Stream.OPERATORS, now_ms),
        jobs_age_ms=view_age_ms(world, Stream.JOBS, now_ms),
        took_ms=now_ms - call.received_ms,
    )


def make_not_run_reply(
    call: CallerCall, reason: str, retry_after_ms: int = RETRY_SOON_MS
) -> CallReply:
    """Return the reply that a call certainly has no effect, and when to repeat it."""
    return CallReply(
        call.exchange_id,
        CallOutcome.NOT_RUN,
        retry_after_ms=retry_after_ms,
        reason=reason,
    )
