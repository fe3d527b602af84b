"""Records of the logs keep their stored format."""

import json
from dataclasses import fields
from typing import get_args

import pytest

from kingcuppost.batch.models.records import decode_record, decoders, encode_record
from kingcuppost.models.log import decode_log_record, encode_log_record
from kingcuppost.platform.operators import decode_operator_record
from kingcuppost.tables.record import RecordBody
from kingcuppost.tables.snapshot import AgreedSlice
from kingcuppost.tests.format_files import read_lines, to_values

RECORDS = read_lines("log_records.jsonl")
VALUES = [json.loads(line) for line in read_lines("log_record_values.jsonl")]
PAIRS = list(zip(RECORDS, VALUES, strict=True))
STREAM_RECORDS = [json.loads(line) for line in read_lines("stream_records.jsonl")]
OPERATOR_RECORDS = [json.loads(line) for line in read_lines("operator_records.jsonl")]


@pytest.mark.parametrize("text", RECORDS, ids=range(len(RECORDS)))
def test_a_log_record_round_trips(text: str) -> None:
    assert encode_log_record(decode_log_record(text)) == text


@pytest.mark.parametrize(("text", "values"), PAIRS, ids=range(len(PAIRS)))
def test_a_log_record_reads_into_the_same_row(text: str, values: list) -> None:
    assert to_values(decode_log_record(text)) == values


def test_each_kind_of_body_has_a_stored_record() -> None:
    kinds = {type(decode_log_record(text).body) for text in RECORDS}
    assert kinds == set(get_args(RecordBody))


def test_the_stored_slice_has_rows_of_every_table() -> None:
    slices = [
        getattr(body, field.name)
        for body in (decode_log_record(text).body for text in RECORDS)
        for field in fields(body)
        if isinstance(getattr(body, field.name), AgreedSlice)
    ]
    assert slices
    assert all(all(to_values(stored_slice)) for stored_slice in slices)
    assert all(None not in to_values(stored_slice) for stored_slice in slices)


@pytest.mark.parametrize(("key", "text", "values"), STREAM_RECORDS)
def test_a_stream_record_round_trips(key: str, text: str, values: list) -> None:
    record = decode_record(key, text.encode(), "log").ok
    assert to_values(record) == values
    assert encode_record(record) == (key, text.encode())


def test_each_key_of_a_stream_has_a_stored_record() -> None:
    stored = {key.partition("/")[0] for key, text, _ in STREAM_RECORDS if text}
    assert stored == set(decoders)


@pytest.mark.parametrize(("key", "text", "values"), OPERATOR_RECORDS)
def test_an_operators_record_reads_into_the_same_row(
    key: str, text: str, values: list
) -> None:
    record = decode_operator_record(key, text.encode(), "operator").ok
    assert to_values(record) == values
