"""Registries that decorators fill, for behaviour with several variants."""

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

__all__ = ["Registry"]

Key = TypeVar("Key", bound=Hashable)
Item = TypeVar("Item")


class Registry(Generic[Key, Item]):
    """Functions, classes or values by key; no key can be registered twice.

    Parameters
    ----------
    name : str
        Kind of the registered items, for error messages.

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
        """Return a decorator that registers its argument under `key`.

        Raises
        ------
        ValueError
            If the key is registered already.
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
