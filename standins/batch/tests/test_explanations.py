"""A placement is explained as the decision then makes it, and nothing changes."""

import pickle
from collections import Counter

import pytest

from kingcuppost.batch.systems.candidates import stop_limit_ms
from kingcuppost.batch.systems.explanations import (
    EXPLAIN_PERIOD_MS,
    MAX_EXPLAINED_TASKS,
    answer_explain_calls,
)
from kingcuppost.batch.systems.placement_explanation import (
    MAX_EXPLAINED_STEPS,
    explain_job,
)
from kingcuppost.batch.tables.explanation import PlacementExplanation
from kingcuppost.batch.tables.job import Job, JobPolicy, StepSpec, TaskPhase
from kingcuppost.batch.tables.messages import (
    ExplainCall,
    ExplainOutcome,
    ExplainReply,
    SubmittedJob,
)
from kingcuppost.batch.tables.waiting import WaitReason
from kingcuppost.batch.tables.world import BatchWorld
from standins.batch import Deployment
from standins.batch.deployment import API_KEY
from standins.batch.tests.test_jobs import GANG, make_ready_deployment

WIDE = StepSpec(8, cpu_millis=5_000, accelerators=1, estimate_ms=60_000)
SINGLE = StepSpec(1, cpu_millis=5_000, accelerators=4, estimate_ms=1_000)


def holder_world(deployment: Deployment) -> BatchWorld:
    return deployment.holder().world


def find_queue(world: BatchWorld, priority: int) -> str:
    queues = world.agreed.configuration.queues
    return next(queue.name for queue in queues if queue.priority == priority)


def freeze(world: BatchWorld) -> bytes:
    """Return the content of all tables that a decision could write."""
    tables = (
        world.agreed,
        world.schedule,
        world.deadlines,
        world.tally,
        world.log_lines,
        world.outbox,
        world.rng.getstate(),
    )
    return pickle.dumps(tables)


def explain(
    deployment: Deployment, steps: tuple[StepSpec, ...], priority: int
) -> PlacementExplanation:
    """Explain a job at the holder, and check that nothing changes."""
    world = holder_world(deployment)
    name = find_queue(world, priority)
    queue = next(q for q in world.agreed.configuration.queues if q.name == name)
    policy = JobPolicy(queue.service, priority, queue.most_failures, queue.slack_factor)
    wall_ms = world.clock.wall_ms()
    team = world.agreed.configuration.keys[API_KEY]
    job = Job("explained", queue.name, team, "", steps, wall_ms, -1, policy)
    before = freeze(world)
    explanation = explain_job(world, job, world.clock.now_ms())
    assert freeze(world) == before
    return explanation


def placed_counts(deployment: Deployment, job_id: str) -> Counter:
    plan = holder_world(deployment).schedule.plans[job_id]
    return Counter(
        task.incarnation.minion
        for step in plan.tasks
        for task in step
        if task.phase is TaskPhase.PLACED
    )


def fill(deployment: Deployment) -> None:
    """Occupy all accelerators of the minions with work that may be preempted."""
    for _ in deployment.minions:
        deployment.submit((WIDE,), [60_000], priority=2)
    deployment.run_for(1_000)


@pytest.mark.parametrize("step", [SINGLE, GANG, WIDE], ids=["single", "gang", "wide"])
def test_the_explained_minions_are_those_that_the_job_gets(step: StepSpec) -> None:
    # a second copy of the decision code would drift from the first
    deployment = make_ready_deployment(minions=6)
    deployment.submit((SINGLE,), [60_000], priority=2)
    deployment.run_for(1_000)
    [explained] = explain(deployment, (step,), priority=1).steps
    job_id, _ = deployment.submit((step,), [30_000], priority=1)
    deployment.run_for(300)
    assert (explained.waiting, explained.reason) == (0, None)
    expected = {item.minion: item.tasks for item in explained.chosen}
    assert placed_counts(deployment, job_id) == expected


def test_the_explained_preemptions_are_those_that_follow() -> None:
    # outcomes that are only recorded must not be chosen twice, nor be applied
    deployment = make_ready_deployment(minions=3)
    fill(deployment)
    [explained] = explain(deployment, (GANG,), priority=0).steps
    assert explained.reason is WaitReason.PREEMPTION
    world = holder_world(deployment)
    assert explained.expected_ms == stop_limit_ms(world.cfg.bounds)
    tasks = [str(item.task) for item in explained.preempted]
    assert len(set(tasks)) == len(tasks) > 0
    world.log_lines.clear()
    deployment.submit((GANG,), [1_500], priority=0)
    deployment.run_for(300)
    lines = [line.fields["task"] for line in world.log_lines if line.part == "preempt"]
    assert lines == tasks


def test_capacity_that_is_kept_for_a_waiting_job_is_not_promised_to_another() -> None:
    # the runs that stop for one gang would be counted as free for the next
    deployment = make_ready_deployment(minions=3)
    fill(deployment)
    first = explain(deployment, (GANG,), priority=0).steps[0].preempted
    deployment.submit((GANG,), [1_500], priority=0)
    world = holder_world(deployment)
    assert deployment.run_until(
        lambda: any(line.part == "preempt" for line in world.log_lines), 1_000
    )
    second = explain(deployment, (GANG,), priority=0).steps[0].preempted
    assert second
    assert not {item.task for item in first} & {item.task for item in second}


def test_work_that_waits_names_its_reason_and_the_time() -> None:
    deployment = make_ready_deployment(minions=3)
    fill(deployment)
    [explained] = explain(deployment, (SINGLE,), priority=1).steps
    assert (explained.waiting, explained.reason) == (1, WaitReason.NO_CAPACITY)
    assert not explained.chosen
    assert not explained.preempted
    assert 40_000 < explained.expected_ms <= 70_000


def test_a_label_that_no_minion_has_is_told() -> None:
    deployment = make_ready_deployment(minions=3)
    labelled = StepSpec(1, cpu_millis=1_000, label="none has it")
    [explained] = explain(deployment, (labelled,), priority=1).steps
    assert explained.reason is WaitReason.NO_MINION
    assert (explained.eligible, explained.expected_ms) == (0, None)


def test_a_task_that_no_minion_could_hold_is_told() -> None:
    # it has the same reason as work that only has to wait for the end of runs
    deployment = make_ready_deployment(minions=3)
    huge = StepSpec(1, cpu_millis=9_000_000)
    [explained] = explain(deployment, (huge,), priority=1).steps
    assert (explained.reason, explained.fits_idle) == (WaitReason.NO_CAPACITY, False)
    assert explained.expected_ms is None


def test_steps_that_need_others_wait_for_them_and_the_list_is_bounded() -> None:
    deployment = make_ready_deployment(minions=3)
    second = StepSpec(2, cpu_millis=1_000, needs=(0,))
    explanation = explain(deployment, (SINGLE, second), priority=1)
    first, dependent = explanation.steps
    assert first.waiting == 0
    assert (dependent.needs, dependent.waiting) == ((0,), 2)
    many = explain(deployment, (SINGLE,) * (MAX_EXPLAINED_STEPS + 5), priority=1)
    assert len(many.steps) == MAX_EXPLAINED_STEPS


def ask(world: BatchWorld, queue: str, step: StepSpec = SINGLE) -> ExplainReply:
    call = ExplainCall("exc", queue, "", SubmittedJob("", (step,)))
    world.inbox.put(call)
    answer_explain_calls(world, world.clock.now_ms())
    replies = world.outbox.take_all()
    return next(reply for reply in replies if isinstance(reply, ExplainReply))


def test_the_holder_explains_at_most_one_placement_in_a_period() -> None:
    # a client that asks without pause would take the time of decisions
    deployment = make_ready_deployment(minions=3)
    world = holder_world(deployment)
    name = find_queue(world, 1)
    assert ask(world, name).explanation is not None
    assert ask(world, name).outcome is ExplainOutcome.NOT_NOW
    deployment.run_for(EXPLAIN_PERIOD_MS + 50)
    assert ask(world, name).outcome is ExplainOutcome.EXPLAINED
    assert ask(world, "no such queue").outcome is ExplainOutcome.BAD


def test_a_job_whose_decision_would_take_too_long_is_not_explained() -> None:
    world = holder_world(make_ready_deployment(minions=3))
    step = StepSpec(MAX_EXPLAINED_TASKS + 1)
    assert ask(world, find_queue(world, 1), step).outcome is ExplainOutcome.BAD


def test_another_entry_answers_with_the_address_of_the_holder() -> None:
    deployment = make_ready_deployment(minions=3)
    holder = deployment.holder()
    entries = [item for item in deployment.processes.values() if item.minion is None]
    other = next(item.world for item in entries if item is not holder)
    reply = ask(other, find_queue(other, 1))
    assert reply.outcome is ExplainOutcome.REDIRECTED
    assert reply.holder == holder.world.cfg.peers
