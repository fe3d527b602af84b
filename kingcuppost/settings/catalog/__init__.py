"""The declared keys, one module a theme."""

from kingcuppost.settings.catalog import agreement, jobs, requests

__all__: list[str] = []

del agreement, jobs, requests
