"""Outcomes of appends, as the store's answers and the sizes of the records decide."""

from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest
from twisted.internet.defer import ensureDeferred

from kingcuppost.batch.models import encode_record
from kingcuppost.batch.tables.job import Job
from kingcuppost.batch.tables.messages import (
    Append,
    AppendEnded,
    AppendOutcome,
    CancelRecord,
    JobRecord,
    Stream,
)
from kingcuppost.edges.http_limits import MAX_BODY_BYTES
from kingcuppost.exception import PeerError
from kingcuppost.platform.appends import _append_records
from kingcuppost.platform.framing import encode_keyed_record
from kingcuppost.platform.settings import StoreLimits
from kingcuppost.platform.store import StoreReply
from kingcuppost.tables.metrics import Tally
from kingcuppost.utils import ManualClock

RECORD = CancelRecord("0123456789abcdef")
RECORD_BYTES = len(encode_keyed_record(*encode_record(RECORD)))
LENGTH_BYTES = 4
ROOMY = StoreLimits(10_000, 100_000)


@dataclass
class FakeStore:
    """Answers every call alike, and counts the calls."""

    answer: StoreReply | PeerError
    calls: list[str] = field(default_factory=list)

    async def call(
        self, method: str, path: str, body: bytes, timeout_ms: int
    ) -> StoreReply:
        self.calls.append(path)
        if isinstance(self.answer, PeerError):
            raise self.answer
        return self.answer


def append(store: FakeStore, limits: StoreLimits, *records: object) -> AppendEnded:
    world = SimpleNamespace(clock=ManualClock(start_ms=1_000), tally=Tally())
    context = SimpleNamespace(
        world=world, adapter_state=SimpleNamespace(store=store, limits=limits)
    )
    results: list[AppendEnded] = []
    message = Append("a-1", Stream.JOBS, records)
    ensureDeferred(_append_records(context, message)).addCallback(results.append)
    return results[0]


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (StoreReply(200, b'{"offset":1,"end":2}'), AppendOutcome.DONE),
        (StoreReply(400, b""), AppendOutcome.INVALID),
        (StoreReply(403, b""), AppendOutcome.INVALID),
        (StoreReply(413, b""), AppendOutcome.INVALID),
        (StoreReply(413, b"", may_have_run=True), AppendOutcome.INVALID),
        (StoreReply(429, b""), AppendOutcome.REFUSED),
        (StoreReply(503, b""), AppendOutcome.REFUSED),
        (StoreReply(507, b""), AppendOutcome.REFUSED),
        (StoreReply(503, b"", may_have_run=True), AppendOutcome.UNKNOWN),
        (StoreReply(409, b'{"reason":"fenced"}'), AppendOutcome.FENCED),
        (StoreReply(409, b'{"reason":"seq"}'), AppendOutcome.CONFLICT),
        (StoreReply(412, b'{"end":7}'), AppendOutcome.CONFLICT),
        (PeerError("timeout", "exchange", "store"), AppendOutcome.UNKNOWN),
        (PeerError("refused", "connect", "store"), AppendOutcome.REFUSED),
    ],
    ids=str,
)
def test_a_refusal_for_good_is_told_from_a_passing_one(
    answer: StoreReply | PeerError, outcome: AppendOutcome
) -> None:
    assert append(FakeStore(answer), ROOMY, RECORD).outcome is outcome


@pytest.mark.parametrize(
    ("limits", "is_valid"),
    [
        (StoreLimits(RECORD_BYTES, 10_000), True),
        (StoreLimits(RECORD_BYTES - 1, 10_000), False),
        (StoreLimits(RECORD_BYTES, 2 * (RECORD_BYTES + LENGTH_BYTES)), True),
        (StoreLimits(RECORD_BYTES, 2 * (RECORD_BYTES + LENGTH_BYTES) - 1), False),
    ],
    ids=["record", "record too large", "append", "append too large"],
)
def test_an_append_that_is_too_large_is_not_sent(
    limits: StoreLimits, is_valid: bool
) -> None:
    store = FakeStore(StoreReply(200, b'{"offset":1,"end":2}'))
    result = append(store, limits, RECORD, RECORD)
    expected = AppendOutcome.DONE if is_valid else AppendOutcome.INVALID
    assert result.outcome is expected
    assert len(store.calls) == int(is_valid)


def make_job_record(spec_bytes: int) -> JobRecord:
    return JobRecord(Job("0123456789abcdef", "q", "t", "x" * spec_bytes, (), 0, -1))


@pytest.mark.parametrize(("excess_bytes", "is_valid"), [(0, True), (1, False)])
def test_an_append_that_no_relay_takes_is_not_sent(
    excess_bytes: int, is_valid: bool
) -> None:
    """The relay's refusal would be taken for one by the store."""
    empty_bytes = len(encode_keyed_record(*encode_record(make_job_record(0))))
    spec_bytes = MAX_BODY_BYTES - LENGTH_BYTES - empty_bytes + excess_bytes
    store = FakeStore(StoreReply(200, b'{"offset":1,"end":2}'))
    limits = StoreLimits(10_000_000, 10_000_000)
    append(store, limits, make_job_record(spec_bytes))
    assert len(store.calls) == int(is_valid)


def test_the_reason_names_the_record_and_the_limit() -> None:
    limits = StoreLimits(RECORD_BYTES - 1, 10_000)
    reason = append(FakeStore(StoreReply(200, b"")), limits, RECORD).reason
    assert "cancel/0123456789abcdef" in reason
    assert f"limit is {RECORD_BYTES - 1} bytes" in reason


def test_a_key_that_no_record_can_have_ends_the_append() -> None:
    """It raised an error, and the append was never answered."""
    record = CancelRecord("x" * 300)
    result = append(FakeStore(StoreReply(200, b"")), ROOMY, record)
    assert result.outcome is AppendOutcome.INVALID
