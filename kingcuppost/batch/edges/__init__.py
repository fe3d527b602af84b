"""Edges of batch processes: HTTP between processes, logs and metrics."""

from kingcuppost.batch.edges.context import (
    BatchContext,
    batch_senders,
    deliver_later,
)
from kingcuppost.batch.edges.logs import LogWriter
from kingcuppost.batch.edges.server import listen, surfaces

__all__ = [
    "BatchContext",
    "LogWriter",
    "batch_senders",
    "deliver_later",
    "listen",
    "surfaces",
]
