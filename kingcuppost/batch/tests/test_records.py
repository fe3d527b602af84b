"""Records keep all that a new holder of the lease needs."""

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
TERMS = JobPolicy("svc", 0, 4, 1.5)
RECORDS = (
    JobRecord(Job("0123456789abcdef", "q", "team", "text", STEPS, 99, -1, TERMS)),
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
def test_a_record_survives_its_text(record: object) -> None:
    key, value = encode_record(record)
    assert decode_record(key, value, "log").ok == record


@pytest.mark.parametrize("value", [b"[]", b"{", b'{"state":"odd"}', b"\xff"])
def test_an_unreadable_value_is_a_failure(value: bytes) -> None:
    result = decode_record("progress/0123456789abcdef", value, "log 7")
    assert result.is_error()
    assert result.error.peer == "log 7"
