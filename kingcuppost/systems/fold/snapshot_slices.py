"""Convert the agreed tables to slices of bounded size, and back."""

from collections.abc import Iterable, Iterator
from copy import copy
from dataclasses import fields
from typing import Any

from kingcuppost.tables.snapshot import AgreedSlice
from kingcuppost.tables.table import Table
from kingcuppost.tables.world import Agreed

__all__ = ["SLICE_WEIGHT", "load_slices", "slices_of"]

SLICE_WEIGHT = 200  # a slice ends with the row that reaches it
SINGLE_ROWS = ("lease", "floors")
TABLE_NAMES = tuple(
    item.name for item in fields(AgreedSlice) if item.name not in SINGLE_ROWS
)


def slices_of(agreed: Agreed) -> list[AgreedSlice]:
    """Return copies of all agreed rows, in slices of bounded weight.

    Examples
    --------
    >>> len(slices_of(Agreed()))
    1
    """
    chunks = list(_chunks(agreed)) or [{}]
    single_rows = {"lease": copy(agreed.lease), "floors": copy(agreed.floors)}
    chunks[0].update(single_rows)
    return [AgreedSlice(**_frozen(chunk)) for chunk in chunks]


def _frozen(chunk: dict[str, Any]) -> dict[str, Any]:
    return {
        name: tuple(value) if isinstance(value, list) else value
        for name, value in chunk.items()
    }


def _chunks(agreed: Agreed) -> Iterator[dict[str, Any]]:
    chunk: dict[str, Any] = {}
    weight = 0
    for name in TABLE_NAMES:
        for row in getattr(agreed, name):
            chunk.setdefault(name, []).append(copy(row))
            weight += _weight_of(row)
            if weight >= SLICE_WEIGHT:
                yield chunk
                chunk, weight = {}, 0
    if chunk:
        yield chunk


def _weight_of(row: Any) -> int:
    """Return the weight of a row: 1, plus its placements and decision values."""
    weight = 1 + len(getattr(row, "placements", ()))
    decision = getattr(row, "decision", None)
    if decision is not None:
        weight += len(decision.values) + len(decision.refused)
    return weight


def load_slices(agreed: Agreed, slices: Iterable[AgreedSlice]) -> None:
    """Replace all agreed rows by those of a complete snapshot, in the same order."""
    slices = list(slices)
    for name in TABLE_NAMES:
        table: Table[Any] = getattr(agreed, name)
        table.clear()
        for agreed_slice in slices:
            for row in getattr(agreed_slice, name):
                table.put(copy(row))
    agreed.lease = copy(slices[0].lease)
    agreed.floors = copy(slices[0].floors)
