"""Heartbeats go to one entry; members' reports reach the scheduler for sure."""

from kingcuppost.systems.requests.tests.driver import Driver
from kingcuppost.tables.outbox import SendHeartbeat
from kingcuppost.tables.task import MemberTask, TaskState

SETTLE_MS = 2_000
PERIOD_MS = 10_000


def started(entries: int = 3) -> Driver:
    driver = Driver({"m-0": 20}, entries=entries)
    driver.advance(SETTLE_MS)
    return driver


def beats(driver: Driver) -> list[SendHeartbeat]:
    return [item for item in driver.sent if isinstance(item, SendHeartbeat)]


def add_task(driver: Driver, state: TaskState = TaskState.RESERVED) -> MemberTask:
    task = MemberTask("job-1/1/0", "job-1", 1, 0, state, 10**9)
    driver.worlds["m-0"].tasks.put(task)
    return task


def holder(driver: Driver) -> str:
    return driver.worlds["m-0"].agreed.lease.holder


def test_one_exchange_a_period_however_many_entries() -> None:
    driver = started()
    driver.sent.clear()
    driver.advance(5 * PERIOD_MS)
    assert 4 <= len(beats(driver)) <= 6
    assert len({beat.entry for beat in beats(driver)}) == 1


def test_silent_home_is_replaced() -> None:
    driver = started()
    home = beats(driver)[-1].entry
    driver.cut.add(home)
    driver.sent.clear()
    driver.advance(2 * PERIOD_MS)
    assert {beat.entry for beat in beats(driver)} - {home}


def test_report_lost_on_the_way_is_sent_again() -> None:
    driver = started()
    name = holder(driver)
    driver.cut.add(name)
    task = add_task(driver)
    driver.advance(300)
    assert task.reported == ""
    driver.cut.clear()
    driver.advance(1_000)
    assert task.reported == TaskState.RESERVED


def test_report_whose_answer_is_lost_is_sent_again() -> None:
    driver = started()
    driver.lose_answers.add(holder(driver))
    task = add_task(driver)
    driver.advance(500)
    assert task.reported == ""
    driver.lose_answers.clear()
    driver.advance(2_000)
    assert task.reported == TaskState.RESERVED


def test_steady_members_are_not_reported_each_period() -> None:
    driver = started()
    add_task(driver, TaskState.RUNNING)
    driver.advance(500)
    driver.sent.clear()
    driver.advance(4 * PERIOD_MS)
    assert sum(len(beat.reports) for beat in beats(driver)) <= 1


def test_holder_behind_in_the_log_is_told_again() -> None:
    driver = started()
    world = driver.worlds["m-0"]
    world.log_view.folded_offset += 5
    task = add_task(driver)
    driver.advance(500)
    assert task.reported == ""
    world.log_view.folded_offset -= 5
    driver.advance(500)
    assert task.reported == TaskState.RESERVED


def test_new_holder_hears_of_all_members() -> None:
    driver = started()
    task = add_task(driver)
    driver.advance(500)
    assert task.reported == TaskState.RESERVED
    former = holder(driver)
    driver.worlds.pop(former)
    driver.sent.clear()
    driver.advance(10_000)
    assert holder(driver) != former
    told = {beat.entry for beat in beats(driver) if beat.reports}
    assert holder(driver) in told


def test_leaving_sidecar_tells_every_entry_once() -> None:
    driver = started()
    driver.sent.clear()
    driver.worlds["m-0"].stopping = True
    driver.worlds["m-0"].announcement.stop_deadline_ms = 10**9
    driver.advance(100)
    told = [beat.entry for beat in beats(driver) if beat.leaving]
    assert sorted(told) == ["entry-0", "entry-1", "entry-2"]
    for number in range(3):
        assert driver.worlds[f"entry-{number}"].health.get("m-0").leaving
