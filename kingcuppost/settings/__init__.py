"""Settings that operators can change at run time: declared keys and their tree."""

from kingcuppost.settings import catalog as _catalog
from kingcuppost.settings.keys import KEYS, SettingKey
from kingcuppost.settings.tree import (
    check_path,
    effective_value,
    list_ancestors,
    resolve_setting,
    team_path,
    zone_path,
)

__all__ = [
    "KEYS",
    "SettingKey",
    "check_path",
    "effective_value",
    "list_ancestors",
    "resolve_setting",
    "team_path",
    "zone_path",
]

del _catalog
