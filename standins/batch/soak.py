"""Soak test with random jobs and random faults by seed.

A day is one simulated run: jobs and faults arrive during `DAY_MS`, then all accepted
jobs have `RECOVERY_MS` to end. ``python -m standins.batch 1 20`` runs the days of seeds
1 to 20.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from kingcuppost.batch.tables.job import ENDED_STATES, JobState, StepSpec
from kingcuppost.batch.tables.messages import CallOutcome, CallReply, Stream
from kingcuppost.tables.identity import Role
from kingcuppost.utils.registry import Registry
from standins.batch.deployment import Deployment
from standins.batch.process import Process

__all__ = ["Outcome", "run_day"]

WARM_UP_MS = 3_000
DAY_MS = 30_000
RECOVERY_MS = 25_000
JOBS_PER_DAY = 16
FAULTS_PER_DAY = 6
CANCEL_RATIO = 0.1

Fault = Callable[[Deployment], str]
faults: Registry[str, Fault] = Registry("fault")


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


def _entries(deployment: Deployment) -> list[Process]:
    return [item for item in deployment.processes.values() if item.role is Role.ENTRY]


def _sidecars(deployment: Deployment) -> list[Process]:
    return [item for item in deployment.processes.values() if item.role is Role.SIDECAR]


@faults.register("kill the holder")
def _kill_holder(deployment: Deployment) -> str:
    holder = deployment.holder() or deployment.rng.choice(_entries(deployment))
    deployment.kill(holder.name)
    deployment.after(
        1_000 + deployment.rng.random() * 2_000, lambda: deployment.start(holder.name)
    )
    return holder.name


@faults.register("kill all entries")
def _kill_entries(deployment: Deployment) -> str:
    for process in _entries(deployment):
        deployment.kill(process.name)
        deployment.after(1_000, lambda process=process: deployment.start(process.name))
    return ""


@faults.register("kill a sidecar")
def _kill_sidecar(deployment: Deployment) -> str:
    process = deployment.rng.choice(_sidecars(deployment))
    deployment.kill(process.name)
    deployment.after(
        500 + deployment.rng.random() * 3_000, lambda: deployment.start(process.name)
    )
    return process.name


@faults.register("power off a worker")
def _power_off(deployment: Deployment) -> str:
    process = deployment.rng.choice(_sidecars(deployment))
    deployment.kill(process.name)
    process.minion.crash()

    def power_on() -> None:
        process.minion.restart()
        deployment.start(process.name)

    deployment.after(1_000 + deployment.rng.random() * 3_000, power_on)
    return process.name


def _set_temporarily(
    deployment: Deployment,
    targets: Iterable[object],
    name: str,
    value: bool | float,
    duration_ms: float,
) -> None:
    """Set an attribute of all targets and reset it after `duration_ms`.

    The reset value is the empty value of the attribute's type: False or 0.
    """
    targets = list(targets)
    default = type(value)()
    for target in targets:
        setattr(target, name, value)

    def reset() -> None:
        for target in targets:
            setattr(target, name, default)

    deployment.after(duration_ms, reset)


def _join_names(processes: list[Process]) -> str:
    return " ".join(process.name for process in processes)


@faults.register("cut")
def _cut_network(deployment: Deployment) -> str:
    chosen = deployment.rng.sample(list(deployment.processes.values()), 3)
    _set_temporarily(
        deployment, chosen, "is_cut_off", True, 2_000 + deployment.rng.random() * 10_000
    )
    return _join_names(chosen)


@faults.register("freeze")
def _freeze(deployment: Deployment) -> str:
    process = deployment.rng.choice(list(deployment.processes.values()))
    _set_temporarily(
        deployment,
        [process],
        "is_frozen",
        True,
        1_000 + deployment.rng.random() * 6_000,
    )
    return process.name


@faults.register("turn entries away")
def _reject_at_log(deployment: Deployment) -> str:
    chosen = deployment.rng.sample(
        _entries(deployment), 1 + deployment.rng.randrange(2)
    )
    duration_ms = 2_000 + deployment.rng.random() * 7_000
    _set_temporarily(deployment, chosen, "is_rejected_by_log", True, duration_ms)
    return _join_names(chosen)


@faults.register("log down")
def _stop_log(deployment: Deployment) -> str:
    _set_temporarily(
        deployment,
        [deployment],
        "log_is_down",
        True,
        1_000 + deployment.rng.random() * 5_000,
    )
    return ""


@faults.register("lose answers of the log")
def _lose_answers(deployment: Deployment) -> str:
    _set_temporarily(deployment, [deployment], "lost_answer_ratio", 0.3, 4_000)
    return ""


@faults.register("carry orders out late")
def _delay_orders(deployment: Deployment) -> str:
    _set_temporarily(deployment, [deployment], "late_order_ratio", 0.3, 5_000)
    return ""


@faults.register("forget history")
def _drop_history(deployment: Deployment) -> str:
    for stream in Stream:
        deployment.store.drop_history(stream)
    return ""


@faults.register("zone out")
def _close_zone(deployment: Deployment) -> str:
    zone = f"zone-{deployment.rng.randrange(3)}"
    deployment.closed_zones.add(zone)
    deployment.after(6_000, lambda: deployment.closed_zones.discard(zone))
    return zone


@faults.register("minion fails all")
def _fail_runs(deployment: Deployment) -> str:
    minion = deployment.rng.choice(list(deployment.minions.values()))
    _set_temporarily(deployment, [minion], "fails_all_runs", True, 6_000)
    return minion.id


@faults.register("stop an entry")
def _stop_entry(deployment: Deployment) -> str:
    process = deployment.rng.choice(
        [item for item in _entries(deployment) if item.is_up] or [None]
    )
    if process is None:
        return ""
    deployment.stop(process.name)
    incarnation = process.incarnation

    def restart_entry() -> None:
        if process.incarnation == incarnation:
            deployment.start(process.name)

    deployment.after(4_600, restart_entry)
    return process.name


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


def run_day(seed: int, fault_count: int = FAULTS_PER_DAY) -> Outcome:
    """Run a day of jobs and faults and return its result."""
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

    for _ in range(JOBS_PER_DAY):
        deployment.after(deployment.rng.random() * DAY_MS, submit_job)
    for _ in range(fault_count):
        deployment.after(deployment.rng.random() * DAY_MS, inject_fault)
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
