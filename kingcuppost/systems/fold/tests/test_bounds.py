from dataclasses import replace

import pytest

from kingcuppost.systems.fold import (
    FoldInput,
    apply_record,
    jobs,
    keys,
    record_rules,
    slices_of,
)
from kingcuppost.tables.job import Decision, JobState, Placement, Urgency
from kingcuppost.tables.record import (
    GangEnd,
    GangPlace,
    JobCancel,
    JobSubmit,
    KeyClaimPut,
    KeyOutcome,
    LeaseClaim,
    MinionAnnounce,
    Record,
    SettingPut,
    TeamPut,
    ZonePut,
)
from kingcuppost.tables.table import Table
from kingcuppost.tables.world import Agreed


class RecordFolder:
    """Fold record bodies at increasing offsets."""

    def __init__(self) -> None:
        self.agreed = Agreed()
        self.offset = 0

    def fold(self, body: object, record_id: str = "", seen: int | None = None):
        self.offset += 1
        seen = self.offset - 1 if seen is None else seen
        record = Record(record_id or f"rec-{self.offset}", "ilze", 0, body, seen)
        return apply_record(self.agreed, FoldInput(self.offset, record))


@pytest.fixture
def folder() -> RecordFolder:
    folder = RecordFolder()
    folder.fold(TeamPut("design", (), 0, 0))
    return folder


def submit(name: str) -> JobSubmit:
    return JobSubmit(name, "design", 1, 1, 1, 1, Urgency.OVERNIGHT, 0, "{}")


def minion(name: str, worker: str) -> MinionAnnounce:
    return MinionAnnounce(
        name, "s", worker, "vid-a", "r", "i", "127.0.0.1", 1, 8, 64, 1, 1, 8
    )


def claim(key: str, issued_ms: int) -> KeyClaimPut:
    return KeyClaimPut(key, f"att-{key}", "minion-0", "inc-0", issued_ms)


def test_ended_jobs_are_bounded_and_the_oldest_are_evicted(folder, monkeypatch) -> None:
    monkeypatch.setattr(jobs, "MAX_ENDED_JOBS", 3)
    for name in "abcde":
        assert folder.fold(submit(name)) is None
        assert folder.fold(JobCancel(name, "test")) is None
    folder.fold(submit("f"))
    assert [job.name for job in folder.agreed.jobs] == ["c", "d", "e", "f"]


def test_ended_job_stays_while_its_gang_holds_accelerators(folder, monkeypatch) -> None:
    monkeypatch.setattr(jobs, "MAX_ENDED_JOBS", 1)
    folder.fold(ZonePut("vid-a", "vidzeme", True, 0))
    folder.fold(minion("minion-0", "w-0"))
    folder.fold(LeaseClaim("entry-0", "inc-0", 0))
    term = folder.agreed.lease.term
    folder.fold(submit("held"))
    place = GangPlace(
        term, "held", 1, (Placement("w-0", (0,)),), False, Decision("p", 0)
    )
    assert folder.fold(place) is None
    folder.fold(JobCancel("held", "test"))
    for name in "ab":
        folder.fold(submit(name))
        folder.fold(JobCancel(name, "test"))
    assert "held" in folder.agreed.jobs
    assert folder.fold(GangEnd(term, "held", 1)) is None
    folder.fold(submit("c"))
    folder.fold(JobCancel("c", "test"))
    assert [job.name for job in folder.agreed.jobs] == ["c"]
    assert folder.agreed.jobs.get("c").state is JobState.CANCELLED


def test_evicted_key_is_rejected_and_not_run_again(folder, monkeypatch) -> None:
    monkeypatch.setattr(keys, "MAX_KEY_CLAIMS", 2)
    for number, key in enumerate("abc"):
        assert folder.fold(claim(key, 100 + number)) is None
    assert "a" not in folder.agreed.key_claims
    rejection = folder.fold(claim("a", 100))
    assert "too old" in rejection.reason
    assert rejection.is_possible_repeat
    assert folder.fold(claim("d", 200)) is None


def test_key_without_issue_time_is_rejected_once_keys_were_evicted(
    folder, monkeypatch
) -> None:
    monkeypatch.setattr(keys, "MAX_KEY_CLAIMS", 2)
    for key in "abc":
        assert folder.fold(claim(key, 0)) is None
    assert folder.fold(claim("a", 0)) is not None
    assert folder.fold(claim("new", 0)) is not None
    assert folder.fold(claim("new", 1)) is None


def test_key_released_by_not_run_may_be_claimed_again(folder) -> None:
    folder.fold(claim("a", 5))
    assert folder.fold(KeyOutcome("a", "att-a", "not_run")) is None
    assert folder.fold(claim("a", 5)) is None


def test_repeat_of_an_evicted_record_is_rejected_as_possible_repeat(
    folder, monkeypatch
) -> None:
    monkeypatch.setattr(record_rules, "MAX_RECENT_RECORDS", 4)
    seen = folder.offset
    assert folder.fold(submit("a"), "rec-a", seen) is None
    for number in range(6):
        folder.fold(SettingPut("", "no.such", number, 0))
    rejection = folder.fold(submit("a"), "rec-a", seen)
    assert rejection.is_possible_repeat


def test_record_older_than_the_recent_records_is_rejected(folder, monkeypatch) -> None:
    monkeypatch.setattr(record_rules, "MAX_RECENT_RECORDS", 4)
    seen = folder.offset
    for number in range(8):
        folder.fold(SettingPut("", "no.such", number, 0))
    assert folder.fold(submit("a"), "rec-late", seen).is_possible_repeat
    assert folder.fold(submit("a"), "rec-now") is None


def test_slices_are_copies_that_later_records_do_not_change(folder) -> None:
    slices = slices_of(folder.agreed)
    folder.fold(submit("a"))
    before = slices_of(folder.agreed)
    folder.fold(JobCancel("a", "test"))
    assert slices[0].jobs == ()
    assert before[0].jobs[0].state is JobState.WAITING


def test_only_the_newest_keys_keep_their_decision(folder, monkeypatch) -> None:
    monkeypatch.setattr(keys, "MAX_EXPLAINED_KEYS", 2)
    for number, key in enumerate("abc"):
        body = replace(claim(key, number), decision=Decision("p", 0))
        assert folder.fold(body) is None
    kept = [row.key for row in folder.agreed.key_claims if row.decision]
    assert kept == ["b", "c"]


def test_fold_of_a_record_scans_no_table(folder, monkeypatch) -> None:
    def scan(table: Table) -> None:
        raise AssertionError("a fold scans a whole table")

    monkeypatch.setattr(Table, "__iter__", scan)
    bodies = [
        ZonePut("vid-a", "vidzeme", True, 0),
        SettingPut("teams/design", "log.fresh_ms", 500, 0),
        minion("minion-0", "w-0"),
        LeaseClaim("entry-0", "inc-0", 0),
        submit("a"),
        JobCancel("a", "test"),
        claim("k", 5),
        KeyOutcome("k", "att-k", "answered"),
        TeamPut("other", (), 0, 0),
    ]
    assert [folder.fold(body) for body in bodies] == [None] * len(bodies)
