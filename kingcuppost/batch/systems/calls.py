"""Handling of callers' calls: submissions, cancellations, and reads of job states."""

import string

from kingcuppost.batch.systems.freshness import (
    is_configuration_current,
    is_fresh,
    view_age_ms,
)
from kingcuppost.batch.systems.plan_layout import entries_without_parts
from kingcuppost.batch.systems.queue_lookup import find_queue, find_team
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.tables.fleet import Queue
from kingcuppost.batch.tables.job import ENDED_STATES, Job, JobPolicy, JobState
from kingcuppost.batch.tables.messages import (
    Append,
    AppendEnded,
    AppendOutcome,
    CallerCall,
    CallKind,
    CallOutcome,
    CallReply,
    CancelRecord,
    JobRecord,
    ReadStream,
    Record,
    Stream,
    SubmittedJob,
)
from kingcuppost.batch.tables.pending_calls import PendingCall
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["end_pending_calls", "handle_calls"]

JOB_ID_DIGITS = 16
RETRY_SOON_MS = 500
RETRY_LATER_MS = 1_000
APPEND_TIMEOUT_MS = 1_000
ANSWER_MARGIN_MS = 200
STREAM_STALE_REASON = "the log is not followed"
TOO_WIDE_REASON = "entries of an earlier build cannot hold a job of so many tasks"
MAX_WHOLE_TASKS = 1_000  # a plan of as many tasks fits into one record
CONFIGURATION_STALE_REASON = "the configuration may be outdated"
ADVICE_REASON = "queues with advice are not supported"
LOGGED_KINDS = (CallKind.SUBMIT, CallKind.CANCEL)
# answers that a caller may complain about, or that rest on the configuration alone
LOGGED_OUTCOMES = (
    CallOutcome.NOT_RUN,
    CallOutcome.UNKNOWN,
    CallOutcome.NO_KEY,
    CallOutcome.NO_QUEUE,
)


def visible_state(job: Job) -> JobState:
    """Return the state of a job as shown to callers."""
    if job.cancelled and job.state not in ENDED_STATES:
        return JobState.CANCELLED
    return job.state


@system(Phase.INTAKE, (Role.ENTRY,), order=20)
def handle_calls(world: BatchWorld, now_ms: int) -> None:
    """Answer calls that need no append; propose the records of the others."""
    lookups, world.lookups = world.lookups, []
    for call in [*lookups, *world.inbox.take(CallerCall)]:
        reply = _handle_call(world, call, now_ms)
        if reply is not None:
            _send_reply(world, call, reply, now_ms)


def _send_reply(
    world: BatchWorld, call: CallerCall, reply: CallReply, now_ms: int
) -> None:
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


def _handle_call(world: BatchWorld, call: CallerCall, now_ms: int) -> CallReply | None:
    configuration = world.agreed.configuration
    if configuration is None:
        return _make_not_run_reply(call, "no configuration yet")
    if not is_configuration_current(world, now_ms):
        return _make_not_run_reply(call, CONFIGURATION_STALE_REASON, RETRY_LATER_MS)
    queue = find_queue(configuration, call.host, call.path)
    if queue is None:
        return CallReply(call.exchange_id, CallOutcome.NO_QUEUE)
    team = find_team(configuration, queue, call.key)
    if team is None:
        return CallReply(call.exchange_id, CallOutcome.NO_KEY)
    job_id = call.path[len(queue.prefix) :]
    if call.kind is CallKind.STATE and not job_id:
        return _make_waiting_count_reply(world, call, queue, now_ms)
    if not is_job_id(job_id):
        return CallReply(call.exchange_id, CallOutcome.BAD, reason="no such identifier")
    if call.kind is CallKind.SUBMIT:
        return _submit_job(world, call, queue, team, job_id, now_ms)
    if call.kind is CallKind.CANCEL:
        return _cancel_job(world, call, queue, team, job_id, now_ms)
    return _make_state_reply(world, call, queue, team, job_id, now_ms)


def is_job_id(text: str) -> bool:
    """Return whether a text is a valid job identifier.

    Examples
    --------
    >>> is_job_id("5c0e7a21d94b36f8")
    True
    >>> is_job_id("5c0e7a21")
    False
    """
    return len(text) == JOB_ID_DIGITS and all(char in string.hexdigits for char in text)


def _make_not_run_reply(
    call: CallerCall, reason: str, retry_after_ms: int = RETRY_SOON_MS
) -> CallReply:
    return CallReply(
        call.exchange_id,
        CallOutcome.NOT_RUN,
        retry_after_ms=retry_after_ms,
        reason=reason,
    )


def _make_waiting_count_reply(
    world: BatchWorld, call: CallerCall, queue: Queue, now_ms: int
) -> CallReply:
    if not is_fresh(world, Stream.JOBS, now_ms):
        return _make_not_run_reply(call, STREAM_STALE_REASON)
    waiting = sum(
        1
        for job in world.agreed.jobs.scan("queue", queue.name)
        if not job.begun and visible_state(job) is JobState.QUEUED
    )
    return CallReply(call.exchange_id, CallOutcome.OK, waiting=waiting)


def _make_state_reply(
    world: BatchWorld,
    call: CallerCall,
    queue: Queue,
    team: str,
    job_id: str,
    now_ms: int,
) -> CallReply | None:
    job = world.agreed.jobs.get(job_id)
    if job is not None and not _may_access(job, queue, team):
        return CallReply(call.exchange_id, CallOutcome.NO_JOB)
    if job is not None:
        return CallReply(call.exchange_id, CallOutcome.OK, state=visible_state(job))
    return _answer_unknown_job(world, call, now_ms)


def _answer_unknown_job(
    world: BatchWorld, call: CallerCall, now_ms: int
) -> CallReply | None:
    """Answer a call for an unknown job, or let it wait for the jobs stream.

    That there is no such job is certain only once the stream was read to where it ended
    when the call came: the job may just have been accepted, also by another entry.
    """
    fresh_ms = world.agreed.views[Stream.JOBS].fresh_ms
    if fresh_ms is not None and fresh_ms >= call.received_ms:
        return CallReply(call.exchange_id, CallOutcome.NO_JOB)
    answer_by_ms = call.received_ms + call.timeout_ms - ANSWER_MARGIN_MS
    if not is_fresh(world, Stream.JOBS, now_ms) or now_ms >= answer_by_ms:
        return _make_not_run_reply(call, STREAM_STALE_REASON)
    world.lookups.append(call)
    world.deadlines.add(answer_by_ms)
    if world.lookup_read_ms < call.received_ms:
        world.lookup_read_ms = now_ms
        world.outbox.put(ReadStream(Stream.JOBS))
    return None


def _submit_job(
    world: BatchWorld,
    call: CallerCall,
    queue: Queue,
    team: str,
    job_id: str,
    now_ms: int,
) -> CallReply | None:
    known = world.agreed.jobs.get(job_id)
    if known is not None and _may_access(known, queue, team):
        return CallReply(call.exchange_id, CallOutcome.OK)
    reason = _refusal_for_good(call, queue, known)
    if reason:
        return CallReply(call.exchange_id, CallOutcome.BAD, reason=reason)
    if not is_fresh(world, Stream.JOBS, now_ms):
        return _make_not_run_reply(call, STREAM_STALE_REASON, RETRY_LATER_MS)
    if _is_too_wide_now(world, call.job):
        return _make_not_run_reply(call, TOO_WIDE_REASON, RETRY_LATER_MS)
    job = Job(
        job_id,
        queue.name,
        team,
        call.job.spec,
        call.job.steps,
        world.clock.wall_ms(),
        -1,
        JobPolicy(
            queue.service, queue.priority, queue.most_failures, queue.slack_factor
        ),
    )
    _propose_record(world, call, job_id, JobRecord(job))
    return None


def _refusal_for_good(call: CallerCall, queue: Queue, known: Job | None) -> str:
    """Return why a submission can never be accepted; empty if it may be."""
    if known is not None:
        return "the identifier is in use"
    if call.job is None:
        return call.body_error
    return ADVICE_REASON if queue.needs_advice else ""


def _may_access(job: Job, queue: Queue, team: str) -> bool:
    """Return whether callers of a team may read or cancel a job through a queue.

    A public queue asks for no key, so its own jobs are open to all of its callers.
    """
    return job.team == team or (queue.public and job.queue == queue.name)


def _is_too_wide_now(world: BatchWorld, job: SubmittedJob) -> bool:
    """Return whether the plan of a job may be too large while it is written whole."""
    task_count = sum(step.count for step in job.steps)
    return task_count > MAX_WHOLE_TASKS and bool(entries_without_parts(world))


def _cancel_job(
    world: BatchWorld,
    call: CallerCall,
    queue: Queue,
    team: str,
    job_id: str,
    now_ms: int,
) -> CallReply | None:
    job = world.agreed.jobs.get(job_id)
    if job is not None and not _may_access(job, queue, team):
        return CallReply(call.exchange_id, CallOutcome.NO_JOB)
    if job is None:
        return _answer_unknown_job(world, call, now_ms)
    if visible_state(job) in ENDED_STATES:
        return CallReply(call.exchange_id, CallOutcome.OK)
    if not is_fresh(world, Stream.JOBS, now_ms):
        return _make_not_run_reply(call, STREAM_STALE_REASON, RETRY_LATER_MS)
    _propose_record(world, call, job_id, CancelRecord(job_id))
    return None


def _propose_record(
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
        if _is_recorded(world, pending):
            _end_pending_call(
                world,
                pending,
                CallReply(pending.call.exchange_id, CallOutcome.OK),
                now_ms,
            )
        elif not pending.is_sent:
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
        reply = _make_not_run_reply(pending.call, answer.reason, RETRY_LATER_MS)
        _end_pending_call(world, pending, reply, now_ms)


def _resend_append(world: BatchWorld, pending: PendingCall, now_ms: int) -> None:
    """Resend an append of unknown outcome after its pause, while the caller waits."""
    call = pending.call
    last_ms = call.received_ms + call.timeout_ms - ANSWER_MARGIN_MS
    if now_ms >= last_ms:
        reply = CallReply(call.exchange_id, CallOutcome.UNKNOWN, reason=pending.failure)
        _end_pending_call(world, pending, reply, now_ms)
    elif now_ms < pending.backoff.until_ms:
        world.deadlines.add(min(pending.backoff.until_ms, last_ms))
    else:
        pending.attempts += 1
        pending.is_sent = True
        world.outbox.put(pending.append)


def _end_pending_call(
    world: BatchWorld, pending: PendingCall, reply: CallReply, now_ms: int
) -> None:
    del world.pending_calls[pending.append.id]
    _send_reply(world, pending.call, reply, now_ms)
