"""Plays of faults at one minion, in a given order.

The rule when runs count as ended must hold for every order of what a sidecar and the
holder can see of a minion, not only for each event alone.
"""

from kingcuppost.batch.tables.job import JobState, StepSpec
from standins.batch.deployment import Deployment
from standins.batch.minion_faults import inject_minion_fault

__all__ = ["play_faults"]

MINIONS = 5
SEED = 11
WARM_UP_MS = 5_000
WORK_MS = 4_000.0
GAP_MS = 700
RECOVERY_MS = 40_000
JOBS = (
    StepSpec(4, cpu_millis=20_000, accelerators=2),
    StepSpec(3, cpu_millis=20_000, accelerators=2, gang=True, saves=True),
)


def play_faults(names: tuple[str, ...], gap_ms: int = GAP_MS) -> list[str]:
    """Inject faults at one minion one after another; return what was violated.

    Jobs come before each fault, so that the minion works and is placed on when it
    occurs. All must complete: the other minions have room for them.
    """
    deployment = Deployment(SEED, minions=MINIONS)
    deployment.run_for(WARM_UP_MS)
    jobs = []
    sidecar = ""
    for name in names:
        jobs += [deployment.submit((step,), [WORK_MS])[0] for step in JOBS]
        deployment.run_for(gap_ms)
        sidecar = inject_minion_fault(deployment, name, sidecar)
    deployment.run_for(RECOVERY_MS)
    states = {job_id: deployment.state(job_id) for job_id in jobs}
    lost = [
        f"LOST {job_id} is {state}"
        for job_id, state in states.items()
        if state is not JobState.COMPLETED
    ]
    return deployment.checks.violations + lost
