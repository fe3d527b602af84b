"""When a sidecar takes its minion for ended, and what the holder makes of it."""

from dataclasses import replace

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.plans import load_plan
from kingcuppost.batch.systems.run_end_rule import has_minion_ended
from kingcuppost.batch.systems.sidecar_reports import handle_sidecar_reports
from kingcuppost.batch.systems.task_phases import add_plan, change_phase
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.fleet import HolderView
from kingcuppost.batch.tables.job import (
    Job,
    MinionIncarnation,
    RunEnd,
    StepSpec,
    TaskName,
    TaskPhase,
)
from kingcuppost.batch.tables.messages import EndedRun, StartOrder, SyncCall
from kingcuppost.batch.tables.sidecar import OrderedRun, SidecarState
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

CFG = DaemonConfig(Role.SIDECAR, "side-0", "z", Address("10.0.1.1", 7000))
NOW_MS = 60_000
ORDER = StartOrder(TaskName("5c0e7a21d94b36f8", 0, 0, 0), 1, "", "")


def make_state(**values: object) -> SidecarState:
    return SidecarState(known_since_ms=1_000, **values)


@pytest.mark.parametrize(
    ("state", "is_refused", "expected"),
    [
        (make_state(drain_end_ms=NOW_MS), True, True),
        (make_state(has_leave_notice=True), True, True),
        (make_state(drain_end_ms=NOW_MS + 1), True, False),
        (make_state(), True, False),
        (make_state(has_leave_notice=True), False, False),
        (make_state(drain_end_ms=NOW_MS), False, False),
    ],
    ids=[
        "drain over",
        "leave notice",
        "time left",
        "unannounced",
        "notice, silent",
        "drain over, silent",
    ],
)
def test_a_minion_has_ended_only_as_announced_and_if_nothing_listens(
    state: SidecarState, is_refused: bool, expected: bool
) -> None:
    assert has_minion_ended(CFG, state, is_refused, NOW_MS) is expected


def test_a_copy_of_a_start_that_may_reach_a_successor_keeps_the_lease() -> None:
    """The next incarnation under the identifier would run the task beside its rerun."""
    run = OrderedRun(ORDER, 0, may_still_start=True)
    state = make_state(has_leave_notice=True, ordered_runs={("t", 1): run})
    assert not has_minion_ended(CFG, state, True, NOW_MS)


def test_starts_of_an_earlier_sidecar_process_keep_the_lease() -> None:
    world = make_batch_world(CFG, ManualClock(start_ms=1_000), seed=1)
    world.sidecar_state.has_leave_notice = True
    world.sidecar_state.known_since_ms = NOW_MS - 1
    assert not has_minion_ended(CFG, world.sidecar_state, True, NOW_MS)


def test_ends_that_a_departed_minion_had_listed_count_for_a_new_holder() -> None:
    """A holder that had no row of the minion took finished work for lost."""
    cfg = DaemonConfig(Role.ENTRY, "entry-0", "z", Address("10.0.0.1", 7000))
    world = make_batch_world(cfg, ManualClock(start_ms=NOW_MS), seed=1)
    world.agreed.holder = HolderView(1, cfg.name, world.incarnation)
    world.schedule.is_loaded = True
    world.schedule.extension_until_ms = NOW_MS + 1_000
    job = Job("5c0e7a21d94b36f8", "q", "t", "", (StepSpec(2),), 0, 0)
    plan = load_plan(job)
    add_plan(world.schedule, plan)
    incarnation = MinionIncarnation("m-1", 7)
    done, lost = plan.tasks[0]
    for task in (done, lost):
        change_phase(world.schedule, plan, task, TaskPhase.PLACED, incarnation)
        task.run = 1
    ended = EndedRun(1, done.name, 1, RunEnd.DONE, "")
    call = SyncCall("exc", "side-1", "inc", 1, 0, None, (), (ended,), ())
    world.inbox.put(replace(call, ended_minion=incarnation))
    handle_sidecar_reports(world, NOW_MS)
    assert (done.phase, lost.phase) == (TaskPhase.DONE, TaskPhase.WAITING)
