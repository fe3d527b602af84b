"""Messages of requests to explain a placement, and their answers."""

from dataclasses import dataclass
from enum import StrEnum

from kingcuppost.batch.tables.explanation import PlacementExplanation
from kingcuppost.batch.tables.messages.calls import SubmittedJob
from kingcuppost.tables.config import Address

__all__ = ["ExplainCall", "ExplainOutcome", "ExplainReply"]


@dataclass(frozen=True, slots=True)
class ExplainCall:
    """A request to explain where a job would be placed.

    Attributes
    ----------
    exchange_id : str
        Identifier of the open HTTP exchange.
    queue, team : str
        Queue to which the job would be submitted, and team that it would belong to;
        an empty team has no guarantee.
    job : SubmittedJob
        The job.
    """

    exchange_id: str
    queue: str
    team: str
    job: SubmittedJob


class ExplainOutcome(StrEnum):
    """Outcome of a request to explain a placement.

    Attributes
    ----------
    EXPLAINED
        The reply has the explanation.
    REDIRECTED
        Another entry holds the lease; the reply has its address.
    BAD
        The request is invalid.
    NOT_NOW
        Nothing can be explained now.
    """

    EXPLAINED = "explained"
    REDIRECTED = "redirected"
    BAD = "bad"
    NOT_NOW = "not now"


@dataclass(frozen=True, slots=True)
class ExplainReply:
    """Answer to a request to explain a placement.

    Attributes
    ----------
    exchange_id : str
        Identifier of the open HTTP exchange.
    outcome : ExplainOutcome
        Outcome of the request.
    reason : str
        Why there is no explanation; empty for none.
    holder : Address or None
        Address of the holder of the lease, if that is another entry.
    explanation : PlacementExplanation or None
        The explanation.
    """

    exchange_id: str
    outcome: ExplainOutcome
    reason: str = ""
    holder: Address | None = None
    explanation: PlacementExplanation | None = None
