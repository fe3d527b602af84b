"""Utilities that every layer may use."""

from kingcuppost.utils.clock import BootClock, Clock, ManualClock, SystemClock
from kingcuppost.utils.identifiers import new_identifier
from kingcuppost.utils.registry import Registry

__all__ = [
    "BootClock",
    "Clock",
    "ManualClock",
    "Registry",
    "SystemClock",
    "new_identifier",
]
