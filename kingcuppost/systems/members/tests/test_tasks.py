"""Members at one sidecar: reservations, starts, leases, stops, adoption."""

import pytest

from kingcuppost.systems.member_timing import reservation_ms
from kingcuppost.systems.tests.process_harness import (
    START_MS,
    FakeLog,
    ProcessHarness,
    make_cluster_log,
    make_sidecar_harness,
    place_gang,
    release_gang,
    term_of,
)
from kingcuppost.tables.inbox import GangReplyArrived, GangReportArrived, WorkerAnswered
from kingcuppost.tables.outbox import (
    CheckpointTask,
    RenewTasks,
    ReserveTask,
    SendGangReports,
    StartTask,
    StopTask,
)
from kingcuppost.tables.record import (
    GangEnd,
    GangFinish,
    GangStop,
    JobCancel,
    SettingPut,
    ZonePut,
)
from kingcuppost.tables.task import MemberReport, TaskState
from kingcuppost.utils import ManualClock

OWN_WORKER = "worker-0"
OTHER_WORKER = "worker-1"
LEASE_MS = 5_000
CONFIRMATION_MS = LEASE_MS // 2


@pytest.fixture
def log() -> FakeLog:
    return make_cluster_log()


@pytest.fixture
def harness(log: FakeLog) -> ProcessHarness:
    harness = make_sidecar_harness(log, ManualClock(START_MS))
    harness.settle()
    return harness


def restart_sidecar(harness: ProcessHarness) -> ProcessHarness:
    """Return a harness with a new sidecar process at the same worker."""
    restarted = make_sidecar_harness(harness.log, harness.clock)
    restarted.worker = harness.worker
    restarted.settle()
    return restarted


def start_gang_of_one(harness: ProcessHarness, job: str = "a") -> str:
    """Start a gang of one member; return its task id."""
    place_gang(harness.log, job, (OWN_WORKER,))
    harness.settle()
    release_gang(harness.log, job)
    harness.settle()
    return f"{job}/1/0"


def start_gang_led_elsewhere(harness: ProcessHarness) -> str:
    """Start member 1 of a gang that is led at the other worker; return its task id."""
    place_gang(harness.log, "a", (OTHER_WORKER, OWN_WORKER))
    harness.settle()
    release_gang(harness.log, "a")
    harness.settle()
    return "a/1/1"


def confirm(harness: ProcessHarness, sent_ms: int) -> None:
    harness.world.inbox.put(GangReplyArrived(OTHER_WORKER, True, sent_ms, ("a/1",), ()))
    harness.settle()


def take_zone_out(log: FakeLog) -> None:
    log.add(ZonePut("vid-a", "vidzeme", False, 1))


def test_reserved_member_stays_reserved_until_its_release(
    harness: ProcessHarness,
) -> None:
    place_gang(harness.log, "a", (OWN_WORKER, OTHER_WORKER))
    harness.settle()
    harness.run(4 * reservation_ms(harness.world))
    assert harness.task("a/1/0").state is TaskState.RESERVED
    assert harness.worker.state("a/1/0") is TaskState.RESERVED


def test_reservation_lapses_when_the_log_is_cut(harness: ProcessHarness) -> None:
    place_gang(harness.log, "a", (OWN_WORKER, OTHER_WORKER))
    harness.settle()
    harness.log.up = False
    harness.run(3_000)
    assert harness.worker.state("a/1/0") is TaskState.STOPPED
    assert harness.task("a/1/0").state is TaskState.STOPPED


@pytest.mark.parametrize("fresh_ms", [50, 1_000, 2_000])
def test_delayed_start_order_has_no_effect_after_the_zone_limit(
    log: FakeLog, fresh_ms: int
) -> None:
    log.add(SettingPut("", "log.fresh_ms", fresh_ms, 0))
    harness = make_sidecar_harness(log, ManualClock(START_MS))
    harness.settle()
    place_gang(log, "a", (OWN_WORKER,))
    harness.settle()
    harness.run(2_000)
    harness.withheld_types = (StartTask,)
    release_gang(log, "a")
    harness.settle()
    harness.run(100)
    assert harness.withheld, "no start order is pending"
    take_zone_out(log)
    harness.run(3_000 - fresh_ms)
    harness.deliver_withheld()
    harness.settle()
    assert harness.worker.tasks["a/1/0"].starts == 0


def test_no_start_while_a_renewal_is_pending(harness: ProcessHarness) -> None:
    place_gang(harness.log, "a", (OWN_WORKER,))
    harness.settle()
    harness.withheld_types = (RenewTasks,)
    harness.run(1_000)
    assert harness.withheld
    release_gang(harness.log, "a")
    harness.settle()
    assert harness.task("a/1/0").state is TaskState.RESERVED
    harness.withheld_types = ()
    harness.deliver_withheld()
    harness.settle()
    assert harness.task("a/1/0").state is TaskState.RUNNING


def test_no_start_in_a_zone_taken_out_of_service_before_the_release(
    harness: ProcessHarness,
) -> None:
    place_gang(harness.log, "a", (OWN_WORKER,))
    harness.settle()
    release_gang(harness.log, "a")
    take_zone_out(harness.log)
    harness.settle()
    assert harness.worker.tasks["a/1/0"].starts == 0
    assert harness.task("a/1/0").state is TaskState.STOPPED


def test_paused_sidecar_starts_nothing_on_a_stale_view(harness: ProcessHarness) -> None:
    place_gang(harness.log, "a", (OWN_WORKER,))
    harness.settle()
    release_gang(harness.log, "a")
    take_zone_out(harness.log)
    harness.clock.advance(60_000)
    harness.settle()
    assert harness.worker.tasks["a/1/0"].starts == 0


def test_single_running_member_keeps_running(harness: ProcessHarness) -> None:
    task_id = start_gang_of_one(harness)
    harness.run(3 * LEASE_MS)
    assert harness.worker.state(task_id) is TaskState.RUNNING


def test_each_task_is_renewed_with_its_own_lease(harness: ProcessHarness) -> None:
    alone = start_gang_of_one(harness, "long")
    harness.log.add(SettingPut("", "job.checkpoint_grace_ms", 0, 0))
    led = start_gang_led_elsewhere(harness)
    harness.run(LEASE_MS - 200)
    last = [row for row in harness.sent if isinstance(row, RenewTasks)][-1]
    leases = {row.task_id: row.lease_ms for row in last.leases}
    assert leases[led] < 1_000 < leases[alone]
    harness.run(400)
    assert harness.worker.state(led) is TaskState.STOPPED
    assert harness.worker.state(alone) is TaskState.RUNNING


def test_lease_starts_when_the_report_was_sent(harness: ProcessHarness) -> None:
    task_id = start_gang_led_elsewhere(harness)
    started_ms = harness.now_ms
    harness.run(4_000)
    confirm(harness, started_ms + 3_000)
    assert harness.task(task_id).lease_expiry_ms == started_ms + 3_000 + CONFIRMATION_MS
    confirm(harness, started_ms + 100)
    assert harness.task(task_id).lease_expiry_ms == started_ms + 3_000 + CONFIRMATION_MS


def test_paused_sidecar_extends_no_lease_by_a_stale_confirmation(
    harness: ProcessHarness,
) -> None:
    task_id = start_gang_led_elsewhere(harness)
    sent_ms = harness.now_ms
    harness.clock.advance(2 * LEASE_MS)
    confirm(harness, sent_ms)
    harness.run(100)
    assert harness.worker.state(task_id) is TaskState.STOPPED
    assert harness.task(task_id).state is TaskState.STOPPED


def test_broken_gang_stops_at_once(harness: ProcessHarness) -> None:
    task_id = start_gang_led_elsewhere(harness)
    reply = GangReplyArrived(OTHER_WORKER, True, harness.now_ms, (), ("a/1",))
    harness.world.inbox.put(reply)
    harness.settle()
    assert harness.worker.state(task_id) is TaskState.STOPPED


def test_lease_lapses_for_a_task_that_ignores_stop(harness: ProcessHarness) -> None:
    task_id = start_gang_of_one(harness)
    harness.worker.ignores_stop = True
    harness.run(1_000)
    harness.log.add(JobCancel("a", "enough"))
    harness.settle()
    assert harness.task(task_id).state is TaskState.STOPPING
    harness.run(LEASE_MS)
    assert harness.worker.state(task_id) is TaskState.STOPPED
    assert harness.task(task_id).state is TaskState.STOPPED


def test_stop_waits_for_the_checkpoint(harness: ProcessHarness) -> None:
    start_gang_of_one(harness)
    harness.withheld_types = (CheckpointTask,)
    harness.log.add(JobCancel("a", "enough"))
    harness.run(1_000)
    assert not [row for row in harness.sent if isinstance(row, StopTask)]
    harness.deliver_withheld()
    harness.settle()
    assert harness.worker.state("a/1/0") is TaskState.STOPPED


def test_stop_is_repeated_until_the_worker_stops_the_task(
    harness: ProcessHarness,
) -> None:
    task_id = start_gang_of_one(harness)
    harness.withheld_types = (StopTask,)
    harness.log.add(JobCancel("a", "enough"))
    harness.run(1_100)
    assert len(harness.withheld) > 1
    assert harness.task(task_id).state is TaskState.STOPPING
    harness.withheld_types = ()
    harness.run(600)
    assert harness.task(task_id).state is TaskState.STOPPED


def test_lost_start_answer_stops_the_member(harness: ProcessHarness) -> None:
    place_gang(harness.log, "a", (OWN_WORKER,))
    harness.settle()
    harness.withheld_types = (StartTask,)
    release_gang(harness.log, "a")
    harness.settle()
    order = harness.withheld.pop()
    harness.worker.answer(order, harness.now_ms)
    harness.world.inbox.put(WorkerAnswered("start", "a/1/0", False, reason="timed out"))
    harness.settle()
    assert harness.worker.state("a/1/0") is TaskState.STOPPED
    assert harness.task("a/1/0").state is TaskState.STOPPED


def make_worker_unresponsive(harness: ProcessHarness) -> None:
    harness.withheld_types = (RenewTasks, StopTask, CheckpointTask)


def run_with_lost_orders(harness: ProcessHarness, for_ms: int) -> None:
    """Advance time while every order to the worker is lost."""
    for _ in range(for_ms // 500):
        harness.run(500)
        withheld, harness.withheld = harness.withheld, []
        for order in withheld:
            name = {RenewTasks: "renew", StopTask: "stop"}.get(type(order))
            task_id = getattr(order, "task_id", "")
            failed = WorkerAnswered(
                name or "checkpoint", task_id, False, reason="no answer"
            )
            harness.world.inbox.put(failed)


def test_member_of_a_dead_worker_is_not_reported_running(
    harness: ProcessHarness,
) -> None:
    task_id = start_gang_of_one(harness)
    harness.run(2_000)
    make_worker_unresponsive(harness)
    run_with_lost_orders(harness, 12_000)
    assert harness.task(task_id).state is TaskState.STOPPED


def test_gang_is_broken_when_the_worker_of_its_leader_dies(
    harness: ProcessHarness,
) -> None:
    start_gang_led_here(harness)
    for _ in range(4):
        report_to_leader(harness, report(1, TaskState.RUNNING))
        harness.run(500)
    make_worker_unresponsive(harness)
    for _ in range(CONFIRMATION_MS // 500 + 1):
        report_to_leader(harness, report(1, TaskState.RUNNING))
        run_with_lost_orders(harness, 500)
    assert harness.world.gang_monitors.get("a/1").broken_reason


def test_member_lost_before_its_release_is_reported_stopped(
    harness: ProcessHarness,
) -> None:
    place_gang(harness.log, "a", (OWN_WORKER, OTHER_WORKER))
    harness.settle()
    del harness.worker.tasks["a/1/0"]
    harness.run(600)
    assert harness.task("a/1/0").state is TaskState.STOPPED


def test_ended_members_are_deleted_after_their_gang(harness: ProcessHarness) -> None:
    task_id = start_gang_of_one(harness)
    harness.log.add(JobCancel("a", "enough"))
    harness.run(600)
    assert harness.task(task_id).state is TaskState.STOPPED
    harness.log.add(GangEnd(term_of(harness.log), "a", 1))
    harness.run(600)
    assert len(harness.world.tasks) == 0
    stops = len([row for row in harness.sent if isinstance(row, StopTask)])
    start_gang_of_one(harness, "b")
    harness.run(2_000)
    assert len([row for row in harness.sent if isinstance(row, StopTask)]) == stops


def test_restarted_sidecar_adopts_a_running_member(harness: ProcessHarness) -> None:
    task_id = start_gang_of_one(harness)
    restarted = restart_sidecar(harness)
    restarted.run(2 * LEASE_MS)
    assert restarted.worker.state(task_id) is TaskState.RUNNING
    assert restarted.worker.tasks[task_id].starts == 1


def test_restarted_sidecar_renews_only_confirmed_members(
    harness: ProcessHarness,
) -> None:
    task_id = start_gang_led_elsewhere(harness)
    lease_expiry_ms = harness.worker.tasks[task_id].lease_expiry_ms
    restarted = restart_sidecar(harness)
    restarted.run(1_000)
    assert restarted.worker.tasks[task_id].lease_expiry_ms == lease_expiry_ms
    confirm(restarted, restarted.now_ms)
    restarted.run(600)
    assert restarted.worker.state(task_id) is TaskState.RUNNING


def test_restarted_sidecar_stops_a_reservation(harness: ProcessHarness) -> None:
    place_gang(harness.log, "a", (OWN_WORKER, OTHER_WORKER))
    harness.settle()
    restarted = restart_sidecar(harness)
    restarted.run(100)
    assert restarted.worker.state("a/1/0") is TaskState.STOPPED
    assert restarted.task("a/1/0").state is TaskState.STOPPED


def test_restarted_sidecar_stops_members_of_an_ended_gang(
    harness: ProcessHarness,
) -> None:
    task_id = start_gang_of_one(harness)
    harness.log.add(JobCancel("a", "enough"), GangEnd(term_of(harness.log), "a", 1))
    restarted = restart_sidecar(harness)
    restarted.run(600)
    assert restarted.worker.state(task_id) is TaskState.STOPPED
    assert len(restarted.world.tasks) == 0


def test_restarted_sidecar_reports_a_lost_member_stopped(
    harness: ProcessHarness,
) -> None:
    task_id = start_gang_of_one(harness)
    harness.worker.tasks.clear()
    restarted = restart_sidecar(harness)
    assert restarted.task(task_id).state is TaskState.STOPPED


def test_tasks_of_others_are_not_stopped(harness: ProcessHarness) -> None:
    task_id = start_gang_of_one(harness)
    harness.worker.tasks["other"] = harness.worker.tasks[task_id]
    harness.run(1_000)
    assert not [row for row in harness.sent if isinstance(row, StopTask)]


def test_members_of_ended_gangs_are_not_reserved_again(harness: ProcessHarness) -> None:
    start_gang_of_one(harness)
    harness.log.add(JobCancel("a", "enough"), GangEnd(term_of(harness.log), "a", 1))
    harness.worker.tasks.clear()
    restarted = restart_sidecar(harness)
    assert not [row for row in restarted.sent if isinstance(row, ReserveTask)]


def report(member: int, state: TaskState, result: str = "") -> MemberReport:
    return MemberReport("a", 1, member, state, result)


def report_to_leader(harness: ProcessHarness, *reports: MemberReport) -> None:
    harness.world.inbox.put(GangReportArrived("x", OTHER_WORKER, reports))
    harness.settle()


def start_gang_led_here(harness: ProcessHarness) -> str:
    """Start member 0, the leader, of a gang of two; return its task id."""
    place_gang(harness.log, "a", (OWN_WORKER, OTHER_WORKER))
    harness.settle()
    release_gang(harness.log, "a")
    harness.settle()
    return "a/1/0"


def test_leader_confirms_no_member_before_all_run(harness: ProcessHarness) -> None:
    task_id = start_gang_led_here(harness)
    lease_expiry_ms = harness.task(task_id).lease_expiry_ms
    harness.run(CONFIRMATION_MS - 100)
    assert harness.worker.state(task_id) is TaskState.RUNNING
    assert harness.task(task_id).lease_expiry_ms == lease_expiry_ms
    harness.run(LEASE_MS - CONFIRMATION_MS)
    assert harness.worker.state(task_id) is TaskState.STOPPED


def test_gang_with_a_missing_member_ends_within_the_lease(
    harness: ProcessHarness,
) -> None:
    task_id = start_gang_led_here(harness)
    for _ in range(20):
        report_to_leader(harness, report(1, TaskState.RUNNING))
        harness.run(500)
    last_report_ms = harness.now_ms - 500
    assert harness.worker.state(task_id) is TaskState.RUNNING
    while harness.worker.state(task_id) is TaskState.RUNNING:
        harness.run(10)
    assert harness.now_ms - last_report_ms <= LEASE_MS


def test_failed_member_breaks_the_gang_at_once(harness: ProcessHarness) -> None:
    task_id = start_gang_led_here(harness)
    report_to_leader(harness, report(1, TaskState.RUNNING))
    report_to_leader(harness, report(1, TaskState.FAILED))
    harness.run(CONFIRMATION_MS)
    assert harness.worker.state(task_id) is TaskState.STOPPED


def test_finish_is_proposed_once_per_process(harness: ProcessHarness) -> None:
    task_id = start_gang_led_here(harness)
    report_to_leader(harness, report(1, TaskState.FINISHED, "one"))
    report_to_leader(harness, report(1, TaskState.FINISHED, "one"))
    harness.run(1_000)
    harness.log.up = False
    harness.worker.finish(task_id, "zero")
    harness.run(2_000)
    restarted = restart_sidecar(harness)
    assert not harness.log.bodies(GangFinish)
    harness.log.up = True
    restarted.settle()
    restarted.run(1_000)
    report_to_leader(restarted, report(1, TaskState.FINISHED, "one"))
    restarted.run(2_000)
    assert harness.log.bodies(GangFinish) == [GangFinish("a", 1, "zero")]
    harness.run(2_000)
    assert len(harness.log.bodies(GangFinish)) == 2
    restarted.settle()
    assert restarted.world.agreed.jobs.get("a").result == "zero"


def test_finished_member_is_reported_until_the_gang_ends(
    harness: ProcessHarness,
) -> None:
    task_id = start_gang_led_elsewhere(harness)
    harness.worker.finish(task_id, "one")
    harness.run(20_000)
    reports = [row for row in harness.sent if isinstance(row, SendGangReports)]
    assert harness.now_ms - reports[-1].sent_ms < CONFIRMATION_MS
    assert reports[-1].reports == (report(1, TaskState.FINISHED, "one"),)


def test_isolated_sidecar_stops_its_members(harness: ProcessHarness) -> None:
    harness.log.add(SettingPut("", "job.isolation_ms", 60_000, 0))
    task_id = start_gang_of_one(harness)
    harness.log.up = False
    harness.run(55_000)
    assert harness.worker.state(task_id) is TaskState.RUNNING
    harness.run(6_000)
    assert harness.worker.state(task_id) is TaskState.STOPPED


def test_isolation_limit_allows_for_heartbeats(harness: ProcessHarness) -> None:
    harness.log.add(SettingPut("", "job.isolation_ms", 1_000, 0))
    task_id = start_gang_of_one(harness)
    harness.log.up = False
    harness.run(29_000)
    assert harness.worker.state(task_id) is TaskState.RUNNING
    harness.run(2_000)
    assert harness.worker.state(task_id) is TaskState.STOPPED


def test_members_keep_running_without_the_log_while_an_entry_answers(
    harness: ProcessHarness,
) -> None:
    harness.log.add(SettingPut("", "job.isolation_ms", 20_000, 0))
    task_id = start_gang_of_one(harness)
    harness.log.up = False
    for _ in range(30):
        harness.run(1_000)
        harness.world.heartbeat_view.last_reply_ms = harness.now_ms
    assert harness.worker.state(task_id) is TaskState.RUNNING


def test_finish_waits_for_the_log_and_takes_effect_once(
    harness: ProcessHarness,
) -> None:
    task_id = start_gang_of_one(harness)
    harness.log.up = False
    harness.run(2_000)
    harness.worker.finish(task_id, "plan")
    harness.run(20_000)
    assert not harness.log.bodies(GangFinish)
    harness.log.up = True
    harness.run(2_000)
    assert harness.log.bodies(GangFinish) == [GangFinish("a", 1, "plan")]
    assert harness.world.agreed.jobs.get("a").result == "plan"


def test_gang_stopped_during_an_outage_of_the_log_stops_after_it(
    harness: ProcessHarness,
) -> None:
    task_id = start_gang_of_one(harness)
    harness.log.up = False
    harness.log.add(GangStop(term_of(harness.log), "a", 1, "reclaim"))
    harness.run(10_000)
    assert harness.worker.state(task_id) is TaskState.RUNNING
    harness.log.up = True
    harness.run(2_000)
    assert harness.worker.state(task_id) is TaskState.STOPPED
