"""Stages of gangs at the scheduler, without sockets."""

import importlib

import pytest

from kingcuppost.systems.jobs.faults import pause_worker, reset_refusals
from kingcuppost.systems.tests.worlds import (
    START_MS,
    Bench,
    FakeLog,
    entry_bench,
    place,
    release,
    site_log,
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
    log = site_log()
    log.add(
        SettingPut("", "job.placement_policy", "first_fit", 0),
        SettingPut("", "job.lost_ms", LOST_MS, 0),
        SettingPut("", "heartbeat.full_ms", FULL_REPORT_MS, 0),
    )
    return log


@pytest.fixture
def bench(log: FakeLog) -> Bench:
    """Return the entry that holds the scheduling lease."""
    bench = entry_bench(log, ManualClock(START_MS))
    bench.settle()
    claim(bench)
    return bench


def claim(bench: Bench) -> None:
    """Let a process claim the scheduling lease for a new term."""
    who = bench.world.identity
    bench.log.add(
        EntryAnnounce(
            who.name, who.availability_zone, who.incarnation, "127.0.0.1", 1, 2, 3
        )
    )
    bench.settle()
    base_term = bench.world.agreed.lease.term
    bench.log.add(LeaseClaim(who.name, who.incarnation, base_term))
    bench.settle()


def report_member(bench: Bench, member: int, state: TaskState, job: str = "a") -> None:
    incarnation = bench.world.agreed.jobs.get(job).incarnation
    bench.world.inbox.put(MemberReport(job, incarnation, member, state))
    bench.settle()


def report_both(bench: Bench, state: TaskState) -> None:
    report_member(bench, 0, state)
    report_member(bench, 1, state)


def start(bench: Bench) -> None:
    """Place a gang of two members and let them start."""
    place(bench.log, "a", WORKERS)
    bench.settle()
    report_both(bench, TaskState.RESERVED)
    report_both(bench, TaskState.RUNNING)


def stops(bench: Bench) -> list[GangStop]:
    return bench.log.bodies(GangStop)


def ends(bench: Bench) -> list[GangEnd]:
    return bench.log.bodies(GangEnd)


def ms_until_end(bench: Bench, max_ms: int) -> int:
    begin_ms = bench.now_ms
    while not ends(bench) and bench.now_ms - begin_ms < max_ms:
        bench.run(50)
    assert ends(bench)
    return bench.now_ms - begin_ms


def test_gang_is_released_once_all_members_are_reserved(bench: Bench) -> None:
    place(bench.log, "a", WORKERS)
    bench.settle()
    report_member(bench, 0, TaskState.RESERVED)
    assert not bench.log.bodies(GangRelease)
    report_member(bench, 1, TaskState.RESERVED)
    bench.run(2_000)
    assert len(bench.log.bodies(GangRelease)) == 1


@pytest.mark.parametrize(
    "state", [TaskState.REFUSED, TaskState.FAILED, TaskState.STOPPED]
)
def test_broken_member_before_release_stops_the_gang(
    bench: Bench, state: TaskState
) -> None:
    place(bench.log, "a", WORKERS)
    bench.settle()
    report_member(bench, 0, state)
    report_member(bench, 1, TaskState.RESERVED)
    bench.run(2_000)
    assert not bench.log.bodies(GangRelease)
    assert len(stops(bench)) == 1


def test_gang_with_refused_member_ends_after_reservations_expire(
    bench: Bench,
) -> None:
    place(bench.log, "a", WORKERS)
    bench.settle()
    report_member(bench, 0, TaskState.REFUSED)
    report_member(bench, 1, TaskState.STOPPED)
    assert not ends(bench)
    assert 1_500 <= ms_until_end(bench, 60_000) <= 3_000


def test_reserve_timeout_stops_the_gang(bench: Bench) -> None:
    place(bench.log, "a", WORKERS)
    bench.settle()
    report_member(bench, 0, TaskState.RESERVED)
    bench.run(RESERVE_TIMEOUT_MS - 100)
    assert not stops(bench)
    bench.run(200)
    assert len(stops(bench)) == 1


def test_late_report_does_not_change_a_final_state(bench: Bench) -> None:
    place(bench.log, "a", WORKERS)
    bench.settle()
    bench.log.up = False
    report_member(bench, 0, TaskState.STOPPED)
    report_both(bench, TaskState.RESERVED)
    bench.log.up = True
    bench.run(2_000)
    assert not bench.log.bodies(GangRelease)


def test_gang_ends_when_all_members_are_final(bench: Bench) -> None:
    start(bench)
    report_member(bench, 1, TaskState.STOPPED)
    assert [row.reason for row in stops(bench)] == ["member 1 is stopped"]
    assert not ends(bench)
    report_member(bench, 0, TaskState.STOPPED)
    assert len(ends(bench)) == 1


def test_stop_after_failure_names_the_worker(bench: Bench) -> None:
    start(bench)
    report_member(bench, 1, TaskState.FAILED)
    assert [row.failed_worker for row in stops(bench)] == ["worker-1"]


def test_gang_with_stopped_member_ends_after_leases_expire(bench: Bench) -> None:
    start(bench)
    report_member(bench, 1, TaskState.STOPPED)
    waited_ms = ms_until_end(bench, 60_000)
    bound_ms = 2 * LEASE_MS + GRACE_MS + CLOCK_DRIFT_MS
    assert bound_ms <= waited_ms <= bound_ms + 100


def test_finished_member_does_not_shorten_the_wait_for_others(bench: Bench) -> None:
    start(bench)
    report_member(bench, 1, TaskState.FINISHED)
    bench.log.add(JobCancel("a", "enough"))
    bench.run(60_000)
    assert not ends(bench)
    ms_until_end(bench, ISOLATION_LIMIT_MS)


def test_leases_count_from_the_report_of_a_stopped_member(bench: Bench) -> None:
    start(bench)
    bench.log.add(JobCancel("a", "enough"))
    bench.run(100_000)
    report_member(bench, 1, TaskState.STOPPED)
    assert not ends(bench)
    assert ms_until_end(bench, 60_000) >= 2 * LEASE_MS


def test_unreleased_gang_ends_after_reservations_expire(
    bench: Bench,
) -> None:
    place(bench.log, "a", WORKERS)
    bench.settle()
    bench.log.add(JobCancel("a", "enough"))
    assert ms_until_end(bench, 60_000) <= 3_000


def test_unreported_gang_is_stopped_after_the_isolation_limit(bench: Bench) -> None:
    start(bench)
    bench.run(ISOLATION_LIMIT_MS - 1_000)
    assert not stops(bench)
    bench.run(2 * MEMBER_TIMEOUT_MS)
    assert len(stops(bench)) == 1


def test_gang_with_one_running_member_is_not_stopped(bench: Bench) -> None:
    start(bench)
    for _ in range(4):
        bench.run(MEMBER_TIMEOUT_MS // 2)
        report_member(bench, 0, TaskState.RUNNING)
    assert not stops(bench)


def test_member_is_not_lost_between_full_reports(bench: Bench) -> None:
    start(bench)
    report_member(bench, 0, TaskState.FINISHED)
    bench.run(MEMBER_TIMEOUT_MS - 1_000)
    assert not stops(bench)


def test_gang_is_stopped_when_its_only_unfinished_member_is_lost(bench: Bench) -> None:
    start(bench)
    report_member(bench, 0, TaskState.FINISHED)
    for _ in range(20):
        bench.run(MEMBER_TIMEOUT_MS // 8)
        report_member(bench, 0, TaskState.FINISHED)
    assert len(stops(bench)) == 1


def test_new_holder_counts_limits_from_its_own_first_observation(
    bench: Bench, log: FakeLog
) -> None:
    start(bench)
    report_member(bench, 1, TaskState.STOPPED)
    bench.run(2 * LEASE_MS)
    rival = entry_bench(log, bench.clock, 1)
    rival.settle()
    claim(rival)
    rival.run(2 * LEASE_MS)
    assert not ends(rival)
    report_member(rival, 0, TaskState.STOPPED)
    report_member(rival, 1, TaskState.STOPPED)
    assert len(ends(rival)) == 1


def test_former_holder_changes_nothing(bench: Bench, log: FakeLog) -> None:
    place(log, "a", WORKERS)
    bench.settle()
    rival = entry_bench(log, bench.clock, 1)
    rival.settle()
    claim(rival)
    log.add(JobCancel("a", "enough"))
    report_both(bench, TaskState.RESERVED)
    bench.run(5_000)
    releases = bench.log.bodies(GangRelease)
    assert len(releases) <= 1
    assert bench.world.agreed.gangs.get("a/1").released_wall_ms == 0


def test_reports_before_the_claim_are_used_after_it(bench: Bench, log: FakeLog) -> None:
    place(log, "a", WORKERS)
    rival = entry_bench(log, bench.clock, 1)
    rival.settle()
    report_both(rival, TaskState.RESERVED)
    claim(rival)
    rival.run(100)
    assert len(log.bodies(GangRelease)) == 1


def test_state_of_ended_gangs_is_removed(bench: Bench) -> None:
    start(bench)
    bench.log.add(JobCancel("a", "enough"))
    bench.settle()
    report_both(bench, TaskState.STOPPED)
    bench.run(2_000)
    world = bench.world
    assert "a/1" not in world.gang_view.stages
    assert not world.reservations.find("key", "a/1")


def test_cancellation_wave_ends_every_gang(bench: Bench) -> None:
    names = [f"job-{number}" for number in range(200)]
    for name in names:
        place(bench.log, name, WORKERS)
    bench.settle()
    bench.log.add(*(JobCancel(name, "wave") for name in names))
    bench.settle()
    for name in names:
        for member in range(2):
            bench.world.inbox.put(MemberReport(name, 1, member, TaskState.STOPPED))
    bench.settle()
    bench.run(3_000)
    assert len(ends(bench)) == len(names)
    assert len(bench.world.agreed.gangs) == 0


def test_tick_without_changes_checks_no_gang(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    for number in range(50):
        name = f"job-{number}"
        place(bench.log, name, WORKERS)
        release(bench.log, name)
    bench.settle()
    checked = []
    monkeypatch.setattr(
        importlib.import_module("kingcuppost.systems.jobs.gangs"),
        "_advance",
        lambda world, gang, now_ms: checked.append(gang.key),
    )
    bench.run(2_000)
    assert checked == []
    bench.world.inbox.put(MemberReport("job-7", 1, 0, TaskState.RUNNING))
    bench.settle()
    assert checked == ["job-7/1"]


def test_worker_that_does_not_reserve_is_paused(bench: Bench) -> None:
    place(bench.log, "a", WORKERS)
    bench.settle()
    report_member(bench, 0, TaskState.RESERVED)
    bench.run(RESERVE_TIMEOUT_MS + 100)
    unanswered, reserved = WORKERS[1], WORKERS[0]
    faults = bench.world.capacity.faults
    assert faults.get(unanswered).paused
    assert faults.get(reserved) is None
    assert bench.world.capacity.workers.get(unanswered).free_class < 0
    bench.run(PAUSE_MS)
    assert not faults.get(unanswered).paused
    assert bench.world.capacity.workers.get(unanswered).free_class >= 0


def test_pause_doubles_until_the_worker_reserves(bench: Bench) -> None:
    bench.settle()
    pauses = []
    for _ in range(3):
        pause_worker(bench.world, WORKERS[0], bench.now_ms)
        pauses.append(bench.world.capacity.faults.get(WORKERS[0]).resume_ms)
    assert [at - bench.now_ms for at in pauses] == [
        PAUSE_MS,
        2 * PAUSE_MS,
        4 * PAUSE_MS,
    ]
    reset_refusals(bench.world, WORKERS[0])
    assert bench.world.capacity.faults.get(WORKERS[0]) is None
    assert bench.world.capacity.workers.get(WORKERS[0]).free_class >= 0
