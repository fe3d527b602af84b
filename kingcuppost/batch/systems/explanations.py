"""Answers to requests to explain where a job would be placed."""

from kingcuppost.batch.systems.freshness import is_configuration_current
from kingcuppost.batch.systems.holder_election import has_authority, make_redirect
from kingcuppost.batch.systems.placement_explanation import explain_job
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.term_opening import is_scheduling
from kingcuppost.batch.tables.fleet import Queue
from kingcuppost.batch.tables.job import Job, JobPolicy
from kingcuppost.batch.tables.messages import (
    ExplainCall,
    ExplainOutcome,
    ExplainReply,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role

__all__ = ["EXPLAIN_PERIOD_MS", "MAX_EXPLAINED_TASKS", "answer_explain_calls"]

# An explanation costs as much as the decision on one job, so a client that asks without
# pause must not delay the decisions on work that callers wait for.
EXPLAIN_PERIOD_MS = 1_000

# A decision on 10,000 tasks takes longer than a tick may, and an explanation is not cut
# into several ticks.
MAX_EXPLAINED_TASKS = 1_000

EXPLAINED_ID = "explained"  # no identifier of a job has this form
NO_HOLDER_REASON = "no entry is known to hold the lease"
PAUSED_REASON = "placement pauses: the operators' records may be outdated"
TOO_OFTEN_REASON = "another placement has just been explained; ask again in a second"
EXTERNAL_POLICY_REASON = "an external placement policy is not supported"


@system(Phase.DECIDE, (Role.ENTRY,), order=25)
def answer_explain_calls(world: BatchWorld, now_ms: int) -> None:
    """Answer requests to explain a placement, after the decisions of the tick."""
    for call in world.inbox.take(ExplainCall):
        reply = _answer(world, call, now_ms)
        world.tally.add("explanations", reply.outcome)
        world.outbox.put(reply)


def _answer(world: BatchWorld, call: ExplainCall, now_ms: int) -> ExplainReply:
    if not is_scheduling(world) or not has_authority(world, now_ms):
        return _redirect(world, call)
    queue = _find_queue(world, call.queue)
    if queue is None:
        reason = f"there is no queue {call.queue!r}"
        return ExplainReply(call.exchange_id, ExplainOutcome.BAD, reason)
    if queue.has_external_policy:
        return ExplainReply(
            call.exchange_id, ExplainOutcome.BAD, EXTERNAL_POLICY_REASON
        )
    if sum(step.count for step in call.job.steps) > MAX_EXPLAINED_TASKS:
        reason = f"jobs of more than {MAX_EXPLAINED_TASKS} tasks are not explained"
        return ExplainReply(call.exchange_id, ExplainOutcome.BAD, reason)
    if not is_configuration_current(world, now_ms):
        return ExplainReply(call.exchange_id, ExplainOutcome.NOT_NOW, PAUSED_REASON)
    if now_ms < world.schedule.explain_after_ms:
        return ExplainReply(call.exchange_id, ExplainOutcome.NOT_NOW, TOO_OFTEN_REASON)
    world.schedule.explain_after_ms = now_ms + EXPLAIN_PERIOD_MS
    job = _make_job(world, call, queue)
    return ExplainReply(
        call.exchange_id,
        ExplainOutcome.EXPLAINED,
        explanation=explain_job(world, job, now_ms),
    )


def _redirect(world: BatchWorld, call: ExplainCall) -> ExplainReply:
    holder = make_redirect(world, call.exchange_id).holder
    if holder is None:
        return ExplainReply(call.exchange_id, ExplainOutcome.NOT_NOW, NO_HOLDER_REASON)
    return ExplainReply(call.exchange_id, ExplainOutcome.REDIRECTED, holder=holder)


def _find_queue(world: BatchWorld, name: str) -> Queue | None:
    configuration = world.agreed.configuration
    queues = configuration.queues if configuration else ()
    return next((queue for queue in queues if queue.name == name), None)


def _make_job(world: BatchWorld, call: ExplainCall, queue: Queue) -> Job:
    """Return the job as it would be if it were accepted now."""
    return Job(
        EXPLAINED_ID,
        queue.name,
        call.team,
        call.job.spec,
        call.job.steps,
        world.clock.wall_ms(),
        -1,
        JobPolicy(
            queue.service, queue.priority, queue.most_failures, queue.slack_factor
        ),
    )
