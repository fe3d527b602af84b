"""Every end of a run names its cause, also that of a gang member that had none."""

from collections.abc import Callable

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.end_causes import (
    MEMBER_CAUSES,
    OWN_CAUSES,
    SYMPTOMS,
)
from kingcuppost.batch.systems.plans import (
    adopt_job,
    apply_run_end,
    iter_tasks,
    place_task,
    request_run_stop,
)
from kingcuppost.batch.systems.run_ends import record_run_end
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.end_cause import CAUSE_TEXTS, CauseKind, EndCause
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import (
    Job,
    JobPolicy,
    JobState,
    MinionIncarnation,
    Progress,
    RunEnd,
    StepSpec,
    TaskPhase,
    TaskProgress,
)
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

JOB_ID = "0123456789abcdef"
MEMBERS = 3


@pytest.fixture
def world() -> BatchWorld:
    cfg = DaemonConfig(Role.ENTRY, "entry-0", "z", Address("10.0.0.1", 7000))
    return make_batch_world(cfg, ManualClock(start_ms=100_000), seed=1)


def make_job(progress: Progress | None = None) -> Job:
    policy = JobPolicy("svc", 1, 2)
    spec = StepSpec(MEMBERS, gang=True, cpu_millis=1_000)
    state = JobState.QUEUED
    job = Job(JOB_ID, "q", "t", "", (spec,), 0, 0, policy, False, state, False)
    job.progress = progress
    return job


@pytest.fixture
def plan(world: BatchWorld) -> Plan:
    """Return the plan of a job with one gang, all members of which run."""
    world.agreed.jobs.put(make_job())
    adopt_job(world, JOB_ID)
    plan = world.schedule.plans[JOB_ID]
    incarnation = MinionIncarnation("m-0", 1)
    minion = MinionRow("side", incarnation, "svc", "z", "r", frozenset(), Resources())
    for task in iter_tasks(plan):
        place_task(world, plan, task, 1, minion)
    return plan


@pytest.fixture
def end(world: BatchWorld, plan: Plan) -> Callable[..., tuple[str, str]]:
    """Return a function that ends a member's run and returns the logged cause."""

    def end_run(index: int, run_end: RunEnd) -> tuple[str, str]:
        task: Task = plan.tasks[0][index]
        record_run_end(world, plan, task, run_end)
        line = world.log_lines[-1]
        apply_run_end(world, plan, task, run_end, "")
        return line.fields["cause"], line.fields["cause_task"]

    return end_run


def test_each_kind_of_end_and_each_cause_has_a_text() -> None:
    # a new kind of end without a cause would raise while its end is logged
    assert set(OWN_CAUSES) == set(RunEnd)
    assert set(CAUSE_TEXTS) == set(CauseKind)
    assert set(SYMPTOMS) <= set(CauseKind)
    assert all(CAUSE_TEXTS.values())


@pytest.mark.parametrize("run_end", [RunEnd.STOPPED, RunEnd.BROKEN, RunEnd.LOST])
def test_a_requested_stop_gives_its_cause_to_the_whole_gang(
    world: BatchWorld, plan: Plan, end: Callable, run_end: RunEnd
) -> None:
    # members that broke before the stop arrived would count as broken by nobody
    drained = plan.tasks[0][1]
    cause = EndCause(CauseKind.DRAINING, drained.name)
    request_run_stop(world, plan, drained, cause)
    urgent = EndCause(CauseKind.PREEMPTED, job="another")
    request_run_stop(world, plan, drained, urgent)
    expected = (CauseKind.DRAINING, str(drained.name))
    assert [end(index, run_end) for index in range(MEMBERS)] == [expected] * MEMBERS


@pytest.mark.parametrize(
    "run_end", [RunEnd.FAILED, RunEnd.LOST, RunEnd.REFUSED, RunEnd.LAPSED]
)
def test_the_end_of_one_member_is_the_cause_of_the_others(
    plan: Plan, end: Callable, run_end: RunEnd
) -> None:
    first = plan.tasks[0][2]
    assert end(2, run_end) == (OWN_CAUSES[run_end], "")
    expected = (MEMBER_CAUSES[OWN_CAUSES[run_end]], str(first.name))
    assert end(0, RunEnd.STOPPED) == expected
    assert end(1, RunEnd.BROKEN) == expected


def test_a_lost_member_is_the_cause_though_a_broken_one_is_reported_first(
    plan: Plan, end: Callable
) -> None:
    # the loss is known only when the lease expires, seconds after the others broke
    assert end(0, RunEnd.BROKEN) == (CauseKind.BROKEN, "")
    assert end(1, RunEnd.LOST) == (CauseKind.LOST, "")
    assert end(2, RunEnd.STOPPED) == (
        CauseKind.MEMBER_LOST,
        str(plan.tasks[0][1].name),
    )


def test_a_new_run_has_no_cause_of_the_one_before(
    world: BatchWorld, plan: Plan, end: Callable
) -> None:
    task = plan.tasks[0][0]
    request_run_stop(world, plan, task, EndCause(CauseKind.SLOW, task.name))
    for index in range(MEMBERS):
        end(index, RunEnd.STOPPED)
    incarnation = MinionIncarnation("m-1", 1)
    minion = MinionRow("side", incarnation, "svc", "z", "r", frozenset(), Resources())
    place_task(world, plan, task, 2, minion)
    assert end(0, RunEnd.FAILED) == (CauseKind.FAILED, "")


def test_the_stop_of_an_earlier_holder_is_named_as_such(world: BatchWorld) -> None:
    # the cause is not in the log, so it would be empty after a change of the holder
    rows = tuple(
        TaskProgress(0, index, TaskPhase.PLACED, 1, 0, "m-0", 1, "side", 0, "")
        for index in range(1, MEMBERS)
    )
    world.agreed.jobs.put(make_job(Progress(1, 1, rows)))
    adopt_job(world, JOB_ID)
    plan = world.schedule.plans[JOB_ID]
    for task in plan.tasks[0][1:]:
        record_run_end(world, plan, task, RunEnd.STOPPED)
        assert world.log_lines[-1].fields["cause"] == CauseKind.EARLIER_HOLDER


def test_lost_work_is_counted_by_cause(
    world: BatchWorld, plan: Plan, end: Callable
) -> None:
    world.clock.advance(5_000)
    end(0, RunEnd.LOST)
    end(1, RunEnd.BROKEN)
    counts = world.tally.counts["lost_core_seconds_by_cause"]
    assert counts == {(CauseKind.LOST,): 5, (CauseKind.MEMBER_LOST,): 5}
    assert sum(world.tally.counts["lost_core_seconds"].values()) == 10
