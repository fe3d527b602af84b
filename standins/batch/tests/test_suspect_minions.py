"""Work that only minions under suspicion can run."""

from kingcuppost.batch.tables.job import StepSpec
from standins.batch.tests.test_preferences import make_racks, starts_within

RARE = StepSpec(1, cpu_millis=1_000, accelerators=1, label="x", estimate_ms=1_000)
LOST_MS = 3_000


def test_work_starts_though_all_its_minions_have_just_failed_other_jobs() -> None:
    """They are left out for 5 s after the failures, also while they are idle."""
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
    for minion in minions:
        minion.fails_all_runs = False
    job_id, _ = deployment.submit((RARE,), [60_000], 0)
    assert starts_within(deployment, job_id, 1, LOST_MS)
