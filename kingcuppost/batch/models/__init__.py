"""Validated models of log records and of messages between processes."""

from kingcuppost.batch.models.records import decode_record, encode_record
from kingcuppost.batch.models.sync import (
    decode_sync_call,
    decode_sync_reply,
    encode_sync_call,
    encode_sync_reply,
)

__all__ = [
    "decode_record",
    "decode_sync_call",
    "decode_sync_reply",
    "encode_record",
    "encode_sync_call",
    "encode_sync_reply",
]
