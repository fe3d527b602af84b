"""Scheduler for multi-accelerator jobs held to team guarantees."""

__all__ = ["__version__"]

__version__ = "0.1.0"
