"""Limits on clients in a settings file."""

from pydantic import Field

from kingcuppost.models.base import BorderModel
from kingcuppost.systems.connections import MAX_FDS, MEMORY_MB, derive_limits
from kingcuppost.tables.connections import ClientLimits

__all__ = ["ClientLimitsModel", "LimitsModel"]

MACHINE_FIELDS = {"memory_mb", "max_fds"}


class ClientLimitsModel(BorderModel):
    """Limits that replace the derived ones; documented at `ClientLimits`.

    The minimums leave room for one request that a conforming client may send.
    """

    held_bytes: int | None = Field(None, ge=524_288)
    connections: int | None = Field(None, ge=16)
    body_bytes: int | None = Field(None, ge=262_144)
    body_chunks: int | None = Field(None, ge=16)
    body_fields: int | None = Field(None, ge=1_024)
    head_fields: int | None = Field(None, ge=16)
    head_ms: int | None = Field(None, ge=3_000)
    body_ms: int | None = Field(None, ge=1_000)
    unread_ms: int | None = Field(None, ge=1_000)


class LimitsModel(ClientLimitsModel):
    """Size of the machine, and limits that replace those derived from it."""

    memory_mb: int = Field(MEMORY_MB, ge=1)
    max_fds: int = Field(MAX_FDS, ge=1)

    def to_limits(self) -> ClientLimits:
        """Return the limits that hold."""
        overrides = self.model_dump(exclude=MACHINE_FIELDS)
        return derive_limits(self.memory_mb, self.max_fds, overrides)
