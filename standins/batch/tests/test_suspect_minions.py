"""Work that only minions under suspicion can run."""

from dataclasses import replace

from kingcuppost.batch.tables.job import (
    ENDED_STATES,
    JobState,
    RunEnd,
    StepSpec,
    TaskName,
)
from standins.batch import Deployment
from standins.batch.minions import Minion
from standins.batch.tests.test_preferences import make_racks, starts_within

RARE = StepSpec(1, cpu_millis=1_000, accelerators=1, label="x", estimate_ms=1_000)
LOST_MS = 3_000
PAUSE_MS = 4_000  # ends within the 5 s for which the minions are left out


def make_suspect_minions() -> tuple[Deployment, list[Minion]]:
    """Return a deployment where the only minions of a kind fail every run."""
    deployment = make_racks(4)
    deployment.checks.expects_no_faults = False
    minions = list(deployment.minions.values())[:2]
    for minion in minions:
        minion.kind = "x"
        minion.crash()
        minion.restart()
    deployment.run_for(9_000)
    for minion in minions:
        minion.fails_all_runs = True
    for _ in range(2):
        deployment.submit((RARE,), [1_000])
    deployment.run_for(800)
    return deployment, minions


def test_work_starts_though_all_its_minions_have_just_failed_other_jobs() -> None:
    """They are left out for 5 s after the failures, also while they are idle."""
    deployment, minions = make_suspect_minions()
    for minion in minions:
        minion.fails_all_runs = False
    job_id, _ = deployment.submit((RARE,), [60_000], 0)
    assert starts_within(deployment, job_id, 1, LOST_MS)


def test_a_faulty_minion_uses_up_one_attempt_in_a_pause() -> None:
    """Tries without a limit would use up all attempts of a task at once."""
    deployment, _ = make_suspect_minions()
    failed_before = deployment.checks.ends[RunEnd.FAILED]
    jobs = [deployment.submit((RARE,), [1_000])[0] for _ in range(6)]
    deployment.run_for(PAUSE_MS)
    assert deployment.checks.ends[RunEnd.FAILED] - failed_before == 2
    assert not any(deployment.state(job_id) in ENDED_STATES for job_id in jobs)


def test_the_last_attempt_of_a_task_waits_for_the_end_of_the_pause() -> None:
    deployment, _ = make_suspect_minions()
    job_id, _ = deployment.submit((RARE,), [1_000])
    deployment.run_for(PAUSE_MS)
    assert deployment.checks.failure_counts[TaskName(job_id, 0, 0, 0)] == 2
    assert deployment.state(job_id) is not JobState.FAILED


def test_a_gang_is_not_tried() -> None:
    """One faulty minion would cost all members their work."""
    deployment, _ = make_suspect_minions()
    starts = deployment.checks.starts
    deployment.submit((replace(RARE, count=2, gang=True),), [1_000])
    deployment.run_for(PAUSE_MS)
    assert deployment.checks.starts == starts


def test_work_waits_for_other_minions_that_are_merely_busy() -> None:
    deployment, _ = make_suspect_minions()
    whole = StepSpec(14, cpu_millis=60_000, accelerators=8)
    deployment.submit((whole,), [60_000])
    deployment.run_for(300)
    starts = deployment.checks.starts
    deployment.submit((replace(whole, count=1),), [1_000])
    deployment.run_for(PAUSE_MS - 500)
    assert deployment.checks.starts == starts
