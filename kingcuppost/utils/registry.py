"""Registries that decorators fill, for behaviour that varies."""

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

__all__ = ["Registry"]

Key = TypeVar("Key", bound=Hashable)
Entry = TypeVar("Entry")


class Registry(Generic[Key, Entry]):
    """Functions by key; each key is registered once.

    Parameters
    ----------
    name : str
        What the registry holds, for error texts.

    Examples
    --------
    >>> greetings = Registry("greeting")
    >>> @greetings.register("plain")
    ... def greet():
    ...     return "hello"
    >>> greetings["plain"]()
    'hello'
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self._entries: dict[Key, Entry] = {}

    def register(self, key: Key) -> Callable[[Entry], Entry]:
        """Return a decorator that files a function under `key`.

        Raises
        ------
        ValueError
            If the key is taken.
        """

        def file(entry: Entry) -> Entry:
            if key in self._entries:
                raise ValueError(f"{self.name} {key!r} is registered twice")
            self._entries[key] = entry
            return entry

        return file

    def __getitem__(self, key: Key) -> Entry:
        if key not in self._entries:
            raise KeyError(f"no {self.name} is registered as {key!r}")
        return self._entries[key]

    def __contains__(self, key: object) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[Key]:
        return iter(self._entries)
