"""Keys that operators may set, with type, default, bounds and unit."""

from dataclasses import dataclass

from kingcuppost.tables.job import SettingValue

__all__ = ["KEYS", "SettingKey", "declare"]


@dataclass(frozen=True, slots=True)
class SettingKey:
    """A key of the settings tree.

    Attributes
    ----------
    name : str
        Name, such as ``"job.lease_ms"``.
    default : str, int, float or bool
        Value where no branch sets the key; its type is the key's type.
    text : str
        What the key does, one sentence.
    unit : str
        Unit of the value; empty if none.
    least, most : float or None
        Bounds of a number, included.
    choices : tuple of str
        Allowed texts; empty for any.
    """

    name: str
    default: str | int | float | bool
    text: str
    unit: str = ""
    least: float | None = None
    most: float | None = None
    choices: tuple[str, ...] = ()

    def fault_of(self, value: SettingValue) -> str:
        """Return why a value does not fit the key; empty if it does.

        Examples
        --------
        >>> SettingKey("a.b_ms", 5, "An example.", "ms", least=1).fault_of(0)
        'a.b_ms must be at least 1'
        >>> SettingKey("a.b_ms", 5, "An example.").fault_of("five")
        'a.b_ms must be int, not str'
        """
        if value is None:
            return ""
        wanted = type(self.default)
        if type(value) is int and wanted is float:
            value = float(value)
        if type(value) is not wanted:
            return f"{self.name} must be {wanted.__name__}, not {type(value).__name__}"
        return self._fault_of_range(value)

    def _fault_of_range(self, value: SettingValue) -> str:
        if self.choices and value not in self.choices:
            return f"{self.name} must be one of {', '.join(self.choices)}"
        if self.least is not None and value < self.least:
            return f"{self.name} must be at least {self.least:g}"
        if self.most is not None and value > self.most:
            return f"{self.name} must be at most {self.most:g}"
        return ""


KEYS: dict[str, SettingKey] = {}


def declare(key: SettingKey) -> SettingKey:
    """Add a key to `KEYS`.

    Raises
    ------
    ValueError
        If the name is taken or the default does not fit.
    """
    if key.name in KEYS:
        raise ValueError(f"setting {key.name} is declared twice")
    if fault := key.fault_of(key.default):
        raise ValueError(fault)
    KEYS[key.name] = key
    return key
