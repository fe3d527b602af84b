"""Scheduler for multi-accelerator jobs with capacity guarantees for teams."""

__all__ = ["__version__"]

__version__ = "0.1.0"
