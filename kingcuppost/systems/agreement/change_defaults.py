"""Default values for the fields that operators leave out of a change."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from kingcuppost.tables.record import (
    ANY_OFFSET,
    JobSubmit,
    RecordBody,
    SettingPut,
    TeamPut,
    ZonePut,
)
from kingcuppost.tables.setting import setting_id
from kingcuppost.tables.world import World
from kingcuppost.utils.identifiers import new_identifier
from kingcuppost.utils.registry import Registry

__all__ = ["fill_in_defaults"]

default_fillers: Registry[type, Callable[[World, Any], RecordBody]] = Registry(
    "default filler"
)


def fill_in_defaults(world: World, body: RecordBody) -> RecordBody:
    """Return a record body with omitted names and base offsets filled in.

    The defaults come from this process's view of the agreed tables.
    """
    if type(body) not in default_fillers:
        return body
    return default_fillers[type(body)](world, body)


def _base_offset_of(row: Any, base_offset: int) -> int:
    """Return the given base offset; if omitted, that of the row, or 0 without a row."""
    if base_offset != ANY_OFFSET:
        return base_offset
    return row.offset if row is not None else 0


@default_fillers.register(JobSubmit)
def fill_in_job(world: World, body: JobSubmit) -> JobSubmit:
    """Generate a name for a job that has none."""
    if body.job:
        return body
    return replace(body, job=new_identifier(world.rng, "job"))


@default_fillers.register(TeamPut)
def fill_in_team(world: World, body: TeamPut) -> TeamPut:
    """Take an omitted base offset from the team's agreed row."""
    row = world.agreed.teams.get(body.name)
    return replace(body, base_offset=_base_offset_of(row, body.base_offset))


@default_fillers.register(ZonePut)
def fill_in_zone(world: World, body: ZonePut) -> ZonePut:
    """Take an omitted region or base offset from the zone's agreed row."""
    row = world.agreed.availability_zones.get(body.name)
    region = body.region or (row.region if row is not None else "")
    return replace(
        body, region=region, base_offset=_base_offset_of(row, body.base_offset)
    )


@default_fillers.register(SettingPut)
def fill_in_setting(world: World, body: SettingPut) -> SettingPut:
    """Take an omitted base offset from the setting's agreed row."""
    row = world.agreed.settings.get(setting_id(body.path, body.key))
    return replace(body, base_offset=_base_offset_of(row, body.base_offset))
