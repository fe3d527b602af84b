"""Write events to the time line."""

from kingcuppost.tables.event import Event
from kingcuppost.tables.world import World

__all__ = ["answer_id", "note"]


def answer_id(attempt_id: str) -> str:
    """Return the identifier by which events refer to the answer to an attempt.

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
    """Add an event to this process's time line, and count it.

    Parameters
    ----------
    world : World
        Tables of the process.
    step : str
        Step that the process took, such as ``"gang.broken"``; the part before the
        dot is the prefix of the log line.
    text : str
        Description in one short sentence.
    peer, request, job, team, availability_zone : str
        Subjects of the event; empty where none applies.
    offset : int
        Log offset that the event concerns; the folded offset if 0.
    sends, receives : str
        Identifiers of the message or record that the event sends, and of the one
        that caused it.
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
