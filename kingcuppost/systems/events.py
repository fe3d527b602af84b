"""Writing events for the time line."""

from kingcuppost.tables.event import Event
from kingcuppost.tables.world import World

__all__ = ["answer_id", "note"]


def answer_id(attempt_id: str) -> str:
    """Return the identifier of the answer to an attempt, for the time line.

    Examples
    --------
    >>> answer_id("att-1")
    'att-1/answer'
    """
    return f"{attempt_id}/answer"


def note(
    world: World,
    step: str,
    text: str,
    *,
    peer: str = "",
    request: str = "",
    job: str = "",
    team: str = "",
    availability_zone: str = "",
    offset: int = 0,
    sends: str = "",
    receives: str = "",
) -> None:
    """Add an event to the process's part of the time line.

    Parameters
    ----------
    world : World
        Tables of the process.
    step : str
        What was being done, such as ``"gang.release"``; the part before the dot
        is the prefix of the log line.
    text : str
        A short sentence.
    peer, request, job, team, availability_zone : str
        What it concerns.
    offset : int
        Log offset concerned; the folded offset if 0.
    sends, receives : str
        Message or record that leaves with the event, or that it follows from.
    """
    world.event_count += 1
    world.tally.add("events", step)
    world.events.append(
        Event(
            world.clock.wall_ms(),
            world.identity.name,
            world.identity.incarnation,
            world.event_count,
            step,
            text,
            peer,
            request,
            job,
            team,
            availability_zone,
            offset or world.log_view.folded_offset,
            sends,
            receives,
        )
    )
