"""Messages of callers."""

from pydantic import Field

from kingcuppost.models.base import BorderModel
from kingcuppost.tables.inbox import CallerRequest
from kingcuppost.tables.job import Urgency

__all__ = ["RequestModel"]

MAX_NAME_LENGTH = 63
MAX_KEY_LENGTH = 128
MAX_BODY_LENGTH = 262_144
MAX_TIMEOUT_MS = 600_000
MAX_ISSUED_MS = 2**53


class RequestModel(BorderModel):
    """A request to a service.

    Attributes
    ----------
    team, service : str
        Who asks, and which service is asked.
    body : str
        What the minion is given.
    urgency : Urgency
        Whether somebody waits.
    idempotent : bool
        False for a request that runs at most once; it carries a key.
    key : str
        Names a non-idempotent request among those of its team.
    issued_ms : int
        When the caller made the key, Unix ms; the same in every retry. A key that
        is no younger than one that was forgotten is answered "unknown" and not
        run.
    timeout_ms : int
        Time within which the answer is of use, in ms; 0 for the team's setting.
    """

    team: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    service: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    body: str = Field(default="", max_length=MAX_BODY_LENGTH)
    urgency: Urgency = Urgency.INTERACTIVE
    idempotent: bool = True
    key: str = Field(default="", max_length=MAX_KEY_LENGTH)
    issued_ms: int = Field(default=0, ge=0, le=MAX_ISSUED_MS)
    timeout_ms: int = Field(default=0, ge=0, le=MAX_TIMEOUT_MS)

    def check_fields(self) -> str:
        """Return why fields do not fit together; empty if they do."""
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
