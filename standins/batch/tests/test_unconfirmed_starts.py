"""Runs that are placed at a minion which lists its runs, and do not begin there."""

import pytest

from kingcuppost.batch.tables.job import JobState, RunEnd, StepSpec
from standins.batch import Deployment
from standins.batch.minions import Minion
from standins.batch.tests.test_jobs import make_ready_deployment

MINIONS = 6
SICK = 2
SETTLE_MS = 8_000  # longer than the leases from before the sidecars started
START_LIMIT_MS = 3_000
WORK_MS = 60_000
GANG_MS = 12_000
SINGLE = StepSpec(1, cpu_millis=40_000, accelerators=4)
WIDE = StepSpec(6, cpu_millis=40_000, accelerators=4, estimate_ms=WORK_MS)
GANG = StepSpec(4, cpu_millis=40_000, accelerators=4, gang=True)
PRIORITIES = (0, 1, 2)
SICKNESSES = [
    pytest.param(("is_busy_for_starts",), id="busy for starts"),
    pytest.param(("is_busy_for_starts", "is_busy_for_stops"), id="busy"),
    pytest.param(("ignores_starts",), id="no answer to starts"),
    pytest.param(("ignores_starts", "ignores_stops"), id="no answer"),
    pytest.param(("ignores_starts", "is_busy_for_stops"), id="no answer, then busy"),
    pytest.param(("swallows_starts",), id="accepted and lost"),
]


def make_sick_deployment(
    names: tuple[str, ...], sick: int, **sizes: int
) -> tuple[Deployment, list[Minion]]:
    """Return a deployment, and its first `sick` minions, with attributes set."""
    deployment = make_ready_deployment(minions=MINIONS, **sizes)
    deployment.checks.expects_no_faults = False
    deployment.run_for(SETTLE_MS)
    sick_minions = list(deployment.minions.values())[:sick]
    for minion in sick_minions:
        for name in names:
            setattr(minion, name, True)
    return deployment, sick_minions


def count_running(deployment: Deployment, job_id: str) -> int:
    return sum(
        run.task.job == job_id
        for minion in deployment.minions.values()
        for run in minion.runs.values()
    )


def is_complete(deployment: Deployment, job_id: str, priority: int) -> bool:
    return deployment.state(job_id, priority) is JobState.COMPLETED


@pytest.mark.parametrize("priority", PRIORITIES)
@pytest.mark.parametrize("names", SICKNESSES)
def test_a_task_leaves_a_minion_that_does_not_start_it(
    names: tuple[str, ...], priority: int
) -> None:
    """It stayed placed there for ever, with all other minions idle."""
    deployment, sick = make_sick_deployment(names, 1)
    others = [minion for minion in deployment.minions.values() if minion not in sick]
    for minion in others:
        minion.draining = True
    deployment.run_for(1_000)
    job_id, _ = deployment.submit((SINGLE,), [WORK_MS], priority)
    deployment.run_for(100)
    for minion in others:
        minion.draining = False
    assert deployment.run_until(
        lambda: count_running(deployment, job_id) == 1, START_LIMIT_MS
    )
    assert not deployment.checks.violations


@pytest.mark.parametrize("priority", PRIORITIES)
@pytest.mark.parametrize("names", SICKNESSES)
def test_a_wide_step_leaves_minions_that_do_not_start_its_tasks(
    names: tuple[str, ...], priority: int
) -> None:
    """Two of its tasks stayed placed there for ever."""
    deployment, _ = make_sick_deployment(names, SICK)
    half = StepSpec(6, cpu_millis=20_000, accelerators=2, estimate_ms=WORK_MS)
    job_id, _ = deployment.submit((half,), [WORK_MS], priority)
    assert deployment.run_until(
        lambda: count_running(deployment, job_id) == half.count, START_LIMIT_MS
    )
    assert not deployment.checks.violations


@pytest.mark.parametrize("priority", PRIORITIES)
@pytest.mark.parametrize("names", SICKNESSES)
def test_a_gang_leaves_minions_that_do_not_start_its_members(
    names: tuple[str, ...], priority: int
) -> None:
    """It was placed on them again and again, and its other members ended as alone."""
    deployment, _ = make_sick_deployment(names, SICK)
    job_id, _ = deployment.submit((GANG,), [GANG_MS], priority)
    assert deployment.run_until(
        lambda: count_running(deployment, job_id) == GANG.count, START_LIMIT_MS
    )
    deployment.run_for(GANG_MS * 2)
    assert is_complete(deployment, job_id, priority)
    assert not deployment.checks.ends[RunEnd.ALONE]
    assert not deployment.checks.violations


@pytest.mark.parametrize("names", SICKNESSES)
def test_a_task_leaves_a_draining_minion_that_does_not_start_it(
    names: tuple[str, ...],
) -> None:
    """Its start was neither sent any more nor withdrawn."""
    deployment, sick = make_sick_deployment(names, MINIONS)
    job_id, _ = deployment.submit((SINGLE,), [WORK_MS])
    deployment.run_for(300)
    placed = {row.minion for row in deployment.holder().world.schedule.loads}
    for minion in sick:
        if minion.id in placed:
            minion.draining = True
            continue
        for name in names:
            setattr(minion, name, False)
    assert placed
    assert deployment.run_until(
        lambda: count_running(deployment, job_id) == 1, START_LIMIT_MS
    )
    assert not deployment.checks.violations


@pytest.mark.parametrize("restarts_sidecar", [False, True])
@pytest.mark.parametrize("step", [SINGLE, GANG], ids=["single", "gang"])
def test_a_task_whose_run_is_lost_without_an_end_runs_again(
    step: StepSpec, restarts_sidecar: bool
) -> None:
    """A confirmed run that was missing from later lists stayed placed for ever."""
    deployment, _ = make_sick_deployment((), 0)
    job_id, _ = deployment.submit((step,), [GANG_MS])
    deployment.run_for(2_000)
    assert count_running(deployment, job_id) == step.count
    process = next(
        item
        for item in deployment.processes.values()
        if item.minion and item.minion.runs
    )
    if restarts_sidecar:
        deployment.kill(process.name)
        deployment.start(process.name)
        deployment.run_for(1_000)
    process.minion.lose_runs()
    assert deployment.run_until(
        lambda: count_running(deployment, job_id) == step.count, START_LIMIT_MS
    )
    assert not deployment.checks.violations


@pytest.mark.parametrize("sick", [1, MINIONS])
@pytest.mark.parametrize("step", [SINGLE, GANG], ids=["single", "gang"])
def test_a_run_goes_on_though_its_start_gets_no_answer(
    step: StepSpec, sick: int
) -> None:
    """It was withdrawn while lists showed it, and placed there again and again."""
    deployment, _ = make_sick_deployment(("leaves_starts_unanswered",), sick)
    job_id, _ = deployment.submit((step,), [GANG_MS])
    deployment.run_for(GANG_MS * 2)
    assert is_complete(deployment, job_id, 1)
    assert deployment.checks.starts == step.count
    assert not deployment.checks.violations


@pytest.mark.parametrize("priority", PRIORITIES)
def test_a_task_leaves_minions_that_refuse_it_and_where_a_run_stalled_before(
    priority: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of the earlier pause took the place of the new one."""
    deployment, refusing = make_sick_deployment((), MINIONS - 1)
    now_ms = deployment.clock.now_ms()
    for row in deployment.holder().world.schedule.minions:
        row.stalled_ms = now_ms - SETTLE_MS
    for minion in refusing:
        monkeypatch.setattr(minion, "start", lambda *order: "room")
    job_id, _ = deployment.submit((SINGLE,), [WORK_MS], priority)
    assert deployment.run_until(
        lambda: count_running(deployment, job_id) == 1, START_LIMIT_MS
    )
