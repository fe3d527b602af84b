"""Decisions on what clients' connections may hold; nothing here does any I/O."""

from kingcuppost.systems.connections.chunks import (
    are_chunks_too_many,
    is_framing_too_large,
)
from kingcuppost.systems.connections.limits import MAX_FDS, MEMORY_MB, derive_limits
from kingcuppost.systems.connections.memory import (
    admits,
    find_shed,
    hold,
    is_small_request,
    needs_room,
    release_held,
    release_served,
    serve,
    should_pause,
    take_resumable,
)
from kingcuppost.systems.connections.phases import (
    add_connection,
    find_longest_waiting,
    find_overdue,
    move_to,
    next_deadline_ms,
    remove_connection,
)
from kingcuppost.systems.connections.refusals import RefusalKind, count_refusal
from kingcuppost.systems.connections.text_size import FIELD_BYTES, count_fields

__all__ = [
    "FIELD_BYTES",
    "MAX_FDS",
    "MEMORY_MB",
    "RefusalKind",
    "add_connection",
    "admits",
    "are_chunks_too_many",
    "count_fields",
    "count_refusal",
    "derive_limits",
    "find_longest_waiting",
    "find_overdue",
    "find_shed",
    "hold",
    "is_framing_too_large",
    "is_small_request",
    "move_to",
    "needs_room",
    "next_deadline_ms",
    "release_held",
    "release_served",
    "remove_connection",
    "serve",
    "should_pause",
    "take_resumable",
]
