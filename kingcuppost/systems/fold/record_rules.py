"""Registries of what each kind of record requires and does."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kingcuppost.tables.agreed_rows import RecentRecord
from kingcuppost.tables.record import Record
from kingcuppost.tables.world import Agreed
from kingcuppost.utils.registry import Registry

__all__ = [
    "Rejection",
    "FoldInput",
    "appliers",
    "apply_record",
    "checkers",
    "check_body",
]


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a record has no effect.

    Attributes
    ----------
    reason : str
        One sentence without a full stop.
    lost_race : bool
        True if another record came first; a new try may succeed.
    missing : bool
        True if the record names something that does not exist.
    is_possible_repeat : bool
        True if an earlier copy may have taken effect and been forgotten.
    """

    reason: str
    lost_race: bool = False
    missing: bool = False
    is_possible_repeat: bool = False


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


RECENT_RECORDS = 2_000

Checker = Callable[[Agreed, Any], Rejection | None]
Applier = Callable[[Agreed, Any, FoldInput], None]

checkers: Registry[type, Checker] = Registry("check of record")
appliers: Registry[type, Applier] = Registry("effect of record")


def check_body(agreed: Agreed, body: Any) -> Rejection | None:
    """Return why a record body would have no effect now, or None.

    The fold asks this in offset order; an entry asks it before it proposes.
    """
    return checkers[type(body)](agreed, body)


def apply_record(agreed: Agreed, item: FoldInput) -> Rejection | None:
    """Apply one record, or return why it has no effect.

    A repeat of a record under the same identifier has none. A record whose author
    had folded less than the fold still remembers may be a repeat, and has none.
    """
    if item.record.record_id in agreed.recent:
        return Rejection("the record is a repeat")
    if item.record.seen_offset < agreed.floors.recent_offset:
        return Rejection(
            "the record is too old to tell whether it is a repeat",
            is_possible_repeat=True,
        )
    rejection = check_body(agreed, item.record.body)
    if rejection is None:
        appliers[type(item.record.body)](agreed, item.record.body, item)
    _remember(agreed, item, rejection)
    return rejection


def _remember(agreed: Agreed, item: FoldInput, rejection: Rejection | None) -> None:
    reason = rejection.reason if rejection else ""
    agreed.recent.put(
        RecentRecord(item.record.record_id, item.offset, rejection is None, reason)
    )
    while len(agreed.recent) > RECENT_RECORDS:
        forgotten = agreed.recent.delete(agreed.recent.first().record_id)
        agreed.floors.recent_offset = forgotten.offset
