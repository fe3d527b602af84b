"""Entities as rows in tables; no behaviour, no input or output."""

from kingcuppost.tables.deadlines import Deadlines
from kingcuppost.tables.mailbox import Mailbox
from kingcuppost.tables.table import Table
from kingcuppost.tables.world import Agreed, World

__all__ = ["Agreed", "Deadlines", "Mailbox", "Table", "World"]
