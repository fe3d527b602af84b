"""Messages of operators to the administration API."""

from typing import Annotated

from pydantic import Field

from kingcuppost.models.base import BorderModel
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.record import (
    ANY_OFFSET,
    JobCancel,
    JobSubmit,
    SettingPut,
    TeamPut,
    ZonePut,
)
from kingcuppost.tables.team import Shape

__all__ = [
    "CancelModel",
    "JobModel",
    "ServiceModel",
    "SettingModel",
    "ShapeModel",
    "TeamModel",
    "ZoneModel",
]

MAX_NAME_LENGTH = 63  # characters
MAX_PAYLOAD_LENGTH = 65_536  # characters
MAX_GUARANTEES = 32
MAX_MEMBERS = 1_024
MAX_ACCELERATORS = 64
MAX_CORES = 4_096
MAX_MEMORY_MB = 16_777_216  # 16 TiB
MAX_RUN_MS = 31_536_000_000  # 365 days
MAX_PATH_LENGTH = 256  # characters
MAX_KEY_LENGTH = 128  # characters
MAX_SETTING_TEXT_LENGTH = 256  # characters
MAX_REASON_LENGTH = 256  # characters
MAX_EXACT_NUMBER = 2**53  # integers up to this are exact in a 64-bit float

WholeNumber = Annotated[int, Field(ge=-MAX_EXACT_NUMBER, le=MAX_EXACT_NUMBER)]
RealNumber = Annotated[
    float, Field(ge=-MAX_EXACT_NUMBER, le=MAX_EXACT_NUMBER, allow_inf_nan=False)
]
SettingText = Annotated[str, Field(max_length=MAX_SETTING_TEXT_LENGTH)]


class OperatorModel(BorderModel):
    """Base class of changes, with the name of the operator who makes the change."""

    operator: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)


class ShapeModel(BorderModel):
    """A guaranteed gang shape, and how many gangs of it are guaranteed."""

    members: int = Field(ge=1, le=MAX_MEMBERS)
    accelerators: int = Field(ge=1, le=MAX_ACCELERATORS)
    count: int = Field(default=1, ge=1, le=MAX_MEMBERS)


class TeamModel(OperatorModel):
    """Create or change a team; with `base_offset` 0, only create it."""

    guarantees: list[ShapeModel] = Field(default=[], max_length=MAX_GUARANTEES)
    accelerator_limit: int = Field(default=0, ge=0)
    base_offset: int = Field(default=ANY_OFFSET, ge=ANY_OFFSET)

    def to_body(self, name: str) -> TeamPut:
        """Return the body of the record."""
        shapes = tuple(
            Shape(item.members, item.accelerators, item.count)
            for item in self.guarantees
        )
        return TeamPut(name, shapes, self.accelerator_limit, self.base_offset)


class ZoneModel(OperatorModel):
    """Create an availability zone, or take it into or out of service."""

    region: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    in_service: bool
    base_offset: int = Field(default=ANY_OFFSET, ge=ANY_OFFSET)

    def to_body(self, name: str) -> ZonePut:
        """Return the body of the record."""
        return ZonePut(name, self.region, self.in_service, self.base_offset)


class ServiceModel(OperatorModel):
    """Take an existing availability zone into or out of service."""

    in_service: bool
    base_offset: int = Field(default=ANY_OFFSET, ge=ANY_OFFSET)

    def to_body(self, name: str) -> ZonePut:
        """Return the body of the record; the entry fills in the region."""
        return ZonePut(name, "", self.in_service, self.base_offset)


class SettingModel(OperatorModel):
    """Set a key on a branch of the settings tree; null restores inheritance."""

    path: str = Field(default="", max_length=MAX_PATH_LENGTH)
    key: str = Field(min_length=1, max_length=MAX_KEY_LENGTH)
    value: bool | WholeNumber | RealNumber | SettingText | None
    base_offset: int = Field(default=ANY_OFFSET, ge=ANY_OFFSET)

    def to_body(self) -> SettingPut:
        """Return the body of the record."""
        return SettingPut(self.path, self.key, self.value, self.base_offset)


class JobModel(OperatorModel):
    """Submit a job; a name is generated if `name` is empty."""

    name: str = Field(default="", max_length=MAX_NAME_LENGTH, pattern=r"^[a-z0-9_.-]*$")
    team: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    members: int = Field(default=1, ge=1, le=MAX_MEMBERS)
    accelerators: int = Field(default=0, ge=0, le=MAX_ACCELERATORS)
    cores: int = Field(default=1, ge=0, le=MAX_CORES)
    memory_mb: int = Field(default=0, ge=0, le=MAX_MEMORY_MB)
    urgency: Urgency = Urgency.OVERNIGHT
    declared_ms: int = Field(default=0, ge=0, le=MAX_RUN_MS)
    payload: str = Field(default="", max_length=MAX_PAYLOAD_LENGTH)

    def to_body(self) -> JobSubmit:
        """Return the body of the record."""
        return JobSubmit(
            self.name,
            self.team,
            self.members,
            self.accelerators,
            self.cores,
            self.memory_mb,
            self.urgency,
            self.declared_ms,
            self.payload,
        )


class CancelModel(OperatorModel):
    """Cancel a job."""

    reason: str = Field(default="cancelled by operator", max_length=MAX_REASON_LENGTH)

    def to_body(self, job: str) -> JobCancel:
        """Return the body of the record."""
        return JobCancel(job, self.reason)
