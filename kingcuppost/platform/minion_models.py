"""What the minion beside a sidecar and the sidecar send each other, as models."""

from pydantic import BaseModel, ConfigDict

__all__ = ["INSTANCE_HEADER", "MAX_REASON_BYTES", "STATUS_OK", "PlatformModel"]

INSTANCE_HEADER = "Expect-Instance"
MAX_REASON_BYTES = 100
STATUS_OK = 200


class PlatformModel(BaseModel):
    """A message of the minion, or a part of it; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)
