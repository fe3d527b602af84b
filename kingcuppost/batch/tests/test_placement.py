"""Where tasks fit, and what is stopped for them."""

from dataclasses import replace

from kingcuppost.batch.systems.placement import Site, Victim, evict, how_many, pick
from kingcuppost.batch.tables.fleet import MinionRow, Resources
from kingcuppost.batch.tables.job import (
    Job,
    MinionIncarnation,
    Plan,
    StepSpec,
    Task,
    TaskName,
)

WHOLE = Resources(64_000, 131_072, 8)
STEP = StepSpec(3, cpu_millis=7_500, memory_mb=15_000, accelerators=2)


def site(name: str, free: Resources, costs: tuple[float, ...] = ()) -> Site:
    row = MinionRow(
        name, MinionIncarnation(name, 1), "svc", "z", "r1", frozenset(), replace(WHOLE)
    )
    job = Job("0123456789abcdef", "q", "t", "", (STEP,), 0, 0)
    plan = Plan(job, [[]])
    victims = [
        Victim(
            plan,
            Task(TaskName(job.id, 0, 0, index)),
            3,
            Resources(8_000, 16_000, 2),
            cost,
        )
        for index, cost in enumerate(costs)
    ]
    return Site(row, replace(free), replace(free), replace(free), [0], victims=victims)


def by_name(found: Site, step: StepSpec) -> tuple:
    return (found.minion.sidecar,)


def test_the_scarcest_kind_of_room_decides() -> None:
    assert how_many(Resources(64_000, 131_072, 8), STEP, 9) == 4
    assert how_many(Resources(16_000, 131_072, 8), STEP, 9) == 2
    assert how_many(Resources(64_000, 15_000, 8), STEP, 9) == 1
    assert how_many(Resources(-1, 0, 0), STEP, 9) == 0


def test_tasks_spread_over_sites_in_order_of_rank() -> None:
    sites = [site("b", WHOLE), site("a", Resources(64_000, 131_072, 2))]
    chosen = pick(sites, STEP, 3, by_name)
    assert [found.minion.sidecar for found in chosen] == ["a", "b", "b"]


def test_at_most_so_many_tasks_of_a_step_go_to_a_site() -> None:
    apart = replace(STEP, most_per_minion=1)
    chosen = pick([site("a", WHOLE), site("b", WHOLE)], apart, 3, by_name)
    assert len(chosen) == 2


def test_the_cheapest_work_is_stopped() -> None:
    none = Resources(0, 0, 0)
    dear = site("a", none, (50.0, 60.0, 70.0))
    cheap = site("b", none, (1.0, 2.0, 3.0))
    found = evict([dear, cheap], STEP, 2, by_name)
    assert [eviction.site.minion.sidecar for eviction in found] == ["b"]
    assert found[0].cost == 3.0
    assert len(found[0].victims) == 2


def test_free_room_costs_nothing() -> None:
    found = evict([site("a", WHOLE, (5.0,)), site("b", WHOLE)], STEP, 3, by_name)
    assert sum(eviction.cost for eviction in found) == 0
    assert not any(eviction.victims for eviction in found)


def test_nothing_is_stopped_in_vain() -> None:
    assert not evict([site("a", Resources(0, 0, 0), ())], STEP, 3, by_name)


def test_room_is_made_for_as_many_tasks_as_the_cost_allows() -> None:
    full = site("a", Resources(0, 0, 0), (1.0, 90.0))
    found = evict([full], STEP, 2, by_name, most_cost=10.0)
    assert [(eviction.count, eviction.cost) for eviction in found] == [(1, 1.0)]


def test_work_that_leaves_no_useful_room_goes_on() -> None:
    small, large = Resources(1_000, 1_000, 0), Resources(8_000, 16_000, 2)
    full = site("a", Resources(0, 0, 0), (1.0, 2.0))
    full.victims[0].resources, full.victims[1].resources = small, large
    found = evict([full], STEP, 1, by_name)
    assert [victim.cost for victim in found[0].victims] == [2.0]
