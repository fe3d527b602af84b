"""The fold of the log: the preconditions and effects of each kind of record."""

from kingcuppost.systems.fold import fleet, jobs, keys, teams
from kingcuppost.systems.fold.registry import (
    Fault,
    FoldInput,
    appliers,
    apply_record,
    checkers,
    fault_of,
)
from kingcuppost.systems.fold.snapshot_slices import load_slices, slices_of

__all__ = [
    "Fault",
    "FoldInput",
    "appliers",
    "apply_record",
    "checkers",
    "fault_of",
    "load_slices",
    "slices_of",
]

del fleet, jobs, keys, teams
