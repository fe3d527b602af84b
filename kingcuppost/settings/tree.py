"""The settings tree: branches, inheritance and effective values."""

import re

from kingcuppost.settings.keys import KEYS
from kingcuppost.tables.job import EffectiveValue, SettingValue
from kingcuppost.tables.setting import setting_id
from kingcuppost.tables.world import Agreed

__all__ = [
    "check_path",
    "effective_value",
    "list_ancestors",
    "resolve_setting",
    "team_path",
    "zone_path",
]

SEGMENT_PATTERN = re.compile(r"[a-z0-9][a-z0-9_.-]{0,62}")
URGENCIES = ("interactive", "overnight")


def list_ancestors(path: str) -> list[str]:
    """Return a branch and its ancestors, from the branch up to the root.

    Examples
    --------
    >>> list_ancestors("teams/design")
    ['teams/design', 'teams', '']
    """
    branches = []
    while path:
        branches.append(path)
        path = path.rpartition("/")[0]
    return [*branches, ""]


def resolve_setting(agreed: Agreed, path: str, key: str) -> EffectiveValue:
    """Return the effective value of a key on a branch, and where it was set.

    Parameters
    ----------
    agreed : Agreed
        State that is folded from the log.
    path : str
        Branch; empty for the root.
    key : str
        Declared key.

    Returns
    -------
    EffectiveValue
        Value of the nearest branch that sets the key, else the default.

    Raises
    ------
    KeyError
        If the key is not declared.
    """
    for branch in list_ancestors(path):
        row = agreed.settings.get(setting_id(branch, key))
        if row is not None and row.value is not None:
            return EffectiveValue(
                key, row.value, branch or "root", row.offset, row.operator
            )
    return EffectiveValue(key, KEYS[key].default, "default", 0, "")


def effective_value(agreed: Agreed, key: str, path: str = "") -> SettingValue:
    """Return the effective value of a key on a branch, without its origin."""
    return resolve_setting(agreed, path, key).value


def team_path(team: str, urgency: str = "") -> str:
    """Return the branch of a team, or of one urgency within the team.

    Examples
    --------
    >>> team_path("design", "overnight")
    'teams/design/overnight'
    """
    return f"teams/{team}/{urgency}" if urgency else f"teams/{team}"


def zone_path(region: str, availability_zone: str) -> str:
    """Return the branch of an availability zone.

    Examples
    --------
    >>> zone_path("vidzeme", "vid-a")
    'regions/vidzeme/vid-a'
    """
    return f"regions/{region}/{availability_zone}"


def check_path(agreed: Agreed, path: str) -> str:
    """Return why keys can't be set on a branch; empty if they can."""
    if path == "":
        return ""
    segments = path.split("/")
    for segment in segments:
        if not SEGMENT_PATTERN.fullmatch(segment):
            return f"branch {path!r} has a bad part {segment!r}"
    if segments[0] == "teams":
        return _check_team_path(agreed, segments)
    if segments[0] == "regions":
        return _check_region_path(agreed, segments)
    return f"branch {path!r} starts with neither 'teams' nor 'regions'"


def _check_team_path(agreed: Agreed, segments: list[str]) -> str:
    if len(segments) > 1 and segments[1] not in agreed.teams:
        return f"there is no team {segments[1]!r}"
    if len(segments) > 2 and segments[2] not in URGENCIES:
        return f"{segments[2]!r} is neither 'interactive' nor 'overnight'"
    if len(segments) > 3:
        return "a team's branch has at most three parts"
    return ""


def _check_region_path(agreed: Agreed, segments: list[str]) -> str:
    zones = list(agreed.availability_zones)
    if len(segments) > 1 and segments[1] not in {zone.region for zone in zones}:
        return f"there is no region {segments[1]!r}"
    if len(segments) > 2:
        zone = agreed.availability_zones.get(segments[2])
        if zone is None or zone.region != segments[1]:
            return f"there is no availability zone {segments[2]!r} in {segments[1]!r}"
    if len(segments) > 3:
        return "a region's branch has at most three parts"
    return ""
