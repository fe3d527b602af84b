"""Tests of placement: which candidates fit, and which victims are evicted."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppost.batch.systems.evictions import (
    Eviction,
    _extend_eviction,
    plan_evictions,
)
from kingcuppost.batch.systems.placement import (
    choose_candidates,
    count_fitting_tasks,
    fits_idle,
    fits_now,
)
from kingcuppost.batch.tables.decision import Candidate, Victim
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import Job, MinionIncarnation, StepSpec, TaskName
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.task import Task

MINION_CAPACITY = Resources(64_000, 131_072, 8)
STEP = StepSpec(3, cpu_millis=7_500, memory_mb=15_000, accelerators=2)


def make_candidate(
    name: str, free: Resources, costs_core_s: tuple[float, ...] = ()
) -> Candidate:
    row = MinionRow(
        name,
        MinionIncarnation(name, 1),
        "svc",
        "z",
        "r1",
        frozenset(),
        replace(MINION_CAPACITY),
    )
    job = Job("0123456789abcdef", "q", "t", "", (STEP,), 0, 0)
    plan = Plan(job, [[]])
    victims = [
        Victim(
            plan,
            Task(TaskName(job.id, 0, 0, index)),
            3,
            Resources(8_000, 16_000, 2),
            cost_core_s,
        )
        for index, cost_core_s in enumerate(costs_core_s)
    ]
    return Candidate(
        row, replace(free), replace(free), replace(free), [0], victims=victims
    )


def sort_key_by_name(candidate: Candidate, step: StepSpec) -> tuple:
    return (candidate.minion.sidecar,)


def test_scarcest_resource_limits_task_count() -> None:
    assert count_fitting_tasks(Resources(64_000, 131_072, 8), STEP, 9) == 4
    assert count_fitting_tasks(Resources(16_000, 131_072, 8), STEP, 9) == 2
    assert count_fitting_tasks(Resources(64_000, 15_000, 8), STEP, 9) == 1
    assert count_fitting_tasks(Resources(-1, 0, 0), STEP, 9) == 0


def test_tasks_fill_candidates_in_order_of_sort_key() -> None:
    candidates = [
        make_candidate("b", MINION_CAPACITY),
        make_candidate("a", Resources(64_000, 131_072, 2)),
    ]
    chosen = choose_candidates(candidates, STEP, 3, sort_key_by_name)
    assert [candidate.minion.sidecar for candidate in chosen] == ["a", "b", "b"]


def test_limit_of_tasks_per_minion_is_respected() -> None:
    one_per_minion = replace(STEP, most_per_minion=1)
    chosen = choose_candidates(
        [make_candidate("a", MINION_CAPACITY), make_candidate("b", MINION_CAPACITY)],
        one_per_minion,
        3,
        sort_key_by_name,
    )
    assert len(chosen) == 2


def test_idle_minions_hold_a_gang_only_within_its_limit_per_minion() -> None:
    gang = replace(STEP, count=3, gang=True)
    two = [make_candidate(name, Resources(0, 0, 0)) for name in ("a", "b")]
    assert fits_idle(gang, two)
    assert not fits_idle(replace(gang, most_per_minion=1), two)


def test_free_capacity_must_hold_all_members_of_a_gang_each_time() -> None:
    gang = replace(STEP, count=2, gang=True)
    one = [make_candidate("a", MINION_CAPACITY)]
    assert fits_now(gang, one, times=2)
    assert not fits_now(gang, one, times=3)
    assert fits_now(replace(gang, gang=False), one, times=3)


def test_cheapest_victims_are_evicted() -> None:
    no_capacity = Resources(0, 0, 0)
    costly = make_candidate("a", no_capacity, (50.0, 60.0, 70.0))
    cheap = make_candidate("b", no_capacity, (1.0, 2.0, 3.0))
    found = plan_evictions([costly, cheap], STEP, 2, sort_key_by_name)
    assert [eviction.candidate.minion.sidecar for eviction in found] == ["b"]
    assert found[0].cost_core_s == 3.0
    assert len(found[0].victims) == 2


def test_free_capacity_costs_nothing() -> None:
    found = plan_evictions(
        [
            make_candidate("a", MINION_CAPACITY, (5.0,)),
            make_candidate("b", MINION_CAPACITY),
        ],
        STEP,
        3,
        sort_key_by_name,
    )
    assert sum(eviction.cost_core_s for eviction in found) == 0
    assert not any(eviction.victims for eviction in found)


def test_nothing_is_evicted_without_benefit() -> None:
    assert not plan_evictions(
        [make_candidate("a", Resources(0, 0, 0), ())], STEP, 3, sort_key_by_name
    )


def test_maximum_cost_limits_number_of_evictions() -> None:
    full = make_candidate("a", Resources(0, 0, 0), (1.0, 90.0))
    found = plan_evictions([full], STEP, 2, sort_key_by_name, max_cost_core_s=10.0)
    assert [(eviction.count, eviction.cost_core_s) for eviction in found] == [(1, 1.0)]


def test_unneeded_victims_are_not_evicted() -> None:
    small, large = Resources(1_000, 1_000, 0), Resources(8_000, 16_000, 2)
    full = make_candidate("a", Resources(0, 0, 0), (1.0, 2.0))
    full.victims[0].resources, full.victims[1].resources = small, large
    found = plan_evictions([full], STEP, 1, sort_key_by_name)
    assert [victim.cost_core_s for victim in found[0].victims] == [2.0]


def plan_evictions_exhaustively(
    candidates: list[Candidate], wanted: int, max_cost_core_s: float
) -> list[Eviction]:
    """Plan like `plan_evictions`, but compare all candidates for each next task."""
    evictions = [Eviction(candidate, 0, 0.0, []) for candidate in candidates]
    while (missing := wanted - sum(eviction.count for eviction in evictions)) > 0:
        rows = []
        for index, current in enumerate(evictions):
            limit = current.count + missing
            extended = _extend_eviction(current.candidate, STEP, current, limit)
            added = extended.count - current.count
            if added:
                cost_core_s = (extended.cost_core_s - current.cost_core_s) / added
                rows.append((cost_core_s, index, extended))
        if not rows or min(rows)[0] > max_cost_core_s:
            break
        _, index, extended = min(rows, key=lambda row: row[:2])
        evictions[index] = extended
    return [eviction for eviction in evictions if eviction.count]


@settings(derandomize=True, deadline=None)
@given(
    free=st.lists(st.integers(0, 8), min_size=1, max_size=6),
    costs=st.lists(st.lists(st.integers(1, 9), max_size=5), min_size=6, max_size=6),
    wanted=st.integers(1, 20),
    max_cost_core_s=st.integers(1, 20),
)
def test_evictions_are_those_of_an_exhaustive_search(
    free: list[int], costs: list[list[int]], wanted: int, max_cost_core_s: int
) -> None:
    candidates = [
        make_candidate(
            str(index),
            Resources(8_000 * accelerators, 16_000 * accelerators, accelerators),
            tuple(sorted(map(float, costs[index]))),
        )
        for index, accelerators in enumerate(free)
    ]
    found = plan_evictions(candidates, STEP, wanted, sort_key_by_name, max_cost_core_s)
    assert found == plan_evictions_exhaustively(candidates, wanted, max_cost_core_s)
