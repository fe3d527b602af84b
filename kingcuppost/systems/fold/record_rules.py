"""Registries of the preconditions and effects of each kind of record."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kingcuppost.tables.agreed_rows import RecentRecord
from kingcuppost.tables.record import Record
from kingcuppost.tables.world import Agreed
from kingcuppost.utils.registry import Registry

__all__ = [
    "FoldInput",
    "Rejection",
    "appliers",
    "apply_record",
    "check_body",
    "checkers",
]


@dataclass(frozen=True, slots=True)
class Rejection:
    """The reason why a record has no effect.

    Attributes
    ----------
    reason : str
        One sentence without a full stop.
    is_conflict : bool
        Whether another record came first; a retry may succeed.
    is_not_found : bool
        Whether the record names something that does not exist.
    is_possible_repeat : bool
        Whether the record may repeat one that took effect, and whose identifier is
        no longer kept.
    """

    reason: str
    is_conflict: bool = False
    is_not_found: bool = False
    is_possible_repeat: bool = False


@dataclass(frozen=True, slots=True)
class FoldInput:
    """A record about to be applied.

    Attributes
    ----------
    offset : int
        Log offset of the record.
    record : Record
        The record.
    """

    offset: int
    record: Record


MAX_RECENT_RECORDS = 2_000

Checker = Callable[[Agreed, Any], Rejection | None]
Applier = Callable[[Agreed, Any, FoldInput], None]

checkers: Registry[type, Checker] = Registry("check of record")
appliers: Registry[type, Applier] = Registry("effect of record")


def check_body(agreed: Agreed, body: Any) -> Rejection | None:
    """Return why a record body would have no effect now, or None.

    The fold calls this in offset order; an entry calls it before it proposes.
    """
    return checkers[type(body)](agreed, body)


def apply_record(agreed: Agreed, fold_input: FoldInput) -> Rejection | None:
    """Apply one record, or return why it has no effect.

    A record is rejected if its identifier is among those of the recent records. It is
    also rejected if its author, when proposing it, had not folded the newest record
    whose identifier was evicted: it may then repeat an evicted one.
    """
    if fold_input.record.record_id in agreed.recent:
        return Rejection("the record is a repeat")
    if fold_input.record.seen_offset < agreed.floors.recent_offset:
        return Rejection(
            "the record is too old to tell whether it is a repeat",
            is_possible_repeat=True,
        )
    rejection = check_body(agreed, fold_input.record.body)
    if rejection is None:
        appliers[type(fold_input.record.body)](
            agreed, fold_input.record.body, fold_input
        )
    _remember_record(agreed, fold_input, rejection)
    return rejection


def _remember_record(
    agreed: Agreed, fold_input: FoldInput, rejection: Rejection | None
) -> None:
    reason = rejection.reason if rejection else ""
    agreed.recent.put(
        RecentRecord(
            fold_input.record.record_id, fold_input.offset, rejection is None, reason
        )
    )
    while len(agreed.recent) > MAX_RECENT_RECORDS:
        evicted = agreed.recent.delete(agreed.recent.first().record_id)
        agreed.floors.recent_offset = evicted.offset
