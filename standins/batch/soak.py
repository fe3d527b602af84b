"""Days of random work and random faults, by seed: ``python -m standins.batch 1 20``."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from kingcuppost.batch.tables.job import JobState, StepSpec
from kingcuppost.batch.tables.messages import CallOutcome, CallReply, Stream
from kingcuppost.tables.identity import Role
from kingcuppost.utils.registry import Registry
from standins.batch.deployment import Deployment, Process

__all__ = ["Outcome", "play"]

WARM_MS = 3_000
DAY_MS = 30_000
CALM_MS = 25_000
ENDED = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
DEFINITE = (CallOutcome.OK, CallOutcome.NOT_RUN)

Fault = Callable[[Deployment], str]
faults: Registry[str, Fault] = Registry("fault")


@dataclass
class Outcome:
    """What a day came to.

    Attributes
    ----------
    broken : list of str
        Broken promises; none on a good day.
    happened : list of str
        Faults with their times, in s.
    jobs, completed : int
        Accepted jobs, and those that were completed.
    """

    seed: int
    broken: list[str]
    happened: list[str] = field(default_factory=list)
    jobs: int = 0
    completed: int = 0


def _entries(day: Deployment) -> list[Process]:
    return [item for item in day.processes.values() if item.role is Role.ENTRY]


def _sidecars(day: Deployment) -> list[Process]:
    return [item for item in day.processes.values() if item.role is Role.SIDECAR]


@faults.register("kill the holder")
def _kill_holder(day: Deployment) -> str:
    holder = day.holder() or day.rng.choice(_entries(day))
    day.kill(holder.name)
    day.at(1_000 + day.rng.random() * 2_000, lambda: day.start(holder.name))
    return holder.name


@faults.register("kill all entries")
def _kill_entries(day: Deployment) -> str:
    for process in _entries(day):
        day.kill(process.name)
        day.at(1_000, lambda process=process: day.start(process.name))
    return ""


@faults.register("kill a sidecar")
def _kill_sidecar(day: Deployment) -> str:
    process = day.rng.choice(_sidecars(day))
    day.kill(process.name)
    day.at(500 + day.rng.random() * 3_000, lambda: day.start(process.name))
    return process.name


@faults.register("power off a worker")
def _power_off(day: Deployment) -> str:
    process = day.rng.choice(_sidecars(day))
    day.kill(process.name)
    process.minion.is_up = False
    process.minion.restart()

    def back() -> None:
        process.minion.is_up = True
        process.minion.restart()
        day.start(process.name)

    day.at(1_000 + day.rng.random() * 3_000, back)
    return process.name


def _for_a_while(
    day: Deployment,
    rows: Iterable[object],
    name: str,
    value: bool | float,
    for_ms: float,
) -> None:
    """Set an attribute of some rows, and set it back to nothing after a while."""
    rows = list(rows)
    calm = type(value)()
    for row in rows:
        setattr(row, name, value)

    def heal() -> None:
        for row in rows:
            setattr(row, name, calm)

    day.at(for_ms, heal)


def _names(processes: list[Process]) -> str:
    return " ".join(process.name for process in processes)


@faults.register("cut")
def _cut(day: Deployment) -> str:
    chosen = day.rng.sample(list(day.processes.values()), 3)
    _for_a_while(day, chosen, "is_cut", True, 2_000 + day.rng.random() * 10_000)
    return _names(chosen)


@faults.register("freeze")
def _freeze(day: Deployment) -> str:
    process = day.rng.choice(list(day.processes.values()))
    _for_a_while(day, [process], "is_frozen", True, 1_000 + day.rng.random() * 6_000)
    return process.name


@faults.register("turn entries away")
def _turn_away(day: Deployment) -> str:
    chosen = day.rng.sample(_entries(day), 1 + day.rng.randrange(2))
    span_ms = 2_000 + day.rng.random() * 7_000
    _for_a_while(day, chosen, "is_turned_away", True, span_ms)
    return _names(chosen)


@faults.register("log down")
def _log_down(day: Deployment) -> str:
    _for_a_while(day, [day], "log_is_down", True, 1_000 + day.rng.random() * 5_000)
    return ""


@faults.register("lose answers of the log")
def _lose_answers(day: Deployment) -> str:
    _for_a_while(day, [day], "lost_answers", 0.3, 4_000)
    return ""


@faults.register("carry orders out late")
def _late_orders(day: Deployment) -> str:
    _for_a_while(day, [day], "late_orders", 0.3, 5_000)
    return ""


@faults.register("forget history")
def _forget(day: Deployment) -> str:
    for stream in Stream:
        day.store.forget(stream)
    return ""


@faults.register("zone out")
def _zone_out(day: Deployment) -> str:
    zone = f"zone-{day.rng.randrange(3)}"
    day.closed.add(zone)
    day.at(6_000, lambda: day.closed.discard(zone))
    return zone


@faults.register("minion fails all")
def _failing(day: Deployment) -> str:
    minion = day.rng.choice(list(day.minions.values()))
    _for_a_while(day, [minion], "fails", True, 6_000)
    return minion.id


@faults.register("stop an entry")
def _stop_entry(day: Deployment) -> str:
    process = day.rng.choice([item for item in _entries(day) if item.is_up] or [None])
    if process is None:
        return ""
    day.stop(process.name)
    incarnation = process.incarnation

    def again() -> None:
        if process.incarnation == incarnation:
            day.start(process.name)

    day.at(4_600, again)
    return process.name


def _random_job(day: Deployment) -> tuple[tuple[StepSpec, ...], list[float], int]:
    rng = day.rng
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


def play(seed: int, fault_count: int = 6) -> Outcome:
    """Play a day and return what it came to."""
    day = Deployment(seed)
    day.run_for(WARM_MS)
    outcome = Outcome(seed, day.checks.broken)
    exchanges: dict[str, tuple[str, int]] = {}
    cancelled: set[str] = set()

    def work() -> None:
        steps, work_ms, priority = _random_job(day)
        job_id, exchange_id = day.submit(steps, work_ms, priority)
        exchanges[job_id] = (exchange_id, priority)
        if day.rng.random() < 0.1:
            cancelled.add(job_id)
            day.at(day.rng.random() * 5_000, lambda: day.cancel(job_id, priority))

    def fault() -> None:
        name = day.rng.choice(list(faults))
        at_s = day.clock.now_ms() / 1_000
        outcome.happened.append(f"{at_s:.1f} {name} {faults[name](day)}")

    for _ in range(16):
        day.at(day.rng.random() * DAY_MS, work)
    for _ in range(fault_count):
        day.at(day.rng.random() * DAY_MS, fault)
    day.run_for(DAY_MS + CALM_MS)
    _judge(day, outcome, exchanges, cancelled)
    return outcome


def _judge(
    day: Deployment,
    outcome: Outcome,
    exchanges: dict[str, tuple[str, int]],
    cancelled: set[str],
) -> None:
    """Check that accepted jobs have ended and refused ones never ran."""
    for job_id, (exchange_id, priority) in exchanges.items():
        reply: CallReply | None = day.replies.get(exchange_id)
        is_refused = reply is not None and reply.verdict is CallOutcome.NOT_RUN
        if is_refused and any(task.job == job_id for task in day.checks.done):
            outcome.broken.append(f"REFUSED {job_id} has run")
        if reply is None or reply.verdict is not CallOutcome.OK:
            continue
        outcome.jobs += 1
        state = day.state(job_id, priority)
        outcome.completed += state is JobState.COMPLETED
        if state not in ENDED:
            outcome.broken.append(f"LOST {job_id} is {state}")
        elif state is JobState.CANCELLED and job_id not in cancelled:
            outcome.broken.append(f"LOST {job_id} was cancelled by nobody")
