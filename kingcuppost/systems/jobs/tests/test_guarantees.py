"""Guaranteed shapes stay available after every placement."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.driver import Driver
from bench.workloads import ZoneChange
from kingcuppost.systems.jobs.cells import class_of, count_shortfall
from kingcuppost.systems.jobs.guarantees import is_covered
from kingcuppost.systems.jobs.tests.support import driver, job, settle, submit, worker
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


def is_covered_by_search(run: Driver) -> bool:
    """Return whether all unused guaranteed cells can be packed outside bound cells."""
    scheduling = run.world.scheduling
    masks = [row.full_mask & ~row.bound for row in scheduling.workers if row.usable]
    demands = []
    for share in scheduling.shares:
        for cell_class, count in enumerate(share.unused):
            demands.extend([cell_class] * count)
    return can_pack(tuple(sorted(masks)), tuple(sorted(demands, reverse=True)))


@settings(derandomize=True, deadline=None, max_examples=60)
@given(JOBS)
def test_every_placement_leaves_all_guarantees_covered(jobs: list) -> None:
    run = driver([worker(number) for number in range(4)], TEAMS)
    checks = []

    def check(_: Driver) -> None:
        assert is_covered(run.world.scheduling)
        assert is_covered_by_search(run)
        checks.append(1)

    run.after_fold = check
    for number, (team, size, urgency, minutes, at) in enumerate(jobs):
        item = job(f"j{number}", team, *size, urgency, minutes * 60_000)
        run.at(1_000 + at * 60_000, lambda item=item: run.submit(item))
    run.run(24 * 3_600_000)
    assert checks
    assert all(item.finished_ms > 0 for item in run.runs.values())


def test_two_halves_of_one_cell_share_a_block() -> None:
    """Guards against halves in two blocks.

    After the end of both jobs, two blocks of 4 would be left for a guarantee of 8.
    """
    run = driver([worker(0), worker(1)], {"big": (Shape(1, 8),), "other": ()})
    submit(run, job("one", "big", accelerators=4))
    submit(run, job("fill", "other", accelerators=4))
    submit(run, job("two", "big", accelerators=4))
    gangs = {gang.job: gang for gang in run.world.agreed.gangs}
    assert gangs["one"].placements[0].worker == gangs["two"].placements[0].worker
    assert not gangs["two"].borrowed


def test_zone_out_of_service_leaves_uncovered_guarantees_by_team() -> None:
    workers = [worker(0, zone="a"), worker(1, zone="b"), worker(2, zone="b")]
    run = driver(workers, {"big": (Shape(2, 8),), "small": (Shape(1, 1),)})
    settle(run)
    run.tick()
    assert not len(run.world.scheduling.uncovered)
    run.change_zone(ZoneChange(0, "b", False))
    run.tick()
    row = run.world.scheduling.uncovered.get("big")
    assert row.accelerators == 8
    assert run.world.scheduling.uncovered.get("small").accelerators == 1
    assert any(event.team == "big" for event in run.world.events)
    run.change_zone(ZoneChange(0, "b", True))
    run.tick()
    assert not len(run.world.scheduling.uncovered)


def test_demand_counts_unused_cells_only() -> None:
    run = driver([worker(0), worker(1)], {"big": (Shape(2, 8),)})
    submit(run, job("one", "big", accelerators=8))
    scheduling = run.world.scheduling
    assert scheduling.demand[class_of(8)] == 1
    assert count_shortfall(scheduling.unbound_blocks, scheduling.demand) == 0
