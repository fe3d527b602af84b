"""A table of rows with the indexes and change sets that systems need."""

from collections.abc import Hashable, Iterator
from typing import Any, Generic, TypeVar

__all__ = ["Table"]

Row = TypeVar("Row")


class Table(Generic[Row]):
    """Rows by key, kept in order of insertion.

    Rows are data classes. They change only through `update`, so that indexes
    and change sets stay right. A change set is kept for each watcher from its
    first question on, so that none grows for systems that do not run.

    Parameters
    ----------
    key : str
        Name of the attribute that identifies a row.
    indexes : tuple of str
        Attributes to look rows up by.

    Examples
    --------
    >>> from dataclasses import dataclass
    >>> @dataclass
    ... class Point:
    ...     name: str
    ...     x: int
    >>> points = Table("name", indexes=("x",))
    >>> points.put(Point("a", 1))
    >>> points.update("a", x=2)
    >>> [point.name for point in points.find("x", 2)]
    ['a']
    >>> points.take_changes("draw")
    ['a']
    >>> points.take_changes("draw")
    []
    """

    def __init__(self, key: str, indexes: tuple[str, ...] = ()) -> None:
        self._key = key
        self._rows: dict[Hashable, Row] = {}
        self._indexes: dict[str, dict[Hashable, dict[Hashable, None]]] = {
            name: {} for name in indexes
        }
        self._changes: dict[str, dict[Hashable, None]] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[Row]:
        return iter(list(self._rows.values()))

    def __contains__(self, key: object) -> bool:
        return key in self._rows

    def get(self, key: Hashable) -> Row | None:
        """Return the row with this key, or None."""
        return self._rows.get(key)

    def first(self) -> Row:
        """Return the row that was inserted first.

        Raises
        ------
        StopIteration
            If the table is empty.
        """
        return next(iter(self._rows.values()))

    def put(self, row: Row) -> None:
        """Insert a row, or replace the one with the same key."""
        key = getattr(row, self._key)
        if key in self._rows:
            self._unindex(key)
        self._rows[key] = row
        self._index(key)
        self._record_change(key)

    def update(self, key: Hashable, **changes: Any) -> None:
        """Change attributes of a row.

        Raises
        ------
        KeyError
            If no row has this key.
        """
        row = self._rows[key]
        self._unindex(key)
        for name, value in changes.items():
            setattr(row, name, value)
        self._index(key)
        self._record_change(key)

    def delete(self, key: Hashable) -> Row | None:
        """Remove and return the row with this key; None if there is none."""
        if key not in self._rows:
            return None
        self._unindex(key)
        self._record_change(key)
        return self._rows.pop(key)

    def find(self, index: str, value: Hashable) -> list[Row]:
        """Return the rows whose indexed attribute equals `value`."""
        keys = self._indexes[index].get(value, {})
        return [self._rows[key] for key in keys]

    def scan(self, index: str, value: Hashable) -> Iterator[Row]:
        """Yield what `find` would return, for a reader that may stop early.

        The table must not change meanwhile.
        """
        for key in self._indexes[index].get(value, ()):
            yield self._rows[key]

    def count(self, index: str, value: Hashable) -> int:
        """Return how many rows `find` would return."""
        return len(self._indexes[index].get(value, ()))

    def take_changes(self, reader: str) -> list[Hashable]:
        """Return the keys that changed since the watcher last asked.

        A watcher that asks for the first time gets all keys.
        """
        changes = self._changes.get(reader, self._rows)
        self._changes[reader] = {}
        return list(changes)

    def clear(self) -> None:
        """Remove all rows."""
        for key in list(self._rows):
            self.delete(key)

    def _index(self, key: Hashable) -> None:
        row = self._rows[key]
        for name, index in self._indexes.items():
            index.setdefault(getattr(row, name), {})[key] = None

    def _unindex(self, key: Hashable) -> None:
        row = self._rows[key]
        for name, index in self._indexes.items():
            value = getattr(row, name)
            index[value].pop(key)
            if not index[value]:
                del index[value]

    def _record_change(self, key: Hashable) -> None:
        for changes in self._changes.values():
            changes[key] = None
