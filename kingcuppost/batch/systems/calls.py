"""Handling of callers' calls: submissions, cancellations, and reads of job states."""

import string
from dataclasses import dataclass

from kingcuppost.batch.systems.call_appends import propose_record
from kingcuppost.batch.systems.call_replies import (
    ANSWER_MARGIN_MS,
    RETRY_LATER_MS,
    make_not_run_reply,
    send_reply,
)
from kingcuppost.batch.systems.freshness import (
    is_configuration_current,
    is_fresh,
)
from kingcuppost.batch.systems.plan_layout import entries_without_parts
from kingcuppost.batch.systems.queue_lookup import find_queue, find_team
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.retry_after import outage_pause_ms
from kingcuppost.batch.tables.fleet import Queue
from kingcuppost.batch.tables.job import ENDED_STATES, Job, JobPolicy, JobState
from kingcuppost.batch.tables.messages import (
    CallerCall,
    CallKind,
    CallOutcome,
    CallReply,
    CancelRecord,
    JobRecord,
    ReadStream,
    Stream,
    SubmittedJob,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role

__all__ = ["handle_calls"]

JOB_ID_DIGITS = 16
STREAM_STALE_REASON = "the log is not followed"
TOO_WIDE_REASON = "entries of an earlier build cannot hold a job of so many tasks"
MAX_WHOLE_TASKS = 1_000  # a plan of as many tasks fits into one record
CONFIGURATION_STALE_REASON = "the configuration may be outdated"
EXTERNAL_POLICY_REASON = "an external placement policy is not supported"


def visible_state(job: Job) -> JobState:
    """Return the state of a job as shown to callers."""
    if job.cancelled and job.state not in ENDED_STATES:
        return JobState.CANCELLED
    return job.state


@dataclass(frozen=True, slots=True)
class _JobCall:
    """A call for one job, with what its path and its key stand for.

    Attributes
    ----------
    queue : Queue
        Queue that the call addresses.
    team : str
        Team of the caller.
    job_id : str
        Identifier of the job.
    """

    call: CallerCall
    queue: Queue
    team: str
    job_id: str

    def may_access(self, job: Job) -> bool:
        """Return whether the caller may read or cancel a job through the queue.

        A public queue asks for no key, so its own jobs are open to all of its callers.
        """
        is_open = self.queue.public and job.queue == self.queue.name
        return job.team == self.team or is_open


@system(Phase.INTAKE, (Role.ENTRY,), order=20)
def handle_calls(world: BatchWorld, now_ms: int) -> None:
    """Answer calls that need no append; propose the records of the others."""
    lookups, world.lookups = world.lookups, []
    for call in [*lookups, *world.inbox.take(CallerCall)]:
        reply = _handle_call(world, call, now_ms)
        if reply is not None:
            send_reply(world, call, reply, now_ms)


def _handle_call(world: BatchWorld, call: CallerCall, now_ms: int) -> CallReply | None:
    configuration = world.agreed.configuration
    if configuration is None:
        return make_not_run_reply(call, "no configuration yet")
    queue = find_queue(configuration, call.host, call.path)
    if not is_configuration_current(world, now_ms):
        priority = 0 if queue is None else queue.priority
        pause_ms = outage_pause_ms(world, Stream.OPERATORS, priority, now_ms)
        return make_not_run_reply(call, CONFIGURATION_STALE_REASON, pause_ms)
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
    job_call = _JobCall(call, queue, team, job_id)
    if call.kind is CallKind.SUBMIT:
        return _submit_job(world, job_call, now_ms)
    if call.kind is CallKind.CANCEL:
        return _cancel_job(world, job_call, now_ms)
    return _make_state_reply(world, job_call, now_ms)


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


def _make_waiting_count_reply(
    world: BatchWorld, call: CallerCall, queue: Queue, now_ms: int
) -> CallReply:
    if not is_fresh(world, Stream.JOBS, now_ms):
        return make_not_run_reply(call, STREAM_STALE_REASON)
    waiting = sum(
        1
        for job in world.agreed.jobs.scan("queue", queue.name)
        if not job.begun and visible_state(job) is JobState.QUEUED
    )
    return CallReply(call.exchange_id, CallOutcome.OK, waiting=waiting)


def _make_state_reply(
    world: BatchWorld, job_call: _JobCall, now_ms: int
) -> CallReply | None:
    call = job_call.call
    job = world.agreed.jobs.get(job_call.job_id)
    if job is not None and not job_call.may_access(job):
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
        return make_not_run_reply(call, STREAM_STALE_REASON)
    world.lookups.append(call)
    world.deadlines.add(answer_by_ms)
    if world.lookup_read_ms < call.received_ms:
        world.lookup_read_ms = now_ms
        world.outbox.put(ReadStream(Stream.JOBS))
    return None


def _submit_job(world: BatchWorld, job_call: _JobCall, now_ms: int) -> CallReply | None:
    call, queue, job_id = job_call.call, job_call.queue, job_call.job_id
    known = world.agreed.jobs.get(job_id)
    if known is not None and job_call.may_access(known):
        return CallReply(call.exchange_id, CallOutcome.OK)
    reason = _refusal_for_good(call, queue, known)
    if reason:
        return CallReply(call.exchange_id, CallOutcome.BAD, reason=reason)
    if not is_fresh(world, Stream.JOBS, now_ms):
        return _make_stale_reply(world, job_call, now_ms)
    if _is_too_wide_now(world, call.job):
        return make_not_run_reply(call, TOO_WIDE_REASON, RETRY_LATER_MS)
    job = Job(
        job_id,
        queue.name,
        job_call.team,
        call.job.spec,
        call.job.steps,
        world.clock.wall_ms(),
        -1,
        JobPolicy(
            queue.service, queue.priority, queue.most_failures, queue.slack_factor
        ),
    )
    propose_record(world, call, job_id, JobRecord(job))
    return None


def _make_stale_reply(world: BatchWorld, job_call: _JobCall, now_ms: int) -> CallReply:
    """Return the refusal of a call that the view of the jobs is too old for."""
    priority = job_call.queue.priority
    pause_ms = outage_pause_ms(world, Stream.JOBS, priority, now_ms)
    return make_not_run_reply(job_call.call, STREAM_STALE_REASON, pause_ms)


def _refusal_for_good(call: CallerCall, queue: Queue, known: Job | None) -> str:
    """Return why a submission can never be accepted; empty if it may be."""
    if known is not None:
        return "the identifier is in use"
    if call.job is None:
        return call.body_error
    return EXTERNAL_POLICY_REASON if queue.has_external_policy else ""


def _is_too_wide_now(world: BatchWorld, job: SubmittedJob) -> bool:
    """Return whether the plan of a job may be too large while it is written whole."""
    task_count = sum(step.count for step in job.steps)
    return task_count > MAX_WHOLE_TASKS and bool(entries_without_parts(world))


def _cancel_job(world: BatchWorld, job_call: _JobCall, now_ms: int) -> CallReply | None:
    call, job_id = job_call.call, job_call.job_id
    job = world.agreed.jobs.get(job_id)
    if job is not None and not job_call.may_access(job):
        return CallReply(call.exchange_id, CallOutcome.NO_JOB)
    if job is None:
        return _answer_unknown_job(world, call, now_ms)
    if visible_state(job) in ENDED_STATES:
        return CallReply(call.exchange_id, CallOutcome.OK)
    if not is_fresh(world, Stream.JOBS, now_ms):
        return _make_stale_reply(world, job_call, now_ms)
    propose_record(world, call, job_id, CancelRecord(job_id))
    return None
