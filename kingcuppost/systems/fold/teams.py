"""Records about teams, availability zones and settings."""

import re

from kingcuppost.settings import KEYS, check_path
from kingcuppost.systems.fold.record_rules import (
    FoldInput,
    Rejection,
    appliers,
    checkers,
)
from kingcuppost.tables.fleet import AvailabilityZone
from kingcuppost.tables.record import SettingPut, TeamPut, ZonePut
from kingcuppost.tables.setting import Setting, setting_id
from kingcuppost.tables.team import Shape, Team
from kingcuppost.tables.world import Agreed

__all__: list[str] = []

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9_.-]{0,62}")
MAX_MEMBERS = 1_024
MAX_ACCELERATORS_PER_MEMBER = 64


def _check_base_offset(
    subject: str, row_offset: int, base_offset: int
) -> Rejection | None:
    if row_offset == base_offset:
        return None
    return Rejection(
        f"{subject} was changed at offset {row_offset}, not {base_offset}",
        is_conflict=True,
    )


def _shape_error(shape: Shape) -> str:
    if not 1 <= shape.members <= MAX_MEMBERS:
        return f"a shape has 1 to {MAX_MEMBERS} members, not {shape.members}"
    if not 1 <= shape.accelerators <= MAX_ACCELERATORS_PER_MEMBER:
        return (
            f"a member has 1 to {MAX_ACCELERATORS_PER_MEMBER} accelerators, "
            f"not {shape.accelerators}"
        )
    if shape.count < 1:
        return f"a guarantee's count is at least 1, not {shape.count}"
    return ""


@checkers.register(TeamPut)
def check_team(agreed: Agreed, body: TeamPut) -> Rejection | None:
    """Reject invalid names and shapes, and changes based on an outdated row."""
    if not NAME_PATTERN.fullmatch(body.name):
        return Rejection(f"{body.name!r} is no name for a team")
    for shape in body.guarantees:
        if reason := _shape_error(shape):
            return Rejection(reason)
    row = agreed.teams.get(body.name)
    return _check_base_offset(
        f"team {body.name}", row.offset if row else 0, body.base_offset
    )


@appliers.register(TeamPut)
def apply_team(agreed: Agreed, body: TeamPut, fold_input: FoldInput) -> None:
    """Create or replace the team's row."""
    agreed.teams.put(
        Team(
            body.name,
            body.guarantees,
            body.accelerator_limit,
            fold_input.offset,
            fold_input.record.author,
        )
    )


@checkers.register(ZonePut)
def check_zone(agreed: Agreed, body: ZonePut) -> Rejection | None:
    """Reject invalid names, changes of region, and changes based on an outdated row."""
    row = agreed.availability_zones.get(body.name)
    if row is None and not body.region:
        return Rejection(
            f"there is no availability zone {body.name!r}", is_not_found=True
        )
    for name in (body.name, body.region):
        if not NAME_PATTERN.fullmatch(name):
            return Rejection(f"{name!r} is no name for a zone or region")
    if row is not None and row.region != body.region:
        return Rejection(f"availability zone {body.name} is in region {row.region}")
    subject = f"availability zone {body.name}"
    return _check_base_offset(subject, row.offset if row else 0, body.base_offset)


@appliers.register(ZonePut)
def apply_zone(agreed: Agreed, body: ZonePut, fold_input: FoldInput) -> None:
    """Create or replace the zone's row."""
    agreed.availability_zones.put(
        AvailabilityZone(
            body.name,
            body.region,
            body.in_service,
            fold_input.offset,
            fold_input.record.author,
        )
    )


@checkers.register(SettingPut)
def check_setting(agreed: Agreed, body: SettingPut) -> Rejection | None:
    """Reject unknown keys and branches, invalid values, and outdated base offsets."""
    key = KEYS.get(body.key)
    if key is None:
        return Rejection(f"there is no setting {body.key!r}", is_not_found=True)
    if reason := check_path(agreed, body.path):
        return Rejection(reason, is_not_found=True)
    if reason := key.check_value(body.value):
        return Rejection(reason)
    row = agreed.settings.get(setting_id(body.path, body.key))
    subject = f"{body.key} on {body.path or 'root'}"
    return _check_base_offset(subject, row.offset if row else 0, body.base_offset)


@appliers.register(SettingPut)
def apply_setting(agreed: Agreed, body: SettingPut, fold_input: FoldInput) -> None:
    """Set or unset the key on its branch.

    An unset key keeps its row, so that later changes are checked against its offset.
    """
    agreed.settings.put(
        Setting(
            setting_id(body.path, body.key),
            body.path,
            body.key,
            body.value,
            fold_input.offset,
            fold_input.record.author,
        )
    )
