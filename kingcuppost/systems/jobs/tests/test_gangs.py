"""Stages of gangs at the scheduler, without sockets."""

import importlib

import pytest

from kingcuppost.systems.jobs.faults import pause_worker, reset_refusals
from kingcuppost.systems.tests.process_harness import (
    START_MS,
    FakeLog,
    ProcessHarness,
    make_cluster_log,
    make_entry_harness,
    place_gang,
    release_gang,
)
from kingcuppost.tables.record import (
    EntryAnnounce,
    GangEnd,
    GangRelease,
    GangStop,
    JobCancel,
    LeaseClaim,
    SettingPut,
)
from kingcuppost.tables.task import MemberReport, TaskState
from kingcuppost.utils import ManualClock

WORKERS = ("worker-0", "worker-1")
LEASE_MS = 5_000
GRACE_MS = 3_000
ISOLATION_LIMIT_MS = 300_000
LOST_MS = 10_000
FULL_REPORT_MS = 1_000
MEMBER_TIMEOUT_MS = LOST_MS + 2 * FULL_REPORT_MS
CLOCK_DRIFT_MS = 500
RESERVE_TIMEOUT_MS = 5_000
PAUSE_MS = 2_000


@pytest.fixture
def log() -> FakeLog:
    log = make_cluster_log()
    log.add(
        SettingPut("", "job.placement_policy", "first_fit", 0),
        SettingPut("", "job.lost_ms", LOST_MS, 0),
        SettingPut("", "heartbeat.full_ms", FULL_REPORT_MS, 0),
    )
    return log


@pytest.fixture
def harness(log: FakeLog) -> ProcessHarness:
    """Return the entry that holds the scheduling lease."""
    harness = make_entry_harness(log, ManualClock(START_MS))
    harness.settle()
    claim(harness)
    return harness


def claim(harness: ProcessHarness) -> None:
    """Let a process claim the scheduling lease for a new term."""
    who = harness.world.identity
    harness.log.add(
        EntryAnnounce(
            who.name, who.availability_zone, who.incarnation, "127.0.0.1", 1, 2, 3
        )
    )
    harness.settle()
    base_term = harness.world.agreed.lease.term
    harness.log.add(LeaseClaim(who.name, who.incarnation, base_term))
    harness.settle()


def report_member(
    harness: ProcessHarness, member: int, state: TaskState, job: str = "a"
) -> None:
    incarnation = harness.world.agreed.jobs.get(job).incarnation
    harness.world.inbox.put(MemberReport(job, incarnation, member, state))
    harness.settle()


def report_both(harness: ProcessHarness, state: TaskState) -> None:
    report_member(harness, 0, state)
    report_member(harness, 1, state)


def start_gang(harness: ProcessHarness) -> None:
    """Place a gang of two members and let them start."""
    place_gang(harness.log, "a", WORKERS)
    harness.settle()
    report_both(harness, TaskState.RESERVED)
    report_both(harness, TaskState.RUNNING)


def stops(harness: ProcessHarness) -> list[GangStop]:
    return harness.log.bodies(GangStop)


def ends(harness: ProcessHarness) -> list[GangEnd]:
    return harness.log.bodies(GangEnd)


def ms_until_end(harness: ProcessHarness, max_ms: int) -> int:
    begin_ms = harness.now_ms
    while not ends(harness) and harness.now_ms - begin_ms < max_ms:
        harness.run(50)
    assert ends(harness)
    return harness.now_ms - begin_ms


def test_gang_is_released_once_all_members_are_reserved(
    harness: ProcessHarness,
) -> None:
    place_gang(harness.log, "a", WORKERS)
    harness.settle()
    report_member(harness, 0, TaskState.RESERVED)
    assert not harness.log.bodies(GangRelease)
    report_member(harness, 1, TaskState.RESERVED)
    harness.run(2_000)
    assert len(harness.log.bodies(GangRelease)) == 1


@pytest.mark.parametrize(
    "state", [TaskState.REFUSED, TaskState.FAILED, TaskState.STOPPED]
)
def test_broken_member_before_release_stops_the_gang(
    harness: ProcessHarness, state: TaskState
) -> None:
    place_gang(harness.log, "a", WORKERS)
    harness.settle()
    report_member(harness, 0, state)
    report_member(harness, 1, TaskState.RESERVED)
    harness.run(2_000)
    assert not harness.log.bodies(GangRelease)
    assert len(stops(harness)) == 1


def test_gang_with_refused_member_ends_after_reservations_expire(
    harness: ProcessHarness,
) -> None:
    place_gang(harness.log, "a", WORKERS)
    harness.settle()
    report_member(harness, 0, TaskState.REFUSED)
    report_member(harness, 1, TaskState.STOPPED)
    assert not ends(harness)
    assert 1_500 <= ms_until_end(harness, 60_000) <= 3_000


def test_reserve_timeout_stops_the_gang(harness: ProcessHarness) -> None:
    place_gang(harness.log, "a", WORKERS)
    harness.settle()
    report_member(harness, 0, TaskState.RESERVED)
    harness.run(RESERVE_TIMEOUT_MS - 100)
    assert not stops(harness)
    harness.run(200)
    assert len(stops(harness)) == 1


def test_late_report_does_not_change_a_final_state(harness: ProcessHarness) -> None:
    place_gang(harness.log, "a", WORKERS)
    harness.settle()
    harness.log.up = False
    report_member(harness, 0, TaskState.STOPPED)
    report_both(harness, TaskState.RESERVED)
    harness.log.up = True
    harness.run(2_000)
    assert not harness.log.bodies(GangRelease)


def test_gang_ends_when_all_members_are_final(harness: ProcessHarness) -> None:
    start_gang(harness)
    report_member(harness, 1, TaskState.STOPPED)
    assert [row.reason for row in stops(harness)] == ["member 1 is stopped"]
    assert not ends(harness)
    report_member(harness, 0, TaskState.STOPPED)
    assert len(ends(harness)) == 1


def test_stop_after_failure_names_the_worker(harness: ProcessHarness) -> None:
    start_gang(harness)
    report_member(harness, 1, TaskState.FAILED)
    assert [row.failed_worker for row in stops(harness)] == ["worker-1"]


def test_gang_with_stopped_member_ends_after_leases_expire(
    harness: ProcessHarness,
) -> None:
    start_gang(harness)
    report_member(harness, 1, TaskState.STOPPED)
    waited_ms = ms_until_end(harness, 60_000)
    timeout_ms = 2 * LEASE_MS + GRACE_MS + CLOCK_DRIFT_MS
    assert timeout_ms <= waited_ms <= timeout_ms + 100


def test_finished_member_does_not_shorten_the_wait_for_others(
    harness: ProcessHarness,
) -> None:
    start_gang(harness)
    report_member(harness, 1, TaskState.FINISHED)
    harness.log.add(JobCancel("a", "enough"))
    harness.run(60_000)
    assert not ends(harness)
    ms_until_end(harness, ISOLATION_LIMIT_MS)


def test_leases_count_from_the_report_of_a_stopped_member(
    harness: ProcessHarness,
) -> None:
    start_gang(harness)
    harness.log.add(JobCancel("a", "enough"))
    harness.run(100_000)
    report_member(harness, 1, TaskState.STOPPED)
    assert not ends(harness)
    assert ms_until_end(harness, 60_000) >= 2 * LEASE_MS


def test_unreleased_gang_ends_after_reservations_expire(
    harness: ProcessHarness,
) -> None:
    place_gang(harness.log, "a", WORKERS)
    harness.settle()
    harness.log.add(JobCancel("a", "enough"))
    assert ms_until_end(harness, 60_000) <= 3_000


def test_unreported_gang_is_stopped_after_the_isolation_limit(
    harness: ProcessHarness,
) -> None:
    start_gang(harness)
    harness.run(ISOLATION_LIMIT_MS - 1_000)
    assert not stops(harness)
    harness.run(2 * MEMBER_TIMEOUT_MS)
    assert len(stops(harness)) == 1


def test_gang_with_one_running_member_is_not_stopped(harness: ProcessHarness) -> None:
    start_gang(harness)
    for _ in range(4):
        harness.run(MEMBER_TIMEOUT_MS // 2)
        report_member(harness, 0, TaskState.RUNNING)
    assert not stops(harness)


def test_member_is_not_lost_between_full_reports(harness: ProcessHarness) -> None:
    start_gang(harness)
    report_member(harness, 0, TaskState.FINISHED)
    harness.run(MEMBER_TIMEOUT_MS - 1_000)
    assert not stops(harness)


def test_gang_is_stopped_when_its_only_unfinished_member_is_lost(
    harness: ProcessHarness,
) -> None:
    start_gang(harness)
    report_member(harness, 0, TaskState.FINISHED)
    for _ in range(20):
        harness.run(MEMBER_TIMEOUT_MS // 8)
        report_member(harness, 0, TaskState.FINISHED)
    assert len(stops(harness)) == 1


def test_new_holder_counts_limits_from_its_own_first_observation(
    harness: ProcessHarness, log: FakeLog
) -> None:
    start_gang(harness)
    report_member(harness, 1, TaskState.STOPPED)
    harness.run(2 * LEASE_MS)
    rival = make_entry_harness(log, harness.clock, 1)
    rival.settle()
    claim(rival)
    rival.run(2 * LEASE_MS)
    assert not ends(rival)
    report_member(rival, 0, TaskState.STOPPED)
    report_member(rival, 1, TaskState.STOPPED)
    assert len(ends(rival)) == 1


def test_former_holder_changes_nothing(harness: ProcessHarness, log: FakeLog) -> None:
    place_gang(log, "a", WORKERS)
    harness.settle()
    rival = make_entry_harness(log, harness.clock, 1)
    rival.settle()
    claim(rival)
    log.add(JobCancel("a", "enough"))
    report_both(harness, TaskState.RESERVED)
    harness.run(5_000)
    releases = harness.log.bodies(GangRelease)
    assert len(releases) <= 1
    assert harness.world.agreed.gangs.get("a/1").released_wall_ms == 0


def test_reports_before_the_claim_are_used_after_it(
    harness: ProcessHarness, log: FakeLog
) -> None:
    place_gang(log, "a", WORKERS)
    rival = make_entry_harness(log, harness.clock, 1)
    rival.settle()
    report_both(rival, TaskState.RESERVED)
    claim(rival)
    rival.run(100)
    assert len(log.bodies(GangRelease)) == 1


def test_state_of_ended_gangs_is_removed(harness: ProcessHarness) -> None:
    start_gang(harness)
    harness.log.add(JobCancel("a", "enough"))
    harness.settle()
    report_both(harness, TaskState.STOPPED)
    harness.run(2_000)
    world = harness.world
    assert "a/1" not in world.gang_view.stages
    assert not world.member_statuses.find("key", "a/1")


def test_cancellation_wave_ends_every_gang(harness: ProcessHarness) -> None:
    names = [f"job-{number}" for number in range(200)]
    for name in names:
        place_gang(harness.log, name, WORKERS)
    harness.settle()
    harness.log.add(*(JobCancel(name, "wave") for name in names))
    harness.settle()
    for name in names:
        for member in range(2):
            harness.world.inbox.put(MemberReport(name, 1, member, TaskState.STOPPED))
    harness.settle()
    harness.run(3_000)
    assert len(ends(harness)) == len(names)
    assert len(harness.world.agreed.gangs) == 0


def test_tick_without_changes_checks_no_gang(
    harness: ProcessHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    for number in range(50):
        name = f"job-{number}"
        place_gang(harness.log, name, WORKERS)
        release_gang(harness.log, name)
    harness.settle()
    checked = []
    monkeypatch.setattr(
        importlib.import_module("kingcuppost.systems.jobs.gangs"),
        "_advance",
        lambda world, gang, now_ms: checked.append(gang.key),
    )
    harness.run(2_000)
    assert checked == []
    harness.world.inbox.put(MemberReport("job-7", 1, 0, TaskState.RUNNING))
    harness.settle()
    assert checked == ["job-7/1"]


def test_worker_that_does_not_reserve_is_paused(harness: ProcessHarness) -> None:
    place_gang(harness.log, "a", WORKERS)
    harness.settle()
    report_member(harness, 0, TaskState.RESERVED)
    harness.run(RESERVE_TIMEOUT_MS + 100)
    unanswered, reserved = WORKERS[1], WORKERS[0]
    faults = harness.world.scheduling.faults
    assert faults.get(unanswered).paused
    assert faults.get(reserved) is None
    assert harness.world.scheduling.workers.get(unanswered).free_class < 0
    harness.run(PAUSE_MS)
    assert not faults.get(unanswered).paused
    assert harness.world.scheduling.workers.get(unanswered).free_class >= 0


def test_pause_doubles_until_the_worker_reserves(harness: ProcessHarness) -> None:
    harness.settle()
    faults = harness.world.scheduling.faults
    pauses_ms = []
    for _ in range(3):
        pause_worker(harness.world, WORKERS[0], harness.now_ms)
        pauses_ms.append(faults.get(WORKERS[0]).resume_ms - harness.now_ms)
        assert harness.world.scheduling.workers.get(WORKERS[0]).free_class < 0
        harness.run(pauses_ms[-1] + 100)
        assert not faults.get(WORKERS[0]).paused
    assert pauses_ms == [PAUSE_MS, 2 * PAUSE_MS, 4 * PAUSE_MS]
    pause_worker(harness.world, WORKERS[0], harness.now_ms)
    reset_refusals(harness.world, WORKERS[0])
    assert faults.get(WORKERS[0]) is None
    assert harness.world.scheduling.workers.get(WORKERS[0]).free_class >= 0


def test_members_that_fail_during_a_pause_do_not_prolong_it(
    harness: ProcessHarness,
) -> None:
    harness.settle()
    for _ in range(8):
        pause_worker(harness.world, WORKERS[0], harness.now_ms)
    faults = harness.world.scheduling.faults.get(WORKERS[0])
    assert faults.resume_ms - harness.now_ms == PAUSE_MS
