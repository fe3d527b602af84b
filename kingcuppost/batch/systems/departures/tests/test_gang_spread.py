"""How gangs are spread over minions of which some depart."""

from dataclasses import replace

import pytest

from kingcuppost.batch.systems.candidate_order import make_sort_key
from kingcuppost.batch.systems.placement import choose_candidates
from kingcuppost.batch.systems.plans import load_plan
from kingcuppost.batch.tables.decision import Candidate, PlacementUnit
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import Job, JobPolicy, MinionIncarnation, StepSpec
from kingcuppost.batch.tables.resources import Resources

GANG = StepSpec(4, cpu_millis=50_000, accelerators=2, gang=True)
ONE_MEMBER = Resources(60_000, 500_000, 3)
TWO_MEMBERS = Resources(128_000, 500_000, 8)


def make_candidate(
    name: str, free: Resources, departs: bool, in_changing_service: bool
) -> Candidate:
    incarnation = MinionIncarnation(name, 1)
    row = MinionRow(name, incarnation, "svc", "z", "r1", frozenset(), replace(free))
    return Candidate(
        row,
        replace(free),
        replace(free),
        may_depart=departs,
        in_changing_service=in_changing_service,
    )


def choose_names(
    step: StepSpec, priority: int, candidates: list[Candidate]
) -> list[str]:
    job = Job("5c0e7a21d94b36f8", "q", "t", "", (step,), 0, 0)
    plan = load_plan(replace(job, policy=JobPolicy("svc", priority)))
    unit = PlacementUnit(plan, 0, step, plan.tasks[0], priority + 1)
    chosen = choose_candidates(candidates, step, step.count, make_sort_key(unit))
    return [candidate.minion.sidecar for candidate in chosen]


@pytest.mark.parametrize("priority", [0, 1])
def test_where_minions_depart_a_gang_takes_few_of_them(priority: int) -> None:
    """Each further minion is one more whose departure ends the work of all members."""
    small = [make_candidate(f"a{i}", ONE_MEMBER, False, True) for i in range(4)]
    large = [make_candidate(f"b{i}", TWO_MEMBERS, False, True) for i in range(2)]
    assert set(choose_names(GANG, priority, small + large)) == {"b0", "b1"}


def test_elsewhere_a_gang_fills_minions_that_are_nearly_full() -> None:
    small = [make_candidate(f"a{i}", ONE_MEMBER, False, False) for i in range(4)]
    large = [make_candidate(f"b{i}", TWO_MEMBERS, False, False) for i in range(2)]
    assert set(choose_names(GANG, 1, small + large)) == {"a0", "a1", "a2", "a3"}


@pytest.mark.parametrize("priority", [0, 1])
def test_unsaved_work_prefers_minions_that_stay(priority: int) -> None:
    """In a rollout, a gang on older minions was stopped by one step after another."""
    leaving = [make_candidate(f"a{i}", TWO_MEMBERS, True, True) for i in range(2)]
    staying = [make_candidate(f"b{i}", TWO_MEMBERS, False, True) for i in range(2)]
    assert set(choose_names(GANG, priority, leaving + staying)) == {"b0", "b1"}
