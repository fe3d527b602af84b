"""Registries of what each kind of record requires and does."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kingcuppost.tables.claims import RecentRecord
from kingcuppost.tables.record import Record
from kingcuppost.tables.world import Agreed
from kingcuppost.utils.registry import Registry

__all__ = ["Fault", "FoldInput", "appliers", "apply_record", "checkers", "fault_of"]


@dataclass(frozen=True, slots=True)
class Fault:
    """Why a record has no effect.

    Attributes
    ----------
    reason : str
        One sentence without a full stop.
    is_conflict : bool
        True if another record came first; a new try may succeed.
    is_not_found : bool
        True if the record names something that does not exist.
    stale : bool
        True if an earlier copy may have taken effect and been forgotten.
    """

    reason: str
    is_conflict: bool = False
    is_not_found: bool = False
    stale: bool = False


@dataclass(frozen=True, slots=True)
class FoldInput:
    """A record about to be applied.

    Attributes
    ----------
    offset : int
        Its log offset.
    record : Record
        The record.
    """

    offset: int
    record: Record


MAX_RECENT_RECORDS = 2_000

Checker = Callable[[Agreed, Any], Fault | None]
Applier = Callable[[Agreed, Any, FoldInput], None]

checkers: Registry[type, Checker] = Registry("check of record")
appliers: Registry[type, Applier] = Registry("effect of record")


def fault_of(agreed: Agreed, body: Any) -> Fault | None:
    """Return why a record body would have no effect now, or None.

    The fold asks this in offset order; an entry asks it before it proposes.
    """
    return checkers[type(body)](agreed, body)


def apply_record(agreed: Agreed, item: FoldInput) -> Fault | None:
    """Apply one record, or return why it has no effect.

    A repeat of a record under the same identifier has none. A record whose author
    had folded less than the fold still remembers may be a repeat, and has none.
    """
    if item.record.record_id in agreed.recent:
        return Fault("the record is a repeat")
    if item.record.seen_offset < agreed.floors.recent_offset:
        return Fault("the record is too old to tell whether it is a repeat", stale=True)
    fault = fault_of(agreed, item.record.body)
    if fault is None:
        appliers[type(item.record.body)](agreed, item.record.body, item)
    _remember_record(agreed, item, fault)
    return fault


def _remember_record(agreed: Agreed, item: FoldInput, fault: Fault | None) -> None:
    reason = fault.reason if fault else ""
    agreed.recent.put(
        RecentRecord(item.record.record_id, item.offset, fault is None, reason)
    )
    while len(agreed.recent) > MAX_RECENT_RECORDS:
        forgotten = agreed.recent.delete(agreed.recent.first().record_id)
        agreed.floors.recent_offset = forgotten.offset
