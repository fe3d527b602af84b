"""Tests of timeliness: targets of jobs, and what can still be reached."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppost.batch.systems.plans import load_plan
from kingcuppost.batch.systems.timeliness import (
    assess_timeliness,
    refresh_chains,
    target_end_ms,
)
from kingcuppost.batch.tables.decision import Timeliness
from kingcuppost.batch.tables.job import Job, JobPolicy, StepSpec
from kingcuppost.batch.tables.plan import EstimateError, Plan
from kingcuppost.batch.tables.resources import Resources

CAPACITY = Resources(640_000, 1_280_000, 80)
ACCEPTED_MS = 50_000


def make_plan(*steps: StepSpec, slack_factor: float = 2.0) -> Plan:
    policy = JobPolicy("svc", 0, 1, slack_factor)
    job = Job("0123456789abcdef", "q", "t", "", steps, ACCEPTED_MS, 0, policy)
    return load_plan(job)


def test_target_is_a_multiple_of_the_longest_chain() -> None:
    plan = make_plan(
        StepSpec(1, estimate_ms=1_000),
        StepSpec(1, estimate_ms=3_000),
        StepSpec(1, estimate_ms=500, needs=(0, 1)),
    )
    assert target_end_ms(plan, CAPACITY) == ACCEPTED_MS + 2 * 3_500


def test_a_step_of_more_than_a_quarter_of_the_service_counts_in_waves() -> None:
    wide = StepSpec(50, accelerators=1, estimate_ms=1_000)
    assert target_end_ms(make_plan(wide), CAPACITY) == ACCEPTED_MS + 2 * 3_000


def test_the_chain_of_a_gang_counts_once() -> None:
    gang = StepSpec(50, accelerators=1, estimate_ms=1_000, gang=True)
    assert target_end_ms(make_plan(gang), CAPACITY) == ACCEPTED_MS + 2 * 1_000


@pytest.mark.parametrize(
    ("waited_ms", "expected"),
    [
        (1_000, Timeliness.IN_TIME),
        (1_001, Timeliness.LATE),
        (5_000, Timeliness.LATE),
        (5_001, Timeliness.TOO_LATE),
    ],
)
def test_timeliness_follows_from_the_wait(waited_ms: int, expected: Timeliness) -> None:
    plan = make_plan(StepSpec(1, estimate_ms=1_000))
    found = assess_timeliness(plan, 0, CAPACITY, ACCEPTED_MS + waited_ms)
    assert found is expected


def test_only_the_remaining_chain_counts() -> None:
    plan = make_plan(
        StepSpec(1, estimate_ms=3_000), StepSpec(1, estimate_ms=1_000, needs=(0,))
    )
    at_ms = ACCEPTED_MS + 6_500
    assert assess_timeliness(plan, 0, CAPACITY, at_ms) is Timeliness.LATE
    assert assess_timeliness(plan, 1, CAPACITY, at_ms) is Timeliness.IN_TIME


def test_measured_runs_correct_the_target() -> None:
    plan = make_plan(StepSpec(1, estimate_ms=1_000))
    # many runs took twice as long as estimated
    plan.estimate_errors[0] = EstimateError(-693.147, 1_000)
    assert target_end_ms(plan, CAPACITY) == pytest.approx(ACCEPTED_MS + 4_000, abs=10)


def test_a_job_without_estimates_can_be_in_time() -> None:
    plan = make_plan(StepSpec(3))
    found = assess_timeliness(plan, 0, CAPACITY, ACCEPTED_MS)
    assert found is Timeliness.IN_TIME


@st.composite
def steps_in_order(draw: st.DrawFn) -> tuple[StepSpec, ...]:
    """Draw steps, each of which may name earlier ones, also repeatedly."""
    count = draw(st.integers(1, 8))
    return tuple(
        StepSpec(
            draw(st.integers(1, 40)),
            accelerators=1,
            estimate_ms=draw(st.sampled_from((0, 500, 1_000, 3_000))),
            needs=tuple(draw(st.lists(st.integers(0, index - 1), max_size=4)))
            if index
            else (),
        )
        for index in range(count)
    )


@settings(derandomize=True, deadline=None)
@given(steps_in_order(), st.data())
def test_chains_that_are_kept_up_to_date_equal_those_computed_anew(
    steps: tuple[StepSpec, ...], data: st.DataObject
) -> None:
    kept = make_plan(*steps)
    capacity = CAPACITY
    for _ in range(3):
        refresh_chains(kept, capacity)
        for index in data.draw(st.lists(st.integers(0, len(steps) - 1), max_size=3)):
            kept.estimate_errors[index] = EstimateError(data.draw(st.floats(-2, 2)), 1)
            kept.changed_estimates[index] = None
        if data.draw(st.booleans()):
            capacity = replace(CAPACITY, accelerators=data.draw(st.integers(1, 200)))
        anew = make_plan(*steps)
        anew.estimate_errors = kept.estimate_errors
        found, expected = refresh_chains(kept, capacity), refresh_chains(anew, capacity)
        assert found == expected
        assert expected.chains_ms == [
            expected.work_ms[index]
            + max(
                (
                    expected.chains_ms[later]
                    for later, spec in enumerate(steps)
                    if index in spec.needs
                ),
                default=0.0,
            )
            for index in range(len(steps))
        ]
