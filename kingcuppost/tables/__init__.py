"""Entities as rows in tables, without behaviour, input or output."""

from kingcuppost.tables.deadlines import Deadlines
from kingcuppost.tables.mailbox import Mailbox
from kingcuppost.tables.table import Table
from kingcuppost.utils.lazy import lazy_exports

__all__ = ["Agreed", "Deadlines", "Mailbox", "Table", "World"]  # noqa: F822

__getattr__ = lazy_exports(
    {"Agreed": "kingcuppost.tables.world", "World": "kingcuppost.tables.world"}
)
