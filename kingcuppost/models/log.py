"""Messages of the platform's log, as the repository's stand-in speaks them."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from kingcuppost.models.base import encode
from kingcuppost.tables.inbox import ReadAnswered, StoredRecord
from kingcuppost.tables.record import Record, RecordBody

__all__ = ["AppendModel", "ReadModel", "record_of", "to_read_done"]

_body = TypeAdapter(
    Annotated[RecordBody, Field(discriminator="kind")],
    config=ConfigDict(defer_build=True),
)


class StoredModel(BaseModel):
    """A record with its offset; the value is text that the log does not read."""

    model_config = ConfigDict(extra="ignore", defer_build=True)

    offset: int = Field(ge=1)
    value: str


class ReadModel(BaseModel):
    """The answer to a read."""

    model_config = ConfigDict(extra="ignore", defer_build=True)

    records: list[StoredModel]
    head: int = Field(ge=0)
    earliest: int = Field(ge=0)


class AppendModel(BaseModel):
    """An append of several records, all or none."""

    values: list[str]


class RecordModel(BaseModel):
    """The text of a record."""

    model_config = ConfigDict(extra="ignore", defer_build=True)

    record_id: str
    author: str
    wall_ms: int
    body: dict
    seen_offset: int = Field(default=0, ge=0)


def text_of(record: Record) -> str:
    """Return the text of a record as it stands in the log."""
    return encode(record).decode()


def record_of(text: str) -> Record | None:
    """Return the record, or None for a text that is no record of ours.

    Every process judges a text alike, so that all folds stay the same.
    """
    try:
        model = RecordModel.model_validate_json(text)
        body = _body.validate_python(model.body)
    except ValidationError:
        return None
    return Record(model.record_id, model.author, model.wall_ms, body, model.seen_offset)


def to_read_done(read_id: str, model: ReadModel) -> ReadAnswered:
    """Return the inbox message; texts that are no records are passed over."""
    records = []
    for item in model.records:
        record = record_of(item.value)
        if record is not None:
            records.append(StoredRecord(item.offset, record))
    end = model.records[-1].offset if model.records else 0
    return ReadAnswered(read_id, True, tuple(records), model.head, model.earliest, end)
