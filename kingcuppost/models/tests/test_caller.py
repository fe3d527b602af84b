"""Checks between the fields of a caller's request."""

import pytest

from kingcuppost.models.caller import RequestModel

BASE = {"team": "design", "service": "planner"}


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({}, ""),
        ({"idempotent": False, "key": "k", "issued_ms": 1}, ""),
        ({"idempotent": False}, "key: a non-idempotent request carries a key"),
        (
            {"key": "k", "issued_ms": 1},
            "key: only a non-idempotent request carries a key",
        ),
        ({"idempotent": False, "key": "k"}, "issued_ms: a key says when it was made"),
    ],
)
def test_contradictory_fields_are_refused(fields: dict, reason: str) -> None:
    assert RequestModel(**BASE, **fields).find_field_error().startswith(reason)
    assert bool(RequestModel(**BASE, **fields).find_field_error()) == bool(reason)
