"""Calls of callers, and the answers to them."""

from dataclasses import dataclass
from enum import StrEnum

from kingcuppost.batch.tables.job import JobState, StepSpec

__all__ = [
    "CallKind",
    "CallReply",
    "CallerCall",
    "SubmittedJob",
    "CallOutcome",
]


class CallKind(StrEnum):
    """What a caller asks for."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"


@dataclass(frozen=True, slots=True)
class SubmittedJob:
    """Body of a submission."""

    spec: str
    steps: tuple[StepSpec, ...]


@dataclass(frozen=True, slots=True)
class CallerCall:
    """A caller's call.

    Attributes
    ----------
    exchange_id : str
        Names the open exchange.
    kind : CallKind
        What is asked for; a state without an identifier asks for a count.
    host, path, key : str
        Where it was sent, and the caller's key, empty for none.
    received_ms : int
        When it was read.
    timeout_ms : int
        How long the caller waits.
    job : SubmittedJob or None
        Body of a submission.
    body_error : str
        Why the body could not be read; empty if it could.
    """

    exchange_id: str
    kind: CallKind
    host: str
    path: str
    key: str
    received_ms: int
    timeout_ms: int
    job: SubmittedJob | None = None
    body_error: str = ""


class CallOutcome(StrEnum):
    """Answer to a caller."""

    OK = "ok"
    BAD = "bad"
    NO_KEY = "no key"
    NO_QUEUE = "no queue"
    NO_JOB = "no job"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CallReply:
    """Answer to a caller's call."""

    exchange_id: str
    verdict: CallOutcome
    state: JobState | None = None
    waiting: int | None = None
    retry_after_ms: int = 0
    reason: str = ""
