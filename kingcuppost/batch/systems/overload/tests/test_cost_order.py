"""Tests of the order "cost": what callers get under overload, and its edge cases."""

import random
from statistics import mean

import pytest

from kingcuppost.batch.systems.overload import queue_orders
from kingcuppost.batch.systems.overload.tests.overload_play import (
    CORES,
    MIXED_SIZES,
    ONE_QUEUE,
    Outcomes,
    add_job,
    gang,
    make_world,
    order_jobs,
    order_units,
    play,
)
from kingcuppost.batch.systems.queue_order import OVERTAKE_LIMIT_MS, OrderInputs
from kingcuppost.batch.systems.units import list_plan_units
from kingcuppost.batch.tables.decision import DecisionRound
from kingcuppost.batch.tables.job import StepSpec
from kingcuppost.batch.tables.world import BatchWorld

SEEDS = (1, 2, 3)
LATE_FACTOR = 3


def play_seeds(queue_order: str, load: float, sizes: tuple) -> list[Outcomes]:
    return [play(queue_order, load, seed, sizes) for seed in SEEDS]


def share_of_use(outcomes: list[Outcomes]) -> float:
    return mean(row.share(list(row.took), LATE_FACTOR) for row in outcomes)


def share_of_use_of_largest(outcomes: list[Outcomes]) -> float:
    return mean(row.share(row.largest_tenth(), LATE_FACTOR) for row in outcomes)


@pytest.mark.parametrize("sizes", [ONE_QUEUE, MIXED_SIZES])
def test_fewer_jobs_are_of_no_use_than_by_deadline(sizes: tuple) -> None:
    # guards against an order that spends the service on jobs that are late anyway
    by_deadline = share_of_use(play_seeds("deadline", 2.2, sizes))
    by_cost = share_of_use(play_seeds("cost", 2.2, sizes))
    assert 1 - by_cost < 0.8 * (1 - by_deadline)


@pytest.mark.parametrize(
    ("load", "sizes"),
    [
        pytest.param(2.2, ONE_QUEUE, id="one queue at 2.2"),
        pytest.param(3.0, ONE_QUEUE, id="one queue at 3.0"),
        pytest.param(2.2, MIXED_SIZES, id="mixed sizes at 2.2"),
        pytest.param(3.0, MIXED_SIZES, id="mixed sizes at 3.0"),
    ],
)
def test_largest_tenth_is_served_half_as_often_as_all(
    load: float, sizes: tuple
) -> None:
    # guards against the starvation of wide jobs, as by shortest work first
    outcomes = play_seeds("cost", load, sizes)
    assert sum(row.overtaken for row in outcomes) == 0
    assert share_of_use_of_largest(outcomes) >= 0.5 * share_of_use(outcomes)


@pytest.mark.parametrize("load", [0.6, 0.9])
def test_without_overload_callers_get_the_same_as_by_deadline(load: float) -> None:
    assert play("cost", load, 1) == play("deadline", load, 1)


def make_crowded_world(queue_order: str, jobs: int, seed: int = 1) -> BatchWorld:
    """Return tables with jobs of which each needs a tenth of the service for 10 s."""
    rng = random.Random(seed)
    world = make_world(queue_order)
    for _ in range(jobs):
        accepted_ms = world.clock.wall_ms() - rng.randrange(2_000)
        add_job(world, gang(CORES // 10, 10_000), accepted_ms=accepted_ms)
    return world


def test_order_is_that_of_deadline_while_all_can_be_in_time() -> None:
    orders = [order_jobs(make_crowded_world(name, 8)) for name in ("cost", "deadline")]
    assert orders[0] == orders[1]


def test_the_job_with_the_most_work_is_demoted() -> None:
    world = make_world()
    large = add_job(world, gang(CORES, 9_000))
    small = [add_job(world, gang(CORES // 2, 8_000)) for _ in range(4)]
    # guards against giving up several small jobs for one that needs as much
    assert order_jobs(world)[-1] == large.job.id
    assert large.order_state.demotions == 1
    assert not any(plan.order_state.demotions for plan in small)


def test_a_job_that_waited_for_the_limit_after_its_target_goes_first() -> None:
    world = make_crowded_world("cost", 60)
    waited_ms = 20_000 + OVERTAKE_LIMIT_MS + 1
    accepted_ms = world.clock.wall_ms() - waited_ms
    old = add_job(world, gang(CORES // 10, 10_000), accepted_ms=accepted_ms)
    assert order_jobs(world)[0] == old.job.id


def test_a_job_about_to_be_of_no_use_goes_before_one_with_slack() -> None:
    world = make_world()
    slack = add_job(world, gang(100, 10_000))
    accepted_ms = world.clock.wall_ms() - 49_000
    urgent = add_job(world, gang(100, 10_000), accepted_ms=accepted_ms)
    assert order_jobs(world) == [urgent.job.id, slack.job.id]


def test_a_job_of_no_use_goes_last() -> None:
    world = make_crowded_world("cost", 3)
    accepted_ms = world.clock.wall_ms() - 51_000
    late = add_job(world, gang(100, 10_000), accepted_ms=accepted_ms)
    assert order_jobs(world)[-1] == late.job.id
    assert late.order_state.demotions == 2


def test_a_job_without_estimate_counts_as_no_work_and_is_not_judged() -> None:
    # guards against a division by its target of 0, and against demoting it
    world = make_crowded_world("cost", 8)
    plan = add_job(world, gang(CORES, 0))
    by_deadline = make_crowded_world("deadline", 8)
    add_job(by_deadline, gang(CORES, 0))
    assert order_jobs(world) == order_jobs(by_deadline)
    assert plan.order_state is None


@pytest.mark.parametrize("cores", [0, CORES])
def test_a_service_without_capacity_keeps_the_order_of_deadline(cores: int) -> None:
    orders = []
    for name in ("cost", "deadline"):
        world = make_world(name, cores)
        for age_ms in (5_000, 0, 90_000, 30_000):
            accepted_ms = world.clock.wall_ms() - age_ms
            step = gang(100, 10_000)
            add_job(world, step, accepted_ms=accepted_ms, service="other")
        orders.append(order_jobs(world))
    assert orders[0] == orders[1]


def test_a_job_without_estimate_goes_first_after_the_limit() -> None:
    # guards against work without estimate that waits as long as the overload lasts
    world = make_crowded_world("cost", 60)
    waited_ms = OVERTAKE_LIMIT_MS + 1
    plan = add_job(world, gang(1, 0), accepted_ms=world.clock.wall_ms() - waited_ms)
    assert order_jobs(world)[0] == plan.job.id


def test_work_that_needs_what_the_service_lacks_delays_nothing() -> None:
    world = make_world()
    accelerated = StepSpec(1, accelerators=1, estimate_ms=10**6, gang=True)
    add_job(world, accelerated, slack_factor=1.001)
    other = add_job(world, gang(CORES, 10_000), slack_factor=1.1)
    order_jobs(world)
    assert other.order_state.demotions == 0


def test_the_ready_steps_of_a_job_stay_together() -> None:
    world = make_crowded_world("cost", 60)
    steps = (gang(100, 3_000), gang(200, 5_000), StepSpec(4, 10_000, estimate_ms=4_000))
    plan = add_job(world, *steps)
    units = order_units(world)
    places = [index for index, unit in enumerate(units) if unit.plan is plan]
    assert places == list(range(places[0], places[0] + len(steps)))


def test_a_step_that_waits_for_another_counts_by_its_chain_only() -> None:
    world = make_world()
    first, later = gang(CORES, 4_000), StepSpec(1, 1_000, estimate_ms=6_000, needs=(0,))
    plan = add_job(world, first, later)
    [unit] = order_units(world)
    assert unit.plan is plan
    assert plan.order_state.demotions == 0
    world.clock.advance(50_001)
    order_units(world)
    assert plan.order_state.demotions == 2


def test_waiting_work_of_a_more_urgent_rank_counts() -> None:
    # guards against a forecast of one rank alone: the urgent work takes 30 s
    for urgent_jobs, expected in ((0, 0), (30, 1)):
        world = make_world()
        for _ in range(urgent_jobs):
            add_job(world, gang(CORES, 1_000), priority=0, slack_factor=100.0)
        plan = add_job(world, gang(CORES, 10_000), priority=2)
        order_jobs(world)
        assert plan.order_state.demotions == expected


def test_units_within_a_guarantee_keep_the_order_of_deadline() -> None:
    world = make_crowded_world("cost", 60)
    round_ = DecisionRound(
        1, {plan.job.id for plan in world.schedule.plans.values()}, []
    )
    wall_ms = world.clock.wall_ms()
    units = []
    for plan in world.schedule.plans.values():
        units += list_plan_units(world, round_, plan, wall_ms)
    inputs = OrderInputs(world, round_, world.clock.now_ms(), wall_ms)
    found = queue_orders["cost"](list(units), inputs)
    assert found == queue_orders["deadline"](list(units), inputs)


def test_demotions_are_counted_and_logged_once_in_a_period() -> None:
    world = make_crowded_world("cost", 60)
    order_units(world)
    order_units(world)
    demoted = [
        plan for plan in world.schedule.plans.values() if plan.order_state.demotions
    ]
    assert sum(world.tally.counts["order_changes"].values()) == len(demoted) > 1
    [line] = [line for line in world.log_lines if line.text == "A job is demoted."]
    assert line.fields["rank"] == 2
    assert line.fields["capacity_cores"] == CORES
    assert line.fields["backlog_core_s"] == 60 * CORES
    assert line.fields["forecast_ms"] > line.fields["due_ms"]
