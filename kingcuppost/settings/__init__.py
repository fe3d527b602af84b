"""The settings tree and its declared keys."""

from kingcuppost.settings import catalog as _catalog
from kingcuppost.settings.keys import KEYS, SettingKey
from kingcuppost.settings.tree import (
    ancestors,
    effective,
    effective_value,
    fault_of_path,
    team_path,
    zone_path,
)

__all__ = [
    "KEYS",
    "SettingKey",
    "ancestors",
    "effective",
    "effective_value",
    "fault_of_path",
    "team_path",
    "zone_path",
]

del _catalog
