"""Decisions on what clients' connections may hold; nothing here does any I/O."""

from kingcuppost.systems.connections.text_size import FIELD_BYTES, count_fields

__all__ = ["FIELD_BYTES", "count_fields"]
