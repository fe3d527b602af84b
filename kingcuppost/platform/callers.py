"""Callers' HTTP interface and the balancer's readiness check."""

import json
from typing import Annotated

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, FailFast, Field
from twisted.web.server import Request

from kingcuppost.batch.edges.context import BatchContext, batch_senders
from kingcuppost.batch.edges.server import answer, open_exchange, surfaces
from kingcuppost.batch.edges.submissions import CALLERS_SURFACE, submission_decoders
from kingcuppost.batch.systems.freshness import is_fresh
from kingcuppost.batch.tables.job import MAX_JOB_TASKS, StepSpec
from kingcuppost.batch.tables.messages import (
    CallerCall,
    CallKind,
    CallOutcome,
    CallReply,
    Stream,
    SubmittedJob,
)
from kingcuppost.models.base import Amount, decode

__all__: list[str] = []

READY_PATH = "/kingcuppost/ready"
DEFAULT_TIMEOUT_MS = 3_000
MAX_TIMEOUT_DIGITS = 9
MS_PER_SECOND = 1_000
BEARER_PREFIX = "Bearer "
CALL_KINDS = {
    "POST": CallKind.SUBMIT,
    "GET": CallKind.STATE,
    "DELETE": CallKind.CANCEL,
}
OUTCOME_STATUSES = {
    CallOutcome.OK: 200,
    CallOutcome.BAD: 400,
    CallOutcome.NO_KEY: 401,
    CallOutcome.NO_QUEUE: 404,
    CallOutcome.NO_JOB: 410,
    CallOutcome.NOT_RUN: 503,
    CallOutcome.UNKNOWN: 504,
}
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_METHOD_NOT_ALLOWED = 405
STATUS_UNAVAILABLE = 503


class _StepModel(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)
    count: Annotated[int, Field(ge=1, le=MAX_JOB_TASKS)] = 1
    # thousandths of a core
    cpu: Amount = 0
    memory_mb: Amount = Field(0, alias="memMb")
    # accelerators
    gpu: Amount = 0
    estimate_ms: Amount = Field(0, alias="estimateMs")
    # indices of the steps that must be completed first
    needs: Annotated[tuple[Amount, ...], FailFast()] = Field((), alias="dependsOn")
    gang: bool = False
    one_rack: bool = Field(False, alias="sameRack")
    # label that the minion must have
    label: str = Field("", alias="requirements")
    # rack that holds the data
    rack: str = Field("", alias="affinity")
    # maximum number of tasks of the step on one minion; 0 for no limit
    most_per_minion: Amount = Field(0, alias="antiAffinity")
    # whether the tasks checkpoint their progress
    saves: bool = Field(False, alias="checkpointing")
    # whether the tasks run until their job is cancelled
    lasts: bool = Field(False, alias="longRunning")
    # whether the tasks use only spare capacity; ignored
    fills: bool = False
    # number of times that the steps run, on a schedule
    occurrences: int = Field(0, alias="repeatCount")


class _JobModel(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)
    spec: str = ""
    # an error costs many times the bytes of a step, so validation ends at the first;
    # each step has at least one task
    steps: Annotated[
        tuple[_StepModel, ...],
        Field(max_length=MAX_JOB_TASKS),
        FailFast(),
    ]
    occurrences: int = Field(0, alias="repeatCount")


def _make_step(model: _StepModel) -> StepSpec:
    return StepSpec(
        count=model.count,
        cpu_millis=model.cpu,
        memory_mb=model.memory_mb,
        accelerators=model.gpu,
        estimate_ms=model.estimate_ms,
        needs=model.needs,
        gang=model.gang,
        one_rack=model.one_rack,
        label=model.label,
        rack=model.rack,
        most_per_minion=model.most_per_minion,
        saves=model.saves,
    )


@submission_decoders.register(CALLERS_SURFACE)
def decode_job(body: bytes) -> Result[SubmittedJob, str]:
    """Return the job in the body of a submission, or why the body is invalid."""
    decoded = decode(_JobModel, body, "caller")
    if decoded.is_error():
        return Error(decoded.error.reason)
    model = decoded.ok
    if not model.steps:
        return Error("steps: there are none")
    if sum(step.count for step in model.steps) > MAX_JOB_TASKS:
        return Error(f"steps: more than {MAX_JOB_TASKS} tasks")
    for part in (model, *model.steps):
        if part.occurrences or getattr(part, "lasts", False):
            return Error("occurrences and lasting tasks are not served")
    for index, step in enumerate(model.steps):
        if any(needed >= index for needed in step.needs):
            return Error(f"steps.{index}.dependsOn: names no earlier step")
    return Ok(SubmittedJob(model.spec, tuple(_make_step(step) for step in model.steps)))


def _parse_timeout(text: str) -> int:
    """Return the time for which a caller waits, in ms."""
    is_number = text.isdecimal() and len(text) <= MAX_TIMEOUT_DIGITS
    return int(text) if is_number else DEFAULT_TIMEOUT_MS


@surfaces.register(CALLERS_SURFACE)
def serve_caller(context: BatchContext, request: Request) -> None:
    """Deliver a caller's request to the systems."""
    method = request.method.decode("ascii", "replace")
    if method not in CALL_KINDS:
        answer(request, STATUS_METHOD_NOT_ALLOWED)
        return
    kind = CALL_KINDS[method]
    job, body_error = None, ""
    if kind is CallKind.SUBMIT:
        parsed = decode_job(request.content.read())
        job = parsed.default_value(None)
        body_error = parsed.error if parsed.is_error() else ""
    authorization = request.getHeader("authorization") or ""
    context.deliver(
        CallerCall(
            open_exchange(context, request),
            kind,
            request.getHeader("host") or "",
            request.path.decode("utf-8", "replace"),
            authorization.removeprefix(BEARER_PREFIX),
            context.world.clock.now_ms(),
            _parse_timeout(request.getHeader("deadline-ms") or ""),
            job,
            body_error,
        )
    )


@batch_senders.register(CallReply)
def send_call_reply(context: BatchContext, reply: CallReply) -> None:
    """Answer a caller's request, unless its connection is closed."""
    request = context.exchanges.pop(reply.exchange_id, None)
    if request is None:
        return
    body: dict[str, str | int] = {}
    if reply.state is not None:
        body["state"] = reply.state.value
    if reply.waiting is not None:
        body["pending"] = reply.waiting
    if reply.reason:
        body["error"] = reply.reason
    retry_after_s = -(-reply.retry_after_ms // MS_PER_SECOND)  # rounded up
    if context.world.stopping:
        # the port closes soon, so the caller must not reuse the connection
        request.setHeader(b"connection", b"close")
    answer(
        request,
        OUTCOME_STATUSES[reply.outcome],
        json.dumps(body).encode(),
        retry_after_s,
    )


@surfaces.register("readiness")
def serve_readiness(context: BatchContext, request: Request) -> None:
    """Report whether the balancer may send callers to this entry."""
    if request.path.decode("ascii", "replace") != READY_PATH:
        answer(request, STATUS_NOT_FOUND)
        return
    world = context.world
    now_ms = world.clock.now_ms()
    is_ready = (
        not world.stopping
        and world.agreed.configuration is not None
        and is_fresh(world, Stream.JOBS, now_ms)
        and is_fresh(world, Stream.OPERATORS, now_ms)
    )
    answer(request, STATUS_OK if is_ready else STATUS_UNAVAILABLE)
