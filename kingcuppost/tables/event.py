"""Events for the time line."""

from dataclasses import dataclass

__all__ = ["Event"]


@dataclass(frozen=True, slots=True)
class Event:
    """One thing that happened in one process.

    Attributes
    ----------
    wall_ms : int
        The process's time, Unix ms.
    process, incarnation : str
        Where it happened.
    sequence : int
        Number of the event in its process, from 1.
    step : str
        What was being done, such as ``"gang.release"``.
    text : str
        A short sentence.
    peer, request, job, team, availability_zone : str
        What it concerns; empty where nothing applies.
    offset : int
        Log offset folded or concerned at the time.
    sends : str
        Identifier of the message or record that leaves with the event.
    receives : str
        Identifier of the message or record that the event follows from.
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
