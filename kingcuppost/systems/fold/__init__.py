"""The fold of the log: the preconditions and effects of each kind of record."""

from kingcuppost.systems.fold import fleet, jobs, keys, teams
from kingcuppost.systems.fold.record_rules import (
    FoldInput,
    Rejection,
    appliers,
    apply_record,
    check_body,
    checkers,
)
from kingcuppost.systems.fold.snapshot_slices import load_slices, slices_of

__all__ = [
    "FoldInput",
    "Rejection",
    "appliers",
    "apply_record",
    "check_body",
    "checkers",
    "load_slices",
    "slices_of",
]

del fleet, jobs, keys, teams
