"""Heartbeats go to one entry; members' reports reach the scheduler reliably."""

from kingcuppost.systems.requests.tests.simulation import Simulation
from kingcuppost.tables.outbox import SendHeartbeat
from kingcuppost.tables.task import MemberTask, TaskState

SETTLE_MS = 2_000
PERIOD_MS = 10_000


def start_simulation(entries: int = 3) -> Simulation:
    simulation = Simulation({"m-0": 20}, entries=entries)
    simulation.advance(SETTLE_MS)
    return simulation


def heartbeats(simulation: Simulation) -> list[SendHeartbeat]:
    return [item for item in simulation.sent if isinstance(item, SendHeartbeat)]


def add_task(
    simulation: Simulation, state: TaskState = TaskState.RESERVED
) -> MemberTask:
    task = MemberTask("job-1/1/0", "job-1", 1, 0, state, 10**9)
    simulation.worlds["m-0"].tasks.put(task)
    return task


def holder(simulation: Simulation) -> str:
    return simulation.worlds["m-0"].agreed.lease.holder


def test_one_heartbeat_per_period_with_any_number_of_entries() -> None:
    simulation = start_simulation()
    simulation.sent.clear()
    simulation.advance(5 * PERIOD_MS)
    assert 4 <= len(heartbeats(simulation)) <= 6
    assert len({heartbeat.entry for heartbeat in heartbeats(simulation)}) == 1


def test_unresponsive_home_is_replaced() -> None:
    simulation = start_simulation()
    home = heartbeats(simulation)[-1].entry
    simulation.unreachable.add(home)
    simulation.sent.clear()
    simulation.advance(2 * PERIOD_MS)
    assert {heartbeat.entry for heartbeat in heartbeats(simulation)} - {home}


def test_lost_report_is_sent_again() -> None:
    simulation = start_simulation()
    name = holder(simulation)
    simulation.unreachable.add(name)
    task = add_task(simulation)
    simulation.advance(300)
    assert task.reported_state == ""
    simulation.unreachable.clear()
    simulation.advance(1_000)
    assert task.reported_state == TaskState.RESERVED


def test_report_whose_answer_is_lost_is_sent_again() -> None:
    simulation = start_simulation()
    simulation.lose_answers.add(holder(simulation))
    task = add_task(simulation)
    simulation.advance(500)
    assert task.reported_state == ""
    simulation.lose_answers.clear()
    simulation.advance(2_000)
    assert task.reported_state == TaskState.RESERVED


def test_unchanged_members_are_not_reported_each_period() -> None:
    simulation = start_simulation()
    add_task(simulation, TaskState.RUNNING)
    simulation.advance(500)
    simulation.sent.clear()
    simulation.advance(4 * PERIOD_MS)
    assert sum(len(heartbeat.reports) for heartbeat in heartbeats(simulation)) <= 1


def test_report_is_sent_again_to_a_holder_behind_in_the_log() -> None:
    simulation = start_simulation()
    world = simulation.worlds["m-0"]
    world.log_view.folded_offset += 5
    task = add_task(simulation)
    simulation.advance(500)
    assert task.reported_state == ""
    world.log_view.folded_offset -= 5
    simulation.advance(500)
    assert task.reported_state == TaskState.RESERVED


def test_all_members_are_reported_to_a_new_holder() -> None:
    simulation = start_simulation()
    task = add_task(simulation)
    simulation.advance(500)
    assert task.reported_state == TaskState.RESERVED
    former = holder(simulation)
    simulation.worlds.pop(former)
    simulation.sent.clear()
    simulation.advance(10_000)
    assert holder(simulation) != former
    notified = {
        heartbeat.entry for heartbeat in heartbeats(simulation) if heartbeat.reports
    }
    assert holder(simulation) in notified


def test_leaving_sidecar_notifies_every_entry_once() -> None:
    simulation = start_simulation()
    simulation.sent.clear()
    simulation.worlds["m-0"].stopping = True
    simulation.worlds["m-0"].announcement.stop_deadline_ms = 10**9
    simulation.advance(100)
    notified = [
        heartbeat.entry for heartbeat in heartbeats(simulation) if heartbeat.leaving
    ]
    assert sorted(notified) == ["entry-0", "entry-1", "entry-2"]
    for number in range(3):
        assert simulation.worlds[f"entry-{number}"].health.get("m-0").leaving
