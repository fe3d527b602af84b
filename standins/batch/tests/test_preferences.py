"""How long work waits for the racks and minions that it prefers."""

from dataclasses import replace

import pytest

from kingcuppost.batch.tables.job import StepSpec
from standins.batch import Deployment
from standins.batch.fleets import MinionSpec
from standins.batch.tests.test_jobs import make_ready_deployment

LONG_MS = 120_000
LOST_MS = 3_000
SMALL = StepSpec(1, cpu_millis=5_600, accelerators=1, estimate_ms=LONG_MS)
WHOLE = StepSpec(1, cpu_millis=60_000, accelerators=8, estimate_ms=LONG_MS)
RACK_GANG = StepSpec(
    8, cpu_millis=26_000, accelerators=8, gang=True, one_rack=True, estimate_ms=8_000
)
PRIORITIES = (0, 1, 2)
STOP_SICKNESSES = ("is_busy_for_stops", "ignores_stops", "swallows_stops")


def make_racks(racks: int, minions: int = 16) -> Deployment:
    """Return a deployment whose racks have equally many minions."""
    deployment = make_ready_deployment(minions=minions)
    for index, minion in enumerate(deployment.minions.values()):
        minion.rack = f"r{index * racks // minions}-1"
        minion.crash()
        minion.restart()
    deployment.run_for(9_000)
    return deployment


def occupy(deployment: Deployment, rack: str, step: StepSpec, work_ms: float) -> None:
    """Run a task of a step in a rack."""
    in_rack = StepSpec(
        1,
        cpu_millis=step.cpu_millis,
        accelerators=step.accelerators,
        estimate_ms=int(work_ms),
        rack=rack,
    )
    deployment.submit((in_rack,), [work_ms])
    deployment.run_for(300)


def racks_of(deployment: Deployment, job_id: str) -> list[str]:
    """Return the rack of each running task of a job."""
    return [
        minion.rack
        for minion in deployment.minions.values()
        for run in minion.runs.values()
        if run.task.job == job_id
    ]


def starts_within(
    deployment: Deployment, job_id: str, count: int, limit_ms: int
) -> bool:
    return deployment.run_until(
        lambda: len(racks_of(deployment, job_id)) == count, limit_ms
    )


@pytest.mark.parametrize("priority", PRIORITIES)
def test_a_gang_starts_though_each_rack_holds_a_long_task(priority: int) -> None:
    """It waited for a free rack for ever, with most minions free."""
    deployment = make_racks(2)
    for rack in ("r0-1", "r1-1"):
        occupy(deployment, rack, SMALL, LONG_MS)
    job_id, _ = deployment.submit((RACK_GANG,), [8_000], priority)
    assert starts_within(deployment, job_id, 8, LOST_MS)


@pytest.mark.parametrize("priority", PRIORITIES)
def test_a_step_starts_though_the_rack_of_its_data_is_full(priority: int) -> None:
    """It waited for that rack for ever, with all other racks free."""
    deployment = make_racks(8)
    for _ in range(2):
        occupy(deployment, "r0-1", WHOLE, LONG_MS)
    step = StepSpec(2, accelerators=1, rack="r0-1", estimate_ms=4_000)
    job_id, _ = deployment.submit((step,), [4_000], priority)
    assert starts_within(deployment, job_id, 2, LOST_MS)


@pytest.mark.parametrize("priority", PRIORITIES)
def test_a_gang_starts_though_its_limit_per_minion_excludes_each_rack(
    priority: int,
) -> None:
    """Racks counted as large enough without regard to the limit."""
    deployment = make_racks(4)
    gang = StepSpec(
        5,
        accelerators=1,
        gang=True,
        one_rack=True,
        most_per_minion=1,
        estimate_ms=8_000,
    )
    job_id, _ = deployment.submit((gang,), [8_000], priority)
    assert starts_within(deployment, job_id, 5, LOST_MS)


@pytest.mark.parametrize("priority", PRIORITIES)
def test_a_gang_starts_though_the_rack_that_it_waits_for_loses_minions(
    priority: int,
) -> None:
    deployment = make_racks(2)
    for rack in ("r0-1", "r1-1"):
        occupy(deployment, rack, SMALL, LONG_MS)
    job_id, _ = deployment.submit((RACK_GANG,), [60_000], priority)
    deployment.run_for(1_000)
    idle = [minion for minion in deployment.minions.values() if not minion.runs]
    for minion in idle[::4]:
        minion.crash()
    free = len(deployment.minions) - len(idle[::4]) - 2
    assert free >= RACK_GANG.count
    assert starts_within(deployment, job_id, 8, 12_000)


def test_the_wait_for_a_rack_does_not_begin_anew_when_the_fleet_changes() -> None:
    """Minions that come and go must not put the end of the wait off."""
    deployment = make_racks(4, minions=24)
    for index in range(4):
        occupy(deployment, f"r{index}-1", SMALL, 12_000)
    gang = replace(RACK_GANG, count=6)
    job_id, _ = deployment.submit((gang,), [8_000])
    idle = next(item for item in deployment.minions.values() if not item.runs)
    deployment.run_for(500)
    assert racks_of(deployment, job_id) == []
    for _ in range(5):
        idle.draining = not idle.draining
        deployment.run_for(500)
    assert len(racks_of(deployment, job_id)) == 6


def test_a_gang_waits_for_a_rack_that_is_about_to_be_free() -> None:
    deployment = make_racks(2)
    for rack in ("r0-1", "r1-1"):
        occupy(deployment, rack, SMALL, 2_500)
    job_id, _ = deployment.submit((RACK_GANG,), [8_000])
    assert starts_within(deployment, job_id, 8, LOST_MS)
    assert len(set(racks_of(deployment, job_id))) == 1


@pytest.mark.parametrize("priority", PRIORITIES)
def test_a_step_starts_though_most_minions_with_its_label_are_busy(
    priority: int,
) -> None:
    """Whether capacity is scarce was judged by the minions of its label alone."""
    labelled = [MinionSpec(f"m-{i}", "zone-0", "r0-1", kind="b") for i in range(3)]
    others = [MinionSpec(f"m-{i}", "zone-1", "r1-1", kind="b") for i in range(3, 5)]
    rest = [MinionSpec(f"m-{i}", "zone-2", "r2-1") for i in range(5, 16)]
    deployment = Deployment(1, fleet=(*labelled, *others, *rest))
    deployment.run_for(3_000)
    for _ in range(3):
        occupy(deployment, "r0-1", WHOLE, 7_000)
    step = StepSpec(1, accelerators=8, label="b", rack="r0-1", estimate_ms=4_000)
    job_id, _ = deployment.submit((step,), [4_000], priority)
    assert starts_within(deployment, job_id, 1, LOST_MS)


def test_a_gang_waits_longer_for_a_rack_while_capacity_is_scarce() -> None:
    deployment = make_racks(2)
    for minion in deployment.minions.values():
        minion.speed = 1.0
    for _ in range(5):
        occupy(deployment, "r1-1", WHOLE, LONG_MS)
    for _ in range(4):
        occupy(deployment, "r0-1", WHOLE, 12_000)
    gang = StepSpec(
        5,
        cpu_millis=60_000,
        accelerators=8,
        gang=True,
        one_rack=True,
        estimate_ms=20_000,
    )
    job_id, _ = deployment.submit((gang,), [20_000])
    deployment.run_for(4_000)
    assert racks_of(deployment, job_id) == []
    assert starts_within(deployment, job_id, 5, 20_000)
    assert set(racks_of(deployment, job_id)) == {"r0-1"}


def make_stops_fail(deployment: Deployment, name: str) -> None:
    """Let the minions that run something carry out no stop."""
    for minion in deployment.minions.values():
        if minion.runs:
            setattr(minion, name, True)


@pytest.mark.parametrize("name", STOP_SICKNESSES)
def test_urgent_work_starts_though_stops_fail_in_the_rack_of_its_data(
    name: str,
) -> None:
    """Its reservation there was renewed for ever, with all other racks free."""
    deployment = make_racks(8)
    for _ in range(2):
        occupy(deployment, "r0-1", WHOLE, LONG_MS)
    make_stops_fail(deployment, name)
    step = StepSpec(2, accelerators=4, rack="r0-1", estimate_ms=60_000)
    job_id, _ = deployment.submit((step,), [60_000], 0)
    assert starts_within(deployment, job_id, 2, LOST_MS)


@pytest.mark.parametrize("name", STOP_SICKNESSES)
def test_an_urgent_gang_starts_though_stops_fail_in_each_rack(name: str) -> None:
    """It preempted the tasks there, and waited for their ends for ever."""
    deployment = make_racks(2)
    for rack in ("r0-1", "r1-1"):
        occupy(deployment, rack, SMALL, LONG_MS)
    make_stops_fail(deployment, name)
    job_id, _ = deployment.submit((RACK_GANG,), [60_000], 0)
    assert starts_within(deployment, job_id, 8, 2 * LOST_MS)
