"""Messages of callers."""

from pydantic import Field

from kingcuppost.models.base import BorderModel
from kingcuppost.tables.inbox import CallerRequest
from kingcuppost.tables.job import Urgency

__all__ = ["RequestModel"]

MAX_NAME_LENGTH = 63  # characters
MAX_KEY_LENGTH = 128  # characters
MAX_BODY_LENGTH = 262_144  # characters
MAX_TIMEOUT_MS = 600_000
MAX_ISSUED_MS = 2**53  # integers up to this are exact in a 64-bit float


class RequestModel(BorderModel):
    """A request to a service.

    Attributes
    ----------
    team, service : str
        Team of the caller, and the service that answers.
    body : str
        Input that is passed to the minion.
    urgency : Urgency
        Whether a person waits for the answer.
    idempotent : bool
        False for a request that must run at most once; it needs a key.
    key : str
        Identifies a non-idempotent request within its team.
    issued_ms : int
        When the caller created the key, Unix ms; the same in every retry. A request
        whose key was not created after the newest evicted key may have run before, so
        it is answered "unknown" and does not run.
    timeout_ms : int
        Time within which the answer is useful, in ms; 0 for the team's setting.
    """

    team: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    service: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    body: str = Field(default="", max_length=MAX_BODY_LENGTH)
    urgency: Urgency = Urgency.INTERACTIVE
    idempotent: bool = True
    key: str = Field(default="", max_length=MAX_KEY_LENGTH)
    issued_ms: int = Field(default=0, ge=0, le=MAX_ISSUED_MS)
    timeout_ms: int = Field(default=0, ge=0, le=MAX_TIMEOUT_MS)

    def find_field_error(self) -> str:
        """Return why the fields contradict each other; empty if they do not."""
        if not self.idempotent and not self.key:
            return "key: a non-idempotent request carries a key"
        if self.key and not self.issued_ms:
            return "issued_ms: a key says when it was made"
        if self.idempotent and self.key:
            return "key: only a non-idempotent request carries a key"
        return ""

    def to_message(self, exchange_id: str) -> CallerRequest:
        """Return the inbox message."""
        return CallerRequest(
            exchange_id,
            self.team,
            self.service,
            self.body,
            self.urgency,
            self.key,
            self.timeout_ms,
            self.issued_ms,
        )
