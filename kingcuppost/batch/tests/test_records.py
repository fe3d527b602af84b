"""Tests of the encoding of records, from which a new holder restores its state."""

import json

import pytest

from kingcuppost.batch.models import decode_record, encode_record
from kingcuppost.batch.tables.fleet import Speed
from kingcuppost.batch.tables.job import (
    Job,
    JobPolicy,
    JobState,
    Progress,
    StepSpec,
    TaskPhase,
    TaskProgress,
)
from kingcuppost.batch.tables.messages import (
    CancelRecord,
    ClaimRecord,
    EntryRecord,
    JobRecord,
    ProgressRecord,
    RemovalRecord,
    RenewRecord,
    SpeedsRecord,
)
from kingcuppost.tables.config import Address

STEPS = (
    StepSpec(3, 1_000, 10, 2, 500, gang=True, one_rack=True),
    StepSpec(1, needs=(0,), label="a", rack="r1-1", most_per_minion=2, saves=True),
)
POLICY = JobPolicy("svc", 0, 4, 1.5)
RECORDS = (
    JobRecord(Job("0123456789abcdef", "q", "team", "text", STEPS, 99, -1, POLICY)),
    SpeedsRecord({"side-1": Speed(0.55, 3.0)}),
    CancelRecord("0123456789abcdef"),
    ProgressRecord(
        "0123456789abcdef",
        Progress(
            JobState.RUNNING,
            True,
            (
                TaskProgress(
                    0, 2, TaskPhase.PLACED, 4, 1, "m-1", 7, "side-1", 123, "00ff"
                ),
            ),
        ),
    ),
    EntryRecord("entry-0", Address("10.0.0.1", 7000), "zone-a", "inc-1"),
    ClaimRecord("entry-0", Address("10.0.0.1", 7000), "inc-1"),
    RenewRecord(3, released=True),
    RemovalRecord("job/0123456789abcdef"),
)


@pytest.mark.parametrize("record", RECORDS, ids=lambda record: type(record).__name__)
def test_record_round_trip(record: object) -> None:
    key, value = encode_record(record)
    assert decode_record(key, value, "log").ok == record


@pytest.mark.parametrize("value", [b"[]", b"{", b'{"state":"odd"}', b"\xff"])
def test_unreadable_value_is_an_error(value: bytes) -> None:
    result = decode_record("progress/0123456789abcdef", value, "log 7")
    assert result.is_error()
    assert result.error.peer == "log 7"


JOB_VALUE = {
    "queue": "q",
    "team": "t",
    "spec": "s",
    "accepted_ms": 1,
    "steps": [{"count": 1}],
}
ENTRY_VALUE = {
    "host": "10.0.0.1",
    "port": 7000,
    "availability_zone": "z",
    "incarnation": "i",
}
CLAIM_VALUE = {"name": "n", "host": "10.0.0.1", "port": 7000, "incarnation": "i"}
NESTED = "[" * 200_000


@pytest.mark.parametrize("key", ["entry/e", "claim"])
@pytest.mark.parametrize(
    "odd",
    [
        {"port": 99_999},
        {"port": -1},
        {"port": 0},
        {"port": 10**30},
        {"host": "name.example"},
        {"host": "10.0.0.1:80"},
        {"host": ""},
    ],
    ids=str,
)
def test_an_entry_that_cannot_be_contacted_is_an_error(
    key: str, odd: dict[str, object]
) -> None:
    value = ENTRY_VALUE if key == "entry/e" else CLAIM_VALUE
    assert decode_record(key, json.dumps(value).encode(), "log").is_ok()
    assert decode_record(key, json.dumps(value | odd).encode(), "log").is_error()


@pytest.mark.parametrize(
    "odd",
    [
        {"steps": [{"count": 10**9}]},
        {"steps": [{"count": 6_000}, {"count": 6_000}]},
        {"steps": [{"count": 1, "needs": [0]}]},
        {"steps": [{"count": 1, "estimate_ms": 10**400}]},
        {"accepted_ms": 10**400},
    ],
    ids=lambda odd: str(odd)[:40],
)
def test_a_job_that_no_scheduler_can_hold_is_an_error(odd: dict[str, object]) -> None:
    key = "job/0123456789abcdef"
    assert decode_record(key, json.dumps(JOB_VALUE).encode(), "log").is_ok()
    assert decode_record(key, json.dumps(JOB_VALUE | odd).encode(), "log").is_error()


@pytest.mark.parametrize(
    "value",
    [
        NESTED.encode(),
        b'{"host":' + NESTED.encode(),
        b'{"host":"\\ud800","port":7000}',
        b'{"port":' + b"9" * 5_000 + b"}",
        b'{"port":NaN}',
    ],
    ids=["nested", "nested field", "surrogate", "5,000 digits", "NaN"],
)
def test_text_that_cannot_be_read_is_an_error(value: bytes) -> None:
    assert decode_record("entry/e", value, "log").is_error()
