"""Operators' records are decoded; unsupported ones are failures with a reason."""

import json

import pytest

from kingcuppost.batch.systems.queue_lookup import find_queue, find_team
from kingcuppost.batch.tables.messages import RemovalRecord, ZoneRecord
from kingcuppost.platform.operators import decode_operator_record

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "pathPrefix": "/urgent/",
            "service": "svc",
            "priority": 0,
            "maxAttempts": 4,
            "slackFactor": 1.5,
            "public": False,
            "later": 1,
        },
        {"name": "r-2", "host": "a.example", "pathPrefix": "/idle/", "public": True},
    ],
    "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "guaranteed": {"gpu": 16}}],
}


def test_all_fields_of_a_configuration_are_decoded() -> None:
    record = decode_operator_record("config", json.dumps(CONFIG).encode(), "op").ok
    configuration = record.configuration
    queue = find_queue(configuration, "a.example:80", "/urgent/0123456789abcdef")
    assert configuration.version == 7
    assert (queue.priority, queue.most_failures, queue.slack_factor) == (0, 4, 1.5)
    assert configuration.teams["t"].guaranteed == 16
    assert find_team(configuration, queue, "k2") == "t"
    assert find_team(configuration, queue, "gone") is None


def test_a_public_queue_needs_no_key() -> None:
    record = decode_operator_record("config", json.dumps(CONFIG).encode(), "op").ok
    queue = find_queue(record.configuration, "a.example", "/idle/")
    assert find_team(record.configuration, queue, "") == ""


def test_evacuation_and_return_of_a_zone_are_decoded() -> None:
    assert decode_operator_record("evacuate/z", b"{}", "op").ok == ZoneRecord("z")
    assert decode_operator_record("evacuate/z", b"", "op").ok == RemovalRecord("zone/z")


@pytest.mark.parametrize(
    ("key", "value"),
    [("config", b"{}"), ("config", b"\xff"), ("wave/1", b"{}"), ("config", b"")],
)
def test_an_unsupported_record_is_a_failure(key: str, value: bytes) -> None:
    result = decode_operator_record(key, value, "op 3")
    assert result.is_error()
    assert result.error.peer == "op 3"
