"""Small helpers that every layer may use."""

from kingcuppost.utils.clock import Clock, ManualClock, SystemClock
from kingcuppost.utils.identifiers import new_identifier
from kingcuppost.utils.registry import Registry

__all__ = ["Clock", "ManualClock", "Registry", "SystemClock", "new_identifier"]
