"""Amounts of capacity."""

from dataclasses import dataclass

__all__ = ["Resources"]


@dataclass(slots=True)
class Resources:
    """An amount of processors, memory and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
