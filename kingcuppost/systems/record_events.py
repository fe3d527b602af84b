"""Events about records that are proposed or folded."""

from kingcuppost.systems.events import note
from kingcuppost.tables.record import Record, SettingPut, TeamPut, ZonePut
from kingcuppost.tables.world import World

__all__ = ["note_proposal", "note_record", "subjects_of"]


def subjects_of(record: Record) -> dict[str, str]:
    """Return the subjects of a record, as keyword arguments of `note`.

    Examples
    --------
    >>> from kingcuppost.tables.record import JobCancel
    >>> subjects_of(Record("rec-1", "ana", 0, JobCancel("job-7", "too late")))["job"]
    'job-7'
    """
    body = record.body
    name = getattr(body, "name", "") or getattr(body, "holder", "")
    is_team = isinstance(body, TeamPut)
    is_zone = isinstance(body, ZonePut)
    return {
        "peer": "" if is_team or is_zone else name,
        "request": getattr(body, "key", "") if not isinstance(body, SettingPut) else "",
        "job": getattr(body, "job", ""),
        "team": name if is_team else getattr(body, "team", ""),
        "availability_zone": name
        if is_zone
        else getattr(body, "availability_zone", ""),
    }


def _description_of(record: Record) -> str:
    """Return a short description of a record."""
    body = record.body
    if isinstance(body, SettingPut):
        return f"{body.key} = {body.value} on {body.path or 'root'}"
    if isinstance(body, ZonePut):
        return f"{body.name} {'in' if body.in_service else 'out of'} service"
    reason = getattr(body, "reason", "")
    return f"{body.kind}{': ' + reason if reason else ''}"


def note_proposal(world: World, record: Record) -> None:
    """Add the event that this process has proposed a record."""
    note(
        world,
        f"propose.{record.body.kind}",
        f"Proposed for {record.author}: {_description_of(record)}.",
        sends=record.record_id,
        **subjects_of(record),
    )


def note_record(world: World, record: Record, offset: int, rejection: str) -> None:
    """Add the event that this process has folded a record.

    Parameters
    ----------
    world : World
        Tables of the process.
    record : Record
        The record.
    offset : int
        Log offset of the record.
    rejection : str
        Why the record has no effect; empty if it was applied.
    """
    _tally_record(world, record, rejection)
    result = f"rejected ({rejection})" if rejection else "applied"
    note(
        world,
        f"fold.{record.body.kind}",
        f"Record of {record.author} {result}: {_description_of(record)}.",
        offset=offset,
        receives=record.record_id,
        **subjects_of(record),
    )


def _tally_record(world: World, record: Record, rejection: str) -> None:
    """Count a record; for a configuration change, also observe its delay.

    The delay runs from the proposal to the fold in this process. Records from before
    the process caught up are not observed; a negative delay, which a difference of
    clocks can cause, counts as 0.
    """
    world.tally.add("records_folded", "rejected" if rejection else "applied")
    is_config = isinstance(record.body, SettingPut | TeamPut | ZonePut)
    if is_config and not rejection and world.log_view.caught_up:
        took_ms = max(0, world.clock.wall_ms() - record.wall_ms)
        world.tally.observe("config_apply", took_ms)
