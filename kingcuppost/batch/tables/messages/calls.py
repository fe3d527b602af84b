"""Messages of callers' calls and their answers."""

from dataclasses import dataclass
from enum import StrEnum

from kingcuppost.batch.tables.job import JobState, StepSpec

__all__ = [
    "CallKind",
    "CallOutcome",
    "CallReply",
    "CallerCall",
    "SubmittedJob",
]


class CallKind(StrEnum):
    """Kind of a caller's request."""

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
    """A caller's request.

    Attributes
    ----------
    exchange_id : str
        Identifier of the open HTTP exchange.
    kind : CallKind
        Kind of the request; a `STATE` request whose path has no job identifier requests
        the number of waiting jobs.
    host, path, key : str
        Host and path of the request, and the caller's key; empty for none.
    received_ms : int
        Time at which it was received.
    timeout_ms : int
        Time for which the caller waits.
    job : SubmittedJob or None
        Body of a submission.
    body_error : str
        Why the body is invalid; empty if it is valid.
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
    """Outcome of a caller's call.

    Attributes
    ----------
    OK
        The call was carried out.
    BAD
        The request is invalid.
    NO_KEY, NO_QUEUE, NO_JOB
        The caller's key, the queue or the job is unknown.
    NOT_RUN
        The call was certainly not carried out and may be repeated.
    UNKNOWN
        The call may have been carried out.
    """

    OK = "ok"
    BAD = "bad"
    NO_KEY = "no key"
    NO_QUEUE = "no queue"
    NO_JOB = "no job"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CallReply:
    """Answer to a caller's call.

    Attributes
    ----------
    exchange_id : str
        Identifier of the open HTTP exchange.
    verdict : CallOutcome
        Outcome of the call.
    state : JobState or None
        State of the job, if it was requested.
    waiting : int or None
        Number of waiting jobs in the queue, if it was requested.
    retry_after_ms : int
        Time after which the caller should repeat the call; 0 for none.
    reason : str
        Why the call was not carried out; empty for none.
    """

    exchange_id: str
    verdict: CallOutcome
    state: JobState | None = None
    waiting: int | None = None
    retry_after_ms: int = 0
    reason: str = ""
