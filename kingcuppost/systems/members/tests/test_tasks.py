"""Members at one sidecar: reservations, starts, leases, stops, takeovers."""

import pytest

from kingcuppost.systems.leases import reservation_ms
from kingcuppost.systems.tests.worlds import (
    START_MS,
    Bench,
    FakeLog,
    place,
    release,
    sidecar_bench,
    site_log,
    term_of,
)
from kingcuppost.tables.inbox import GangReplyArrived, GangReportArrived, WorkerDone
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

OWN = "worker-0"
OTHER = "worker-1"
LEASE_MS = 5_000
CONFIRM_MS = LEASE_MS // 2


@pytest.fixture
def log() -> FakeLog:
    return site_log()


@pytest.fixture
def bench(log: FakeLog) -> Bench:
    bench = sidecar_bench(log, ManualClock(START_MS))
    bench.settle()
    return bench


def restarted(bench: Bench) -> Bench:
    """Return a new process beside the same worker."""
    again = sidecar_bench(bench.log, bench.clock)
    again.worker = bench.worker
    again.settle()
    return again


def run_alone(bench: Bench, job: str = "a") -> str:
    """Start a gang of one; return its task."""
    place(bench.log, job, (OWN,))
    bench.settle()
    release(bench.log, job)
    bench.settle()
    return f"{job}/1/0"


def run_led_elsewhere(bench: Bench) -> str:
    """Start member 1 of a gang whose leader is at the other worker."""
    place(bench.log, "a", (OTHER, OWN))
    bench.settle()
    release(bench.log, "a")
    bench.settle()
    return "a/1/1"


def confirm(bench: Bench, sent_ms: int) -> None:
    bench.world.inbox.put(GangReplyArrived(OTHER, True, sent_ms, ("a/1",), ()))
    bench.settle()


def zone_out(log: FakeLog) -> None:
    log.add(ZonePut("vid-a", "vidzeme", False, 1))


def test_reserved_member_stays_reserved_until_its_release(bench: Bench) -> None:
    place(bench.log, "a", (OWN, OTHER))
    bench.settle()
    bench.run(4 * reservation_ms(bench.world))
    assert bench.task("a/1/0").state is TaskState.RESERVED
    assert bench.worker.state("a/1/0") is TaskState.RESERVED


def test_reservation_lapses_when_the_log_is_cut(bench: Bench) -> None:
    place(bench.log, "a", (OWN, OTHER))
    bench.settle()
    bench.log.up = False
    bench.run(3_000)
    assert bench.worker.state("a/1/0") is TaskState.STOPPED
    assert bench.task("a/1/0").state is TaskState.STOPPED


@pytest.mark.parametrize("fresh_ms", [50, 1_000, 2_000])
def test_late_start_takes_no_effect_after_the_zone_bound(
    log: FakeLog, fresh_ms: int
) -> None:
    log.add(SettingPut("", "log.fresh_ms", fresh_ms, 0))
    bench = sidecar_bench(log, ManualClock(START_MS))
    bench.settle()
    place(log, "a", (OWN,))
    bench.settle()
    bench.run(2_000)
    bench.withheld_types = (StartTask,)
    release(log, "a")
    bench.settle()
    bench.run(100)
    assert bench.kept, "the start is on its way"
    zone_out(log)
    bench.run(3_000 - fresh_ms)
    bench.deliver_kept()
    bench.settle()
    assert bench.worker.tasks["a/1/0"].starts == 0


def test_no_start_while_a_renewal_is_under_way(bench: Bench) -> None:
    place(bench.log, "a", (OWN,))
    bench.settle()
    bench.withheld_types = (RenewTasks,)
    bench.run(1_000)
    assert bench.kept
    release(bench.log, "a")
    bench.settle()
    assert bench.task("a/1/0").state is TaskState.RESERVED
    bench.withheld_types = ()
    bench.deliver_kept()
    bench.settle()
    assert bench.task("a/1/0").state is TaskState.RUNNING


def test_no_start_in_a_zone_taken_out_before_the_release(bench: Bench) -> None:
    place(bench.log, "a", (OWN,))
    bench.settle()
    release(bench.log, "a")
    zone_out(bench.log)
    bench.settle()
    assert bench.worker.tasks["a/1/0"].starts == 0
    assert bench.task("a/1/0").state is TaskState.STOPPED


def test_paused_sidecar_starts_nothing_on_its_old_view(bench: Bench) -> None:
    place(bench.log, "a", (OWN,))
    bench.settle()
    release(bench.log, "a")
    zone_out(bench.log)
    bench.clock.advance(60_000)
    bench.settle()
    assert bench.worker.tasks["a/1/0"].starts == 0


def test_running_member_alone_runs_on(bench: Bench) -> None:
    task_id = run_alone(bench)
    bench.run(3 * LEASE_MS)
    assert bench.worker.state(task_id) is TaskState.RUNNING


def test_each_task_is_renewed_with_its_own_lease(bench: Bench) -> None:
    alone = run_alone(bench, "long")
    bench.log.add(SettingPut("", "job.checkpoint_grace_ms", 0, 0))
    led = run_led_elsewhere(bench)
    bench.run(LEASE_MS - 200)
    last = [row for row in bench.sent if isinstance(row, RenewTasks)][-1]
    leases = {row.task_id: row.lease_ms for row in last.leases}
    assert leases[led] < 1_000 < leases[alone]
    bench.run(400)
    assert bench.worker.state(led) is TaskState.STOPPED
    assert bench.worker.state(alone) is TaskState.RUNNING


def test_lease_counts_from_when_the_report_was_sent(bench: Bench) -> None:
    task_id = run_led_elsewhere(bench)
    started_ms = bench.now_ms
    bench.run(4_000)
    confirm(bench, started_ms + 3_000)
    assert bench.task(task_id).lease_ms == started_ms + 3_000 + CONFIRM_MS
    confirm(bench, started_ms + 100)
    assert bench.task(task_id).lease_ms == started_ms + 3_000 + CONFIRM_MS


def test_paused_sidecar_prolongs_nothing_by_a_stale_confirmation(
    bench: Bench,
) -> None:
    task_id = run_led_elsewhere(bench)
    sent_ms = bench.now_ms
    bench.clock.advance(2 * LEASE_MS)
    confirm(bench, sent_ms)
    bench.run(100)
    assert bench.worker.state(task_id) is TaskState.STOPPED
    assert bench.task(task_id).state is TaskState.STOPPED


def test_broken_gang_stops_at_once(bench: Bench) -> None:
    task_id = run_led_elsewhere(bench)
    reply = GangReplyArrived(OTHER, True, bench.now_ms, (), ("a/1",))
    bench.world.inbox.put(reply)
    bench.settle()
    assert bench.worker.state(task_id) is TaskState.STOPPED


def test_task_that_ignores_stop_loses_its_lease(bench: Bench) -> None:
    task_id = run_alone(bench)
    bench.worker.ignores_stop = True
    bench.run(1_000)
    bench.log.add(JobCancel("a", "enough"))
    bench.settle()
    assert bench.task(task_id).state is TaskState.STOPPING
    bench.run(LEASE_MS)
    assert bench.worker.state(task_id) is TaskState.STOPPED
    assert bench.task(task_id).state is TaskState.STOPPED


def test_stop_waits_for_the_checkpoint(bench: Bench) -> None:
    run_alone(bench)
    bench.withheld_types = (CheckpointTask,)
    bench.log.add(JobCancel("a", "enough"))
    bench.run(1_000)
    assert not [row for row in bench.sent if isinstance(row, StopTask)]
    bench.deliver_kept()
    bench.settle()
    assert bench.worker.state("a/1/0") is TaskState.STOPPED


def test_stop_is_repeated_until_the_worker_obeys(bench: Bench) -> None:
    task_id = run_alone(bench)
    bench.withheld_types = (StopTask,)
    bench.log.add(JobCancel("a", "enough"))
    bench.run(1_100)
    assert len(bench.kept) > 1
    assert bench.task(task_id).state is TaskState.STOPPING
    bench.withheld_types = ()
    bench.run(600)
    assert bench.task(task_id).state is TaskState.STOPPED


def test_lost_start_answer_stops_the_member(bench: Bench) -> None:
    place(bench.log, "a", (OWN,))
    bench.settle()
    bench.withheld_types = (StartTask,)
    release(bench.log, "a")
    bench.settle()
    order = bench.kept.pop()
    bench.worker.answer(order, bench.now_ms)
    bench.world.inbox.put(WorkerDone("start", "a/1/0", False, reason="timed out"))
    bench.settle()
    assert bench.worker.state("a/1/0") is TaskState.STOPPED
    assert bench.task("a/1/0").state is TaskState.STOPPED


def silence_worker(bench: Bench) -> None:
    bench.withheld_types = (RenewTasks, StopTask, CheckpointTask)


def lose_kept_orders(bench: Bench, for_ms: int) -> None:
    """Let time pass while the worker's link loses every order."""
    for _ in range(for_ms // 500):
        bench.run(500)
        kept, bench.kept = bench.kept, []
        for order in kept:
            name = {RenewTasks: "renew", StopTask: "stop"}.get(type(order))
            task_id = getattr(order, "task_id", "")
            failed = WorkerDone(name or "checkpoint", task_id, False, reason="silent")
            bench.world.inbox.put(failed)


def test_member_of_a_dead_worker_is_not_reported_alive(bench: Bench) -> None:
    task_id = run_alone(bench)
    bench.run(2_000)
    silence_worker(bench)
    lose_kept_orders(bench, 12_000)
    assert bench.task(task_id).state is TaskState.STOPPED


def test_gang_whose_leaders_worker_died_is_called_broken(bench: Bench) -> None:
    lead(bench)
    for _ in range(4):
        tell_leader(bench, report(1, TaskState.RUNNING))
        bench.run(500)
    silence_worker(bench)
    for _ in range(CONFIRM_MS // 500 + 1):
        tell_leader(bench, report(1, TaskState.RUNNING))
        lose_kept_orders(bench, 500)
    assert bench.world.gang_watches.get("a/1").broken


def test_member_lost_before_its_release_is_told(bench: Bench) -> None:
    place(bench.log, "a", (OWN, OTHER))
    bench.settle()
    del bench.worker.tasks["a/1/0"]
    bench.run(600)
    assert bench.task("a/1/0").state is TaskState.STOPPED


def test_ended_members_are_forgotten_after_their_gang(bench: Bench) -> None:
    task_id = run_alone(bench)
    bench.log.add(JobCancel("a", "enough"))
    bench.run(600)
    assert bench.task(task_id).state is TaskState.STOPPED
    bench.log.add(GangEnd(term_of(bench.log), "a", 1))
    bench.run(600)
    assert len(bench.world.tasks) == 0
    stops = len([row for row in bench.sent if isinstance(row, StopTask)])
    run_alone(bench, "b")
    bench.run(2_000)
    assert len([row for row in bench.sent if isinstance(row, StopTask)]) == stops


def test_restarted_sidecar_takes_over_a_running_member(bench: Bench) -> None:
    task_id = run_alone(bench)
    again = restarted(bench)
    again.run(2 * LEASE_MS)
    assert again.worker.state(task_id) is TaskState.RUNNING
    assert again.worker.tasks[task_id].starts == 1


def test_restarted_sidecar_renews_only_what_is_confirmed(bench: Bench) -> None:
    task_id = run_led_elsewhere(bench)
    lease_ms = bench.worker.tasks[task_id].lease_ms
    again = restarted(bench)
    again.run(1_000)
    assert again.worker.tasks[task_id].lease_ms == lease_ms
    confirm(again, again.now_ms)
    again.run(600)
    assert again.worker.state(task_id) is TaskState.RUNNING


def test_restarted_sidecar_gives_a_reservation_up(bench: Bench) -> None:
    place(bench.log, "a", (OWN, OTHER))
    bench.settle()
    again = restarted(bench)
    again.run(100)
    assert again.worker.state("a/1/0") is TaskState.STOPPED
    assert again.task("a/1/0").state is TaskState.STOPPED


def test_restarted_sidecar_stops_what_has_ended_meanwhile(bench: Bench) -> None:
    task_id = run_alone(bench)
    bench.log.add(JobCancel("a", "enough"), GangEnd(term_of(bench.log), "a", 1))
    again = restarted(bench)
    again.run(600)
    assert again.worker.state(task_id) is TaskState.STOPPED
    assert len(again.world.tasks) == 0


def test_restarted_sidecar_owns_to_a_lost_member(bench: Bench) -> None:
    task_id = run_alone(bench)
    bench.worker.tasks.clear()
    again = restarted(bench)
    assert again.task(task_id).state is TaskState.STOPPED


def test_foreign_tasks_are_left_alone(bench: Bench) -> None:
    task_id = run_alone(bench)
    bench.worker.tasks["other"] = bench.worker.tasks[task_id]
    bench.run(1_000)
    assert not [row for row in bench.sent if isinstance(row, StopTask)]


def test_past_gangs_are_not_reserved_again(bench: Bench) -> None:
    run_alone(bench)
    bench.log.add(JobCancel("a", "enough"), GangEnd(term_of(bench.log), "a", 1))
    bench.worker.tasks.clear()
    again = restarted(bench)
    assert not [row for row in again.sent if isinstance(row, ReserveTask)]


def report(member: int, state: TaskState, result: str = "") -> MemberReport:
    return MemberReport("a", 1, member, state, result)


def tell_leader(bench: Bench, *reports: MemberReport) -> None:
    bench.world.inbox.put(GangReportArrived("x", OTHER, reports))
    bench.settle()


def lead(bench: Bench) -> str:
    """Start member 0 of a gang of two here."""
    place(bench.log, "a", (OWN, OTHER))
    bench.settle()
    release(bench.log, "a")
    bench.settle()
    return "a/1/0"


def test_leader_confirms_nobody_before_all_run(bench: Bench) -> None:
    task_id = lead(bench)
    lease_ms = bench.task(task_id).lease_ms
    bench.run(CONFIRM_MS - 100)
    assert bench.worker.state(task_id) is TaskState.RUNNING
    assert bench.task(task_id).lease_ms == lease_ms
    bench.run(LEASE_MS - CONFIRM_MS)
    assert bench.worker.state(task_id) is TaskState.STOPPED


def test_gang_without_one_member_ends_within_the_lease(bench: Bench) -> None:
    task_id = lead(bench)
    for _ in range(20):
        tell_leader(bench, report(1, TaskState.RUNNING))
        bench.run(500)
    silent_ms = bench.now_ms - 500
    assert bench.worker.state(task_id) is TaskState.RUNNING
    while bench.worker.state(task_id) is TaskState.RUNNING:
        bench.run(10)
    assert bench.now_ms - silent_ms <= LEASE_MS


def test_failed_member_breaks_the_gang_at_once(bench: Bench) -> None:
    task_id = lead(bench)
    tell_leader(bench, report(1, TaskState.RUNNING))
    tell_leader(bench, report(1, TaskState.FAILED))
    bench.run(CONFIRM_MS)
    assert bench.worker.state(task_id) is TaskState.STOPPED


def test_finish_is_proposed_once_and_again_after_a_restart(bench: Bench) -> None:
    task_id = lead(bench)
    tell_leader(bench, report(1, TaskState.FINISHED, "one"))
    tell_leader(bench, report(1, TaskState.FINISHED, "one"))
    bench.run(1_000)
    bench.log.up = False
    bench.worker.finish(task_id, "zero")
    bench.run(2_000)
    again = restarted(bench)
    assert not bench.log.bodies(GangFinish)
    bench.log.up = True
    again.settle()
    again.run(1_000)
    tell_leader(again, report(1, TaskState.FINISHED, "one"))
    again.run(2_000)
    assert bench.log.bodies(GangFinish) == [GangFinish("a", 1, "zero")]
    bench.run(2_000)
    assert len(bench.log.bodies(GangFinish)) == 2
    again.settle()
    assert again.world.agreed.jobs.get("a").result == "zero"


def test_finished_member_reports_until_the_gang_is_gone(bench: Bench) -> None:
    task_id = run_led_elsewhere(bench)
    bench.worker.finish(task_id, "one")
    bench.run(20_000)
    reports = [row for row in bench.sent if isinstance(row, SendGangReports)]
    assert bench.now_ms - reports[-1].sent_ms < CONFIRM_MS
    assert reports[-1].reports == (report(1, TaskState.FINISHED, "one"),)


def test_isolated_sidecar_stops_its_members(bench: Bench) -> None:
    bench.log.add(SettingPut("", "job.isolation_ms", 60_000, 0))
    task_id = run_alone(bench)
    bench.log.up = False
    bench.run(55_000)
    assert bench.worker.state(task_id) is TaskState.RUNNING
    bench.run(6_000)
    assert bench.worker.state(task_id) is TaskState.STOPPED


def test_isolation_bound_leaves_room_for_heartbeats(bench: Bench) -> None:
    bench.log.add(SettingPut("", "job.isolation_ms", 1_000, 0))
    task_id = run_alone(bench)
    bench.log.up = False
    bench.run(29_000)
    assert bench.worker.state(task_id) is TaskState.RUNNING
    bench.run(2_000)
    assert bench.worker.state(task_id) is TaskState.STOPPED


def test_members_run_on_without_the_log_while_an_entry_answers(
    bench: Bench,
) -> None:
    bench.log.add(SettingPut("", "job.isolation_ms", 20_000, 0))
    task_id = run_alone(bench)
    bench.log.up = False
    for _ in range(30):
        bench.run(1_000)
        bench.world.beat_view.heard_ms = bench.now_ms
    assert bench.worker.state(task_id) is TaskState.RUNNING


def test_finish_waits_for_the_log_and_counts_once(bench: Bench) -> None:
    task_id = run_alone(bench)
    bench.log.up = False
    bench.run(2_000)
    bench.worker.finish(task_id, "plan")
    bench.run(20_000)
    assert not bench.log.bodies(GangFinish)
    bench.log.up = True
    bench.run(2_000)
    assert bench.log.bodies(GangFinish) == [GangFinish("a", 1, "plan")]
    assert bench.world.agreed.jobs.get("a").result == "plan"


def test_stopped_gang_is_stopped_after_the_outage(bench: Bench) -> None:
    task_id = run_alone(bench)
    bench.log.up = False
    bench.log.add(GangStop(term_of(bench.log), "a", 1, "reclaim"))
    bench.run(10_000)
    assert bench.worker.state(task_id) is TaskState.RUNNING
    bench.log.up = True
    bench.run(2_000)
    assert bench.worker.state(task_id) is TaskState.STOPPED
