"""Soak test with random jobs and random faults by seed.

A day is one simulated run: jobs and faults arrive during `DAY_MS`, then all accepted
jobs have `RECOVERY_MS` to end. ``python -m standins.batch 1 20`` runs the days of seeds
1 to 20.
"""

from dataclasses import dataclass, field

from kingcuppost.batch.tables.job import ENDED_STATES, JobState, StepSpec
from kingcuppost.batch.tables.messages import CallOutcome, CallReply
from standins.batch.deployment import Deployment
from standins.batch.faults import faults
from standins.batch.minion_faults import inject_minion_fault, minion_faults

__all__ = ["Outcome", "run_day"]

WARM_UP_MS = 3_000
DAY_MS = 30_000
RECOVERY_MS = 25_000
JOBS_PER_DAY = 16
FAULTS_PER_DAY = 6
CANCEL_RATIO = 0.1


@dataclass
class Outcome:
    """Result of a day.

    Attributes
    ----------
    violations : list of str
        Violated guarantees; empty if the day passed. To those of `Checks` the day adds
        ``REFUSED`` for a refused job that has run and ``LOST`` for an accepted job that
        has not ended or was cancelled without a request.
    injected_faults : list of str
        Injected faults with their simulated times, in s.
    jobs, completed : int
        Number of accepted jobs, and of those that completed.
    """

    seed: int
    violations: list[str]
    injected_faults: list[str] = field(default_factory=list)
    jobs: int = 0
    completed: int = 0


def _make_random_job(
    deployment: Deployment,
) -> tuple[tuple[StepSpec, ...], list[float], int]:
    """Return steps, work per task of each step in ms, and priority of a job."""
    rng = deployment.rng
    kind = rng.randrange(3)
    if kind == 0:
        spec = StepSpec(
            rng.randint(1, 4),
            cpu_millis=7_500,
            memory_mb=15_000,
            accelerators=rng.choice((1, 2, 4)),
            gang=True,
            one_rack=rng.random() < 0.8,
        )
        return (spec,), [rng.uniform(500, 4_000)], 0
    if kind == 1:
        spec = StepSpec(
            rng.randint(1, 3),
            cpu_millis=26_000,
            memory_mb=53_000,
            accelerators=rng.choice((1, 2, 4, 8)),
            gang=rng.random() < 0.5,
            saves=rng.random() < 0.5,
        )
        return (spec,), [rng.uniform(2_000, 8_000)], 1
    first = StepSpec(
        rng.randint(2, 10),
        cpu_millis=5_600,
        memory_mb=8_000,
        accelerators=1,
        saves=rng.random() < 0.5,
    )
    second = StepSpec(2, cpu_millis=5_600, accelerators=1, needs=(0,))
    return (first, second), [rng.uniform(1_000, 6_000), 1_000.0], 2


def run_day(
    seed: int, fault_count: int = FAULTS_PER_DAY, minion_fault_count: int = 0
) -> Outcome:
    """Run a day of jobs and faults and return its result.

    Parameters
    ----------
    seed : int
        Seed of the deployment, the jobs and the faults.
    fault_count, minion_fault_count : int
        Number of faults of the network and the processes, and of single minions.
    """
    deployment = Deployment(seed)
    deployment.run_for(WARM_UP_MS)
    outcome = Outcome(seed, deployment.checks.violations)
    exchanges: dict[str, tuple[str, int]] = {}
    cancelled: set[str] = set()

    def submit_job() -> None:
        steps, work_ms, priority = _make_random_job(deployment)
        job_id, exchange_id = deployment.submit(steps, work_ms, priority)
        exchanges[job_id] = (exchange_id, priority)
        if deployment.rng.random() < CANCEL_RATIO:
            cancelled.add(job_id)
            deployment.after(
                deployment.rng.random() * 5_000,
                lambda: deployment.cancel(job_id, priority),
            )

    def inject_fault() -> None:
        name = deployment.rng.choice(list(faults))
        at_s = deployment.clock.now_ms() / 1_000
        outcome.injected_faults.append(f"{at_s:.1f} {name} {faults[name](deployment)}")

    def inject_minion() -> None:
        name = deployment.rng.choice(list(minion_faults))
        at_s = deployment.clock.now_ms() / 1_000
        sidecar = inject_minion_fault(deployment, name)
        outcome.injected_faults.append(f"{at_s:.1f} {name} {sidecar}")

    for _ in range(JOBS_PER_DAY):
        deployment.after(deployment.rng.random() * DAY_MS, submit_job)
    for _ in range(fault_count):
        deployment.after(deployment.rng.random() * DAY_MS, inject_fault)
    for _ in range(minion_fault_count):
        deployment.after(deployment.rng.random() * DAY_MS, inject_minion)
    deployment.run_for(DAY_MS + RECOVERY_MS)
    _check_jobs(deployment, outcome, exchanges, cancelled)
    return outcome


def _check_jobs(
    deployment: Deployment,
    outcome: Outcome,
    exchanges: dict[str, tuple[str, int]],
    cancelled: set[str],
) -> None:
    """Check that accepted jobs have ended and that refused jobs completed no task.

    Only jobs for which a caller requested it may have ended as cancelled.
    """
    for job_id, (exchange_id, priority) in exchanges.items():
        reply: CallReply | None = deployment.replies.get(exchange_id)
        is_refused = reply is not None and reply.outcome is CallOutcome.NOT_RUN
        if is_refused and any(
            task.job == job_id for task in deployment.checks.completed_tasks
        ):
            outcome.violations.append(f"REFUSED {job_id} has run")
        if reply is None or reply.outcome is not CallOutcome.OK:
            continue
        outcome.jobs += 1
        state = deployment.state(job_id, priority)
        outcome.completed += state is JobState.COMPLETED
        if state not in ENDED_STATES:
            outcome.violations.append(f"LOST {job_id} is {state}")
        elif state is JobState.CANCELLED and job_id not in cancelled:
            outcome.violations.append(f"LOST {job_id} was cancelled by nobody")
