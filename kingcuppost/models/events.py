"""Events of other processes, as the operators' command line reads them."""

from pydantic import BaseModel, ConfigDict, Field

from kingcuppost.tables.event import Event

__all__ = ["EventListModel", "EventModel"]


class EventModel(BaseModel):
    """An event; unknown fields of newer processes are ignored."""

    model_config = ConfigDict(extra="ignore", defer_build=True)

    wall_ms: int
    process: str
    incarnation: str
    sequence: int
    step: str
    text: str
    peer: str = ""
    request: str = ""
    job: str = ""
    team: str = ""
    availability_zone: str = ""
    offset: int = Field(default=0, ge=0)
    sends: str = ""
    receives: str = ""

    def to_event(self) -> Event:
        """Return the event as a data class."""
        return Event(**dict(self))


class EventListModel(BaseModel):
    """The events that a process has kept."""

    model_config = ConfigDict(extra="ignore", defer_build=True)

    events: list[EventModel]
