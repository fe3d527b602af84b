"""Events of the time line."""

from dataclasses import dataclass

__all__ = ["Event"]


@dataclass(frozen=True, slots=True)
class Event:
    """An event in one process.

    Attributes
    ----------
    wall_ms : int
        Time of the process's clock, Unix ms.
    process, incarnation : str
        Name and incarnation of the process.
    sequence : int
        Number of the event in its process, from 1.
    step : str
        Step that the process took, such as ``"gang.broken"``.
    text : str
        Description in one short sentence.
    peer, request, job, team, availability_zone : str
        Subjects of the event; empty where none applies.
    offset : int
        Log offset that the event concerns, else the folded offset at the time.
    sends : str
        Identifier of the message or record that the event sends.
    receives : str
        Identifier of the message or record that caused the event.
    """

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
    offset: int = 0
    sends: str = ""
    receives: str = ""
