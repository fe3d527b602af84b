"""Events about records: proposed by one process, folded by all."""

from kingcuppost.systems.events import note
from kingcuppost.tables.record import Record, SettingPut, TeamPut, ZonePut
from kingcuppost.tables.world import World

__all__ = ["note_proposal", "note_record", "subjects_of"]


def subjects_of(record: Record) -> dict[str, str]:
    """Return what a record concerns, as keyword arguments of `note`.

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


def _text_of(record: Record) -> str:
    """Return what a record says, in a few words."""
    body = record.body
    if isinstance(body, SettingPut):
        return f"{body.key} = {body.value} on {body.path or 'root'}"
    if isinstance(body, ZonePut):
        return f"{body.name} {'in' if body.in_service else 'out of'} service"
    reason = getattr(body, "reason", "")
    return f"{body.kind}{': ' + reason if reason else ''}"


def note_proposal(world: World, record: Record) -> None:
    """Note that this process wants a record in the log."""
    note(
        world,
        f"propose.{record.body.kind}",
        f"Proposed for {record.author}: {_text_of(record)}.",
        sends=record.record_id,
        **subjects_of(record),
    )


def note_record(world: World, record: Record, offset: int, fault: str) -> None:
    """Note that this process has folded a record.

    Parameters
    ----------
    world : World
        Tables of the process.
    record : Record
        The record.
    offset : int
        Its log offset.
    fault : str
        Why it has no effect; empty if it was applied.
    """
    _tally_record(world, record, fault)
    result = f"rejected, {fault}" if fault else "applied"
    note(
        world,
        f"fold.{record.body.kind}",
        f"Record of {record.author} {result}: {_text_of(record)}.",
        offset=offset,
        receives=record.record_id,
        **subjects_of(record),
    )


def _tally_record(world: World, record: Record, fault: str) -> None:
    """Count a record; of a change, also how long it took to be in force here.

    Records from before the start are left out, and clocks that differ count as 0.
    """
    world.tally.add("records_folded", "rejected" if fault else "applied")
    is_config = isinstance(record.body, SettingPut | TeamPut | ZonePut)
    if is_config and not fault and world.log_view.caught_up:
        took_ms = max(0, world.clock.wall_ms() - record.wall_ms)
        world.tally.observe("config_apply", took_ms)
