"""Registries that decorators fill, for behaviour that varies."""

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

__all__ = ["Registry"]

Key = TypeVar("Key", bound=Hashable)
Item = TypeVar("Item")


class Registry(Generic[Key, Item]):
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
        self._items: dict[Key, Item] = {}

    def register(self, key: Key) -> Callable[[Item], Item]:
        """Return a decorator that files a function under `key`.

        Raises
        ------
        ValueError
            If the key is taken.
        """

        def add(item: Item) -> Item:
            if key in self._items:
                raise ValueError(f"{self.name} {key!r} is registered twice")
            self._items[key] = item
            return item

        return add

    def __getitem__(self, key: Key) -> Item:
        if key not in self._items:
            raise KeyError(f"no {self.name} is registered as {key!r}")
        return self._items[key]

    def __contains__(self, key: object) -> bool:
        return key in self._items

    def __iter__(self) -> Iterator[Key]:
        return iter(self._items)
