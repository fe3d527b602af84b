"""Declarations of all keys, one module for each subject."""

from kingcuppost.settings.catalog import agreement, jobs, requests

__all__: list[str] = []

del agreement, jobs, requests
