"""Keys of the settings tree, with type, default, limits and unit."""

from dataclasses import dataclass

from kingcuppost.tables.job import SettingValue

__all__ = ["KEYS", "SettingKey", "declare"]


@dataclass(frozen=True, slots=True)
class SettingKey:
    """A key of the settings tree.

    Attributes
    ----------
    name : str
        Name of the key, such as ``"job.lease_ms"``.
    default : str, int, float or bool
        Value if no branch sets the key; its type is the key's type.
    description : str
        Description of the key in one sentence.
    unit : str
        Unit of the value; empty if none.
    minimum, maximum : float or None
        Inclusive limits of a number; None for no limit.
    choices : tuple of str
        Allowed strings; empty for any.
    """

    name: str
    default: str | int | float | bool
    description: str
    unit: str = ""
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()

    def check_value(self, value: SettingValue) -> str:
        """Return why a value is not allowed for the key; empty if it is.

        Examples
        --------
        >>> SettingKey("a.b_ms", 5, "An example.", "ms", minimum=1).check_value(0)
        'a.b_ms must be at least 1'
        >>> SettingKey("a.b_ms", 5, "An example.").check_value("five")
        'a.b_ms must be int, not str'
        """
        if value is None:
            return ""
        expected = type(self.default)
        if type(value) is int and expected is float:
            value = float(value)
        if type(value) is not expected:
            return (
                f"{self.name} must be {expected.__name__}, not {type(value).__name__}"
            )
        return self._check_range(value)

    def _check_range(self, value: SettingValue) -> str:
        if self.choices and value not in self.choices:
            return f"{self.name} must be one of {', '.join(self.choices)}"
        if self.minimum is not None and value < self.minimum:
            return f"{self.name} must be at least {self.minimum:g}"
        if self.maximum is not None and value > self.maximum:
            return f"{self.name} must be at most {self.maximum:g}"
        return ""


KEYS: dict[str, SettingKey] = {}


def declare(key: SettingKey) -> SettingKey:
    """Add a key to `KEYS` and return it.

    Raises
    ------
    ValueError
        If the name is already declared or the default is not allowed.
    """
    if key.name in KEYS:
        raise ValueError(f"setting {key.name} is declared twice")
    if reason := key.check_value(key.default):
        raise ValueError(reason)
    KEYS[key.name] = key
    return key
