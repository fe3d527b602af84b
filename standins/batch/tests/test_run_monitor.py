"""Tests of the run monitor: runs that should move, and runs that should not."""

from dataclasses import replace

import pytest

from kingcuppost.batch.tables.job import JobState, RunEnd, StepSpec
from standins.batch import Deployment

STEP = StepSpec(2, cpu_millis=5_000, accelerators=1, estimate_ms=4_000, saves=True)


def make_ready_deployment(**sizes: int) -> Deployment:
    deployment = Deployment(5, **sizes)
    assert deployment.run_until(lambda: deployment.holder() is not None, 5_000)
    deployment.run_for(2_000)
    return deployment


def test_stalled_run_is_moved() -> None:
    deployment = make_ready_deployment()
    job_id, _ = deployment.submit((STEP,), [4_000])
    deployment.run_for(1_500)
    for minion in deployment.minions.values():
        minion.hangs = bool(minion.runs)
    assert deployment.run_until(
        lambda: deployment.state(job_id) is JobState.COMPLETED, 12_000
    )
    assert not deployment.checks.violations


@pytest.mark.parametrize("gang", [False, True], ids=["single", "gang"])
def test_a_run_that_does_not_end_after_its_work_is_moved(gang: bool) -> None:
    """Runs at 99 percent never counted as stalled, though their end may be lost."""
    deployment = make_ready_deployment()
    job_id, _ = deployment.submit((replace(STEP, gang=gang),), [4_000])
    deployment.run_for(1_000)
    working = [minion for minion in deployment.minions.values() if minion.runs]
    for minion in working:
        minion.hangs = True
        for run in minion.runs.values():
            run.done_ms = 0.995 * run.work_ms
    assert deployment.run_until(
        lambda: deployment.state(job_id) is JobState.COMPLETED, 12_000
    )
    assert not deployment.checks.violations


def test_checkpointing_run_leaves_a_draining_minion() -> None:
    deployment = make_ready_deployment()
    job_id, _ = deployment.submit((STEP,), [20_000])
    deployment.run_for(2_500)
    leaving = [minion for minion in deployment.minions.values() if minion.runs]
    for minion in leaving:
        minion.draining = True
    deployment.run_for(2_500)
    assert not any(minion.runs for minion in leaving)
    assert sum(len(minion.runs) for minion in deployment.minions.values()) == 2
    assert not deployment.checks.violations


def test_learned_speeds_separate_fast_from_slow_minions() -> None:
    deployment = make_ready_deployment(minions=4)
    for minion in deployment.minions.values():
        minion.rack = "r1-1"
    for _ in range(2):
        filling = StepSpec(8, cpu_millis=5_000, accelerators=1, estimate_ms=5_000)
        deployment.submit((filling,), [5_000], 2)
    deployment.run_for(12_000)
    speeds = {
        row.incarnation.minion: row.speed.value
        for row in deployment.holder().world.schedule.minions
    }
    slow = [minion for minion in deployment.minions.values() if minion.speed < 1]
    fast = [minion for minion in deployment.minions.values() if minion.speed > 1]
    measured = [minion for minion in fast if speeds[minion.id] != 1.0]
    assert measured
    assert all(speeds[one.id] > speeds[two.id] for one in measured for two in slow)


def test_gang_member_that_finished_its_work_is_not_stalled() -> None:
    deployment = make_ready_deployment(minions=3)
    for minion in deployment.minions.values():
        minion.rack = "r1-1"
    gang = StepSpec(
        3, cpu_millis=40_000, accelerators=4, estimate_ms=3_000, gang=True, saves=True
    )
    job_id, _ = deployment.submit((gang,), [6_000], 0)
    assert deployment.run_until(
        lambda: deployment.state(job_id, 0) is JobState.COMPLETED, 20_000
    )
    assert deployment.checks.starts == 3


def test_urgent_run_on_a_slow_minion_restarts_elsewhere() -> None:
    deployment = make_ready_deployment()
    step = StepSpec(1, cpu_millis=5_000, accelerators=1, estimate_ms=4_000)
    job_id, _ = deployment.submit((step,), [4_000], 0)
    deployment.run_for(300)
    slow = next(minion for minion in deployment.minions.values() if minion.runs)
    slow.speed = 0.15
    assert deployment.run_until(
        lambda: deployment.state(job_id, 0) is JobState.COMPLETED, 12_000
    )
    assert deployment.checks.starts == 2
    assert not deployment.checks.violations


def test_failed_task_waits_for_another_minion() -> None:
    """Retries on the idle but faulty minion would use up the attempts of the task."""
    deployment = make_ready_deployment(minions=2)
    whole = StepSpec(1, cpu_millis=64_000, accelerators=8)
    deployment.submit((whole,), [2_000], 2)
    deployment.run_for(200)
    job_id, _ = deployment.submit((whole,), [500], 1)
    failing = next(minion for minion in deployment.minions.values() if not minion.runs)
    failing.fails_all_runs = True
    assert deployment.run_until(
        lambda: deployment.state(job_id) is JobState.COMPLETED, 8_000
    )
    assert deployment.checks.ends[RunEnd.FAILED] == 1


def test_urgent_work_waits_for_a_run_that_ends_soon() -> None:
    deployment = make_ready_deployment(minions=1)
    half = StepSpec(1, cpu_millis=30_000, accelerators=4, estimate_ms=3_000)
    nearly_done, _ = deployment.submit((half,), [3_000], 1)
    deployment.run_for(2_600)
    fresh, _ = deployment.submit((half,), [9_000], 2)
    deployment.run_for(2_400)
    wide = StepSpec(5, cpu_millis=30_000, accelerators=4, estimate_ms=9_000)
    deployment.submit((wide,), [500], 0)
    deployment.run_for(800)
    assert deployment.state(nearly_done) is JobState.COMPLETED
    assert deployment.state(fresh, 2) is JobState.RUNNING
    assert deployment.checks.ends[RunEnd.STOPPED] == 1


@pytest.mark.parametrize("phase_ms", range(0, 1_000, 100))
def test_a_run_that_ends_soon_is_awaited_however_old_its_lists_are(
    phase_ms: int,
) -> None:
    """Progress counted as read when it was reported, up to 1 s too late."""
    deployment = make_ready_deployment(minions=1)
    deployment.run_for(phase_ms)
    half = StepSpec(1, cpu_millis=30_000, accelerators=4, estimate_ms=3_000)
    nearly_done, _ = deployment.submit((half,), [3_000], 1)
    deployment.run_for(2_600)
    deployment.submit((half,), [9_000], 2)
    deployment.run_for(2_400)
    wide = StepSpec(5, cpu_millis=30_000, accelerators=4, estimate_ms=9_000)
    deployment.submit((wide,), [500], 0)
    deployment.run_for(800)
    assert deployment.state(nearly_done) is JobState.COMPLETED
    assert deployment.checks.ends[RunEnd.STOPPED] == 1
