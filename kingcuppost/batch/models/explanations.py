"""Encoding of requests to explain a placement, and of their answers, as JSON."""

from typing import Annotated

from expression import Result
from pydantic import BeforeValidator, ConfigDict

from kingcuppost.batch.models.sync import PeerModel
from kingcuppost.batch.tables.decision import Timeliness
from kingcuppost.batch.tables.messages import ExplainOutcome, ExplainReply
from kingcuppost.batch.tables.waiting import WaitReason
from kingcuppost.exception import Failure
from kingcuppost.models.base import decode

__all__ = [
    "ExplainCallModel",
    "ExplainReplyModel",
    "decode_explain_call",
    "decode_explain_reply",
    "encode_explain_reply",
]


class ExplainCallModel(PeerModel):
    """Request to explain where a job would be placed.

    `submission` is the body with which callers submit the job.
    """

    queue: str
    team: str = ""
    submission: str


class RowModel(PeerModel):
    """Part of an explanation, made from a row with the same attributes."""

    model_config = ConfigDict(
        extra="ignore", frozen=True, defer_build=True, from_attributes=True
    )


class ChosenMinionModel(RowModel):
    """A minion that would be given tasks."""

    minion: str
    rack: str
    availability_zone: str
    tasks: int
    speed: float
    is_slow: bool


class PreemptedRunModel(RowModel):
    """A run that would be stopped."""

    task: Annotated[str, BeforeValidator(str)]
    run: int
    minion: str
    rank: int
    stopped: int
    lost_core_s: float


class StepExplanationModel(RowModel):
    """What a decision would do with a step."""

    step: int
    tasks: int
    needs: tuple[int, ...] = ()
    eligible: int = 0
    fits_idle: bool = True
    chosen: tuple[ChosenMinionModel, ...] = ()
    preempted: tuple[PreemptedRunModel, ...] = ()
    waiting: int = 0
    reason: WaitReason | None = None
    expected_ms: int | None = None
    retry_ms: int | None = None


class ExplanationModel(RowModel):
    """What a decision would do with a job."""

    rank: int
    timeliness: Timeliness
    minions: int
    usable: int
    waiting_steps: int
    is_decision_due: bool
    are_reservations_whole: bool = True
    steps: tuple[StepExplanationModel, ...]


class ExplainReplyModel(PeerModel):
    """Answer to a request; `holder` is the address of the entry to ask instead."""

    outcome: ExplainOutcome
    reason: str = ""
    holder: str = ""
    explanation: ExplanationModel | None = None


def decode_explain_call(body: bytes, peer: str) -> Result[ExplainCallModel, Failure]:
    """Return a decoded request, or why it is invalid."""
    return decode(ExplainCallModel, body, peer)


def decode_explain_reply(body: bytes, peer: str) -> Result[ExplainReplyModel, Failure]:
    """Return a decoded answer, or why it is invalid."""
    return decode(ExplainReplyModel, body, peer)


def encode_explain_reply(reply: ExplainReply) -> bytes:
    """Return an answer as JSON."""
    explanation = None
    if reply.explanation is not None:
        explanation = ExplanationModel.model_validate(reply.explanation)
    return (
        ExplainReplyModel(
            outcome=reply.outcome,
            reason=reply.reason,
            holder=str(reply.holder or ""),
            explanation=explanation,
        )
        .model_dump_json()
        .encode()
    )
