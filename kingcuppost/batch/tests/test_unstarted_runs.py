"""What the holder does about a minion where runs do not begin."""

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.plans import adopt_job, iter_tasks, place_task
from kingcuppost.batch.systems.start_limits import (
    start_limit_ms,
    unconfirmed_limit_ms,
    unlisted_limit_ms,
)
from kingcuppost.batch.systems.unstarted_runs import (
    REFUSAL_PAUSE_MS,
    avoid_after_refusal,
    is_unlisted,
)
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import (
    Job,
    JobPolicy,
    JobState,
    MinionIncarnation,
    StepSpec,
)
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

JOB = "0123456789abcdef"
MINION_ID = "m-0"


@pytest.fixture
def world() -> BatchWorld:
    cfg = DaemonConfig(Role.ENTRY, "entry-0", "z", Address("10.0.0.1", 7000))
    return make_batch_world(cfg, ManualClock(start_ms=100_000), seed=1)


@pytest.fixture
def minion() -> MinionRow:
    incarnation = MinionIncarnation(MINION_ID, 1)
    return MinionRow("side", incarnation, "svc", "z", "r", frozenset(), Resources())


def place_step(world: BatchWorld, minion: MinionRow, gang: bool) -> Plan:
    """Place the two tasks of a step at a minion, and note that starts are sent."""
    policy = JobPolicy("svc", 1, 2)
    spec = StepSpec(2, gang=gang)
    job = Job(JOB, "q", "t", "", (spec,), 0, 0, policy, False, JobState.QUEUED, False)
    world.agreed.jobs.put(job)
    adopt_job(world, JOB)
    plan = world.schedule.plans[JOB]
    for task in iter_tasks(plan):
        place_task(world, plan, task, 1, minion)
        task.reported_ms = world.clock.now_ms()
    return plan


def refuse(world: BatchWorld, minion: MinionRow, plan: Plan, index: int = 0) -> None:
    task = plan.tasks[0][index]
    now_ms = world.clock.now_ms()
    avoid_after_refusal(world, minion, plan, task, "reason", now_ms)


def pause_ms(world: BatchWorld, minion: MinionRow) -> int:
    return max(minion.backoff_until_ms - world.clock.now_ms(), 0)


def test_the_pause_grows_while_runs_do_not_begin(
    world: BatchWorld, minion: MinionRow
) -> None:
    plan = place_step(world, minion, gang=False)
    pauses_ms = []
    for _ in range(4):
        world.clock.advance(start_limit_ms(world.cfg.bounds) + 5 * REFUSAL_PAUSE_MS)
        refuse(world, minion, plan)
        pauses_ms.append(pause_ms(world, minion))
    assert pauses_ms == [REFUSAL_PAUSE_MS * factor for factor in (1, 2, 4, 4)]


def test_runs_that_do_not_begin_together_count_once(
    world: BatchWorld, minion: MinionRow
) -> None:
    plan = place_step(world, minion, gang=False)
    world.clock.advance(start_limit_ms(world.cfg.bounds))
    refuse(world, minion, plan, 0)
    refuse(world, minion, plan, 1)
    assert pause_ms(world, minion) == REFUSAL_PAUSE_MS


@pytest.mark.parametrize(("gang", "avoiding"), [(False, 1), (True, 2)])
def test_a_task_and_its_gang_avoid_a_minion_where_it_did_not_begin(
    world: BatchWorld, minion: MinionRow, gang: bool, avoiding: int
) -> None:
    plan = place_step(world, minion, gang)
    world.clock.advance(start_limit_ms(world.cfg.bounds))
    refuse(world, minion, plan)
    avoided = [task.avoided_minions for task in iter_tasks(plan)]
    assert avoided.count({MINION_ID}) == avoiding


def test_an_early_refusal_only_pauses_the_minion(
    world: BatchWorld, minion: MinionRow
) -> None:
    plan = place_step(world, minion, gang=False)
    refuse(world, minion, plan)
    assert pause_ms(world, minion) == REFUSAL_PAUSE_MS
    assert not minion.unstarted_runs
    assert not plan.tasks[0][0].avoided_minions


def test_a_requested_stop_before_the_limit_does_not_pause_the_minion(
    world: BatchWorld, minion: MinionRow
) -> None:
    plan = place_step(world, minion, gang=False)
    plan.tasks[0][0].stopping = True
    refuse(world, minion, plan)
    assert not pause_ms(world, minion)


@pytest.mark.parametrize("confirmed", [False, True])
def test_only_reports_in_contact_show_that_a_run_is_missing(
    world: BatchWorld, minion: MinionRow, confirmed: bool
) -> None:
    plan = place_step(world, minion, gang=False)
    task = plan.tasks[0][0]
    task.confirmed = confirmed
    limit = unlisted_limit_ms if confirmed else unconfirmed_limit_ms
    limit_ms = limit(world.cfg.bounds)
    world.clock.advance(10 * limit_ms)
    assert not is_unlisted(world, minion, task)
    minion.listed_ms = task.reported_ms + limit_ms
    assert not is_unlisted(world, minion, task)
    minion.listed_ms += 1
    assert is_unlisted(world, minion, task)
