"""Guaranteed shapes stay available after every placement."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.driver import Driver
from bench.workloads import ZoneChange
from kingcuppost.systems.jobs.cells import class_of, count_shortfall
from kingcuppost.systems.jobs.guarantees import is_covered
from kingcuppost.systems.jobs.tests.support import (
    make_driver,
    make_job,
    make_worker,
    settle,
    submit,
)
from kingcuppost.systems.jobs.tests.test_cells import can_pack
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.team import Shape

TEAMS = {
    "big": (Shape(1, 8),),
    "pair": (Shape(2, 4),),
    "tiny": (Shape(1, 2), Shape(1, 1, 2)),
    "none": (),
}
JOBS = st.lists(
    st.tuples(
        st.sampled_from(sorted(TEAMS)),
        st.sampled_from([(1, 1), (1, 2), (2, 2), (1, 4), (2, 4), (1, 8), (3, 1)]),
        st.sampled_from(list(Urgency)),
        st.integers(1, 40),
        st.integers(0, 20),
    ),
    min_size=1,
    max_size=25,
)


def is_covered_by_search(driver: Driver) -> bool:
    """Return whether all unused guaranteed cells can be packed outside bound cells."""
    scheduling = driver.world.scheduling
    masks = [row.full_mask & ~row.bound for row in scheduling.workers if row.usable]
    demands = []
    for share in scheduling.shares:
        for cell_class, count in enumerate(share.unused):
            demands.extend([cell_class] * count)
    return can_pack(tuple(sorted(masks)), tuple(sorted(demands, reverse=True)))


@settings(derandomize=True, deadline=None, max_examples=60)
@given(JOBS)
def test_every_placement_leaves_all_guarantees_covered(jobs: list) -> None:
    driver = make_driver([make_worker(number) for number in range(4)], TEAMS)
    checks = []

    def check(_: Driver) -> None:
        assert is_covered(driver.world.scheduling)
        assert is_covered_by_search(driver)
        checks.append(1)

    driver.after_fold = check
    for number, (team, size, urgency, minutes, at) in enumerate(jobs):
        item = make_job(f"j{number}", team, *size, urgency, minutes * 60_000)
        driver.at(1_000 + at * 60_000, lambda item=item: driver.submit(item))
    driver.run(24 * 3_600_000)
    assert checks
    assert all(item.finished_ms > 0 for item in driver.runs.values())


def test_two_halves_of_one_cell_share_a_block() -> None:
    """Guards against halves in two blocks.

    After the end of both jobs, two blocks of 4 would be left for a guarantee of 8.
    """
    driver = make_driver(
        [make_worker(0), make_worker(1)], {"big": (Shape(1, 8),), "other": ()}
    )
    submit(driver, make_job("one", "big", accelerators=4))
    submit(driver, make_job("fill", "other", accelerators=4))
    submit(driver, make_job("two", "big", accelerators=4))
    gangs = {gang.job: gang for gang in driver.world.agreed.gangs}
    assert gangs["one"].placements[0].worker == gangs["two"].placements[0].worker
    assert not gangs["two"].borrowed


def test_zone_out_of_service_leaves_uncovered_guarantees_by_team() -> None:
    workers = [
        make_worker(0, zone="a"),
        make_worker(1, zone="b"),
        make_worker(2, zone="b"),
    ]
    driver = make_driver(workers, {"big": (Shape(2, 8),), "small": (Shape(1, 1),)})
    settle(driver)
    driver.tick()
    assert not len(driver.world.scheduling.uncovered)
    driver.change_zone(ZoneChange(0, "b", False))
    driver.tick()
    row = driver.world.scheduling.uncovered.get("big")
    assert row.accelerators == 8
    assert driver.world.scheduling.uncovered.get("small").accelerators == 1
    assert any(event.team == "big" for event in driver.world.events)
    driver.change_zone(ZoneChange(0, "b", True))
    driver.tick()
    assert not len(driver.world.scheduling.uncovered)


def test_demand_counts_unused_cells_only() -> None:
    driver = make_driver([make_worker(0), make_worker(1)], {"big": (Shape(2, 8),)})
    submit(driver, make_job("one", "big", accelerators=8))
    scheduling = driver.world.scheduling
    assert scheduling.demand[class_of(8)] == 1
    assert count_shortfall(scheduling.unbound_blocks, scheduling.demand) == 0
