"""The number of waiting jobs that callers are shown."""

from kingcuppost.batch.tables.job import StepSpec
from kingcuppost.batch.tables.messages import CallKind
from standins.batch.tests.test_jobs import make_ready_deployment

FILLER = StepSpec(1, cpu_millis=60_000, accelerators=4)
PLACED_MS = 5_500


def test_a_job_that_is_placed_on_a_silent_minion_still_waits() -> None:
    """A job counted as begun when it was placed, also if no minion had its start."""
    deployment = make_ready_deployment(minions=2)
    deployment.submit((FILLER,), [60_000], 2)
    deployment.run_for(500)
    idle = next(item for item in deployment.minions.values() if not item.runs)
    idle.is_frozen = True
    deployment.submit((FILLER,), [1_000], 0)
    deployment.run_for(PLACED_MS)
    assert idle.runs == {}
    count = deployment.call(CallKind.STATE, "/urgent/")
    deployment.run_for(50)
    assert deployment.replies[count].waiting == 1
