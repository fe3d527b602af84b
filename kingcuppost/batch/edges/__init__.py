"""Edges of batch jobs: the processes' own HTTP interface, logs and metrics."""

from kingcuppost.batch.edges.context import (
    BatchContext,
    batch_senders,
    deliver_later,
)
from kingcuppost.batch.edges.logs import LineLog
from kingcuppost.batch.edges.server import listen, surfaces

__all__ = [
    "BatchContext",
    "LineLog",
    "batch_senders",
    "deliver_later",
    "listen",
    "surfaces",
]
