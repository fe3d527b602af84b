"""Read-only views of the tables, served to operators."""

from kingcuppost.systems.views import explain as _explain
from kingcuppost.systems.views import rows as _rows
from kingcuppost.systems.views.registry import answer_view_requests, views

__all__ = ["answer_view_requests", "views"]

del _explain, _rows
