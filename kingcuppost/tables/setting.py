"""Settings that operators have set, by branch and key."""

from dataclasses import dataclass

from kingcuppost.tables.job import SettingValue

__all__ = ["Setting", "setting_id"]


@dataclass(slots=True)
class Setting:
    """A key that is set, or was set before, on a branch.

    Attributes
    ----------
    setting_id : str
        ``setting_id(path, key)``.
    path : str
        Branch, such as ``"teams/design"``; empty for the root.
    key : str
        Name of the setting.
    value : str, int, float, bool or None
        Value; None if the key was unset, so that the branch inherits it.
    offset : int
        Log offset of the record that last changed the row.
    operator : str
        Author of that record.
    """

    setting_id: str
    path: str
    key: str
    value: SettingValue
    offset: int
    operator: str


def setting_id(path: str, key: str) -> str:
    """Return the identifier of a key on a branch.

    Examples
    --------
    >>> setting_id("teams/design", "job.lease_ms")
    'teams/design:job.lease_ms'
    """
    return f"{path}:{key}"
