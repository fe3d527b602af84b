"""A table of rows with secondary indexes and change tracking."""

from collections.abc import Hashable, Iterator
from typing import Any, Generic, TypeVar

__all__ = ["Table"]

Row = TypeVar("Row")


class Table(Generic[Row]):
    """Rows by key, in order of insertion.

    Rows are data classes. They change only through `update`, so that indexes
    and change sets stay consistent. The table tracks changes for a reader only
    from its first call of `take_changes` on, so that no change set grows for a
    system that does not run.

    Parameters
    ----------
    key : str
        Name of the attribute that identifies a row.
    indexes : tuple of str
        Names of the attributes by which `find`, `scan` and `count` select rows.

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
        """Iterate over a copy of the rows, so that the table may change meanwhile."""
        return iter(list(self._rows.values()))

    def __contains__(self, key: object) -> bool:
        return key in self._rows

    def get(self, key: Hashable) -> Row | None:
        """Return the row with this key, or None if there is none."""
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
        """Insert a row, or replace the row with the same key."""
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
        """Remove and return the row with this key, or None if there is none."""
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
        """Yield the rows that `find` returns, for a caller that may stop early.

        The table must not change during the iteration.
        """
        for key in self._indexes[index].get(value, ()):
            yield self._rows[key]

    def count(self, index: str, value: Hashable) -> int:
        """Return the number of rows that `find` returns."""
        return len(self._indexes[index].get(value, ()))

    def take_changes(self, reader: str) -> list[Hashable]:
        """Return the keys put, updated or deleted since the reader's last call.

        The first call of a reader returns the keys of all rows.

        Parameters
        ----------
        reader : str
            Name of the reader.
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
