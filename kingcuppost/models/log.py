"""Messages of the platform's log, in the protocol of the repository's stand-in."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from kingcuppost.models.base import encode
from kingcuppost.tables.inbox import ReadAnswered, StoredRecord
from kingcuppost.tables.record import Record, RecordBody

__all__ = ["AppendModel", "ReadModel", "decode_log_record", "to_read_answered"]

_body_adapter = TypeAdapter(
    Annotated[RecordBody, Field(discriminator="kind")],
    config=ConfigDict(defer_build=True),
)


class StoredModel(BaseModel):
    """A record with its offset; its value is opaque to the log."""

    model_config = ConfigDict(extra="ignore", defer_build=True)

    offset: int = Field(ge=1)
    value: str


class ReadModel(BaseModel):
    """The response to a read.

    `head` and `earliest` are the offsets of the newest and the oldest record of the
    log.
    """

    model_config = ConfigDict(extra="ignore", defer_build=True)

    records: list[StoredModel]
    head: int = Field(ge=0)
    earliest: int = Field(ge=0)


class AppendModel(BaseModel):
    """An atomic append of several records."""

    values: list[str]


class RecordModel(BaseModel):
    """The encoded form of a record."""

    model_config = ConfigDict(extra="ignore", defer_build=True)

    record_id: str
    author: str
    wall_ms: int
    body: dict
    seen_offset: int = Field(default=0, ge=0)


def encode_log_record(record: Record) -> str:
    """Return the text of a record, as it is stored in the log."""
    return encode(record).decode()


def decode_log_record(text: str) -> Record | None:
    """Return the record in a text, or None if the text is not a valid record.

    The result depends on the text alone, so that the folds of all processes agree.
    """
    try:
        model = RecordModel.model_validate_json(text)
        body = _body_adapter.validate_python(model.body)
    except ValidationError:
        return None
    return Record(model.record_id, model.author, model.wall_ms, body, model.seen_offset)


def to_read_answered(read_id: str, model: ReadModel) -> ReadAnswered:
    """Return the inbox message; values that are not valid records are skipped."""
    records = []
    for stored in model.records:
        record = decode_log_record(stored.value)
        if record is not None:
            records.append(StoredRecord(stored.offset, record))
    end_offset = model.records[-1].offset if model.records else 0
    return ReadAnswered(
        read_id, True, tuple(records), model.head, model.earliest, end_offset
    )
