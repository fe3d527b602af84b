"""Random jobs over all combinations of the fields of a step."""

import random
from dataclasses import dataclass, replace
from math import exp, log

from kingcuppost.batch.tables.job import MAX_JOB_TASKS, StepSpec
from standins.batch.deployment import GUARANTEES, PATH_PREFIXES
from standins.batch.fleets import KIND, RARE_KIND, WHOLE
from standins.batch.minions import Minion
from standins.batch.room import holds_when_idle

__all__ = ["RandomJob", "make_random_job", "make_random_wide_job"]

MAX_STEPS = 3
MAX_TRIES = 20
MIN_WORK_MS = 300
MAX_WORK_MS = 6_000
LONG_WORK_MS = 25_000
LONG_WORK_RATIO = 0.1
MIN_WIDE_STEPS = 50
MAX_WIDE_STEPS = 3_000  # a record takes few more
MAX_WIDE_NEEDS = 20_000  # likewise
MAX_LAYER_STEPS = 40
MAX_GANG_TASKS = 8
WIDE_CPU_MILLIS = (10, 100, 500)
WIDE_WORK_MS = 500.0
SHARES = (0.0, 0.02, 0.1, 0.25, 0.4, 0.5, 0.95, 1.0)  # of a whole minion
ACCELERATORS = (0, 0, 1, 2, 4, 8)
LIMITS = (0, 0, 1, 2, 3)
NARROW_COUNT = 4
LOG_ESTIMATE_ERROR = 1.2
NO_ESTIMATE_RATIO = 0.15
UNKNOWN_RACK = "r99-1"


@dataclass(frozen=True, slots=True)
class RandomJob:
    """A job as a caller submits it.

    Attributes
    ----------
    work_ms : list of float
        Work of a task of each step, in ms at speed 1.
    api_key : str
        Key of the team that submits it.
    """

    steps: tuple[StepSpec, ...]
    work_ms: list[float]
    priority: int
    api_key: str


def make_random_job(rng: random.Random, minions: list[Minion]) -> RandomJob:
    """Return a job that the minions could do if they were idle.

    Parameters
    ----------
    minions : list of Minion
        All minions of the deployment; those that are not up and draining ones count as
        places of data only.
    """
    usable = [item for item in minions if item.is_up and not item.draining]
    for _ in range(MAX_TRIES):
        job = _make_job(rng, minions)
        if holds_when_idle(job.steps, usable):
            return job
    step = StepSpec(1, cpu_millis=100, estimate_ms=MIN_WORK_MS)
    return RandomJob((step,), [MIN_WORK_MS], 1, "key-a")


def _make_job(rng: random.Random, minions: list[Minion]) -> RandomJob:
    count = rng.choice((1, 1, 1, 2, MAX_STEPS))
    work_ms = [_make_work_ms(rng) for _ in range(count)]
    steps = tuple(
        _make_step(rng, minions, index, work_ms[index]) for index in range(count)
    )
    priority = rng.randrange(len(PATH_PREFIXES))
    return RandomJob(steps, work_ms, priority, f"key-{rng.choice(list(GUARANTEES))}")


def _make_work_ms(rng: random.Random) -> float:
    if rng.random() < LONG_WORK_RATIO:
        return LONG_WORK_MS
    return rng.uniform(MIN_WORK_MS, MAX_WORK_MS)


def _make_step(
    rng: random.Random, minions: list[Minion], index: int, work_ms: float
) -> StepSpec:
    return StepSpec(
        _make_count(rng, minions),
        int(WHOLE[0] * rng.choice(SHARES)),
        int(WHOLE[1] * rng.choice(SHARES)),
        rng.choice(ACCELERATORS),
        _make_estimate_ms(rng, work_ms),
        tuple(needed for needed in range(index) if rng.random() < 0.6),
        gang=rng.random() < 0.5,
        one_rack=rng.random() < 0.5,
        label=rng.choice(("", "", "", KIND, RARE_KIND)),
        rack=_make_rack(rng, minions),
        most_per_minion=rng.choice(LIMITS),
        saves=rng.random() < 0.5,
    )


def _make_count(rng: random.Random, minions: list[Minion]) -> int:
    """Return a number of tasks: few, about as wide as a rack, or wider."""
    width = max(len(minions) // 2, 1)
    kind = rng.randrange(4)
    if kind == 0:
        return 1
    if kind == 1:
        return rng.randint(2, NARROW_COUNT)
    if kind == 2:
        return rng.randint(1, width)
    return rng.randint(1, 2 * len(minions))


def _make_estimate_ms(rng: random.Random, work_ms: float) -> int:
    if rng.random() < NO_ESTIMATE_RATIO:
        return 0
    return int(work_ms * exp(rng.uniform(-LOG_ESTIMATE_ERROR, LOG_ESTIMATE_ERROR)))


def _make_rack(rng: random.Random, minions: list[Minion]) -> str:
    """Return a rack that holds data, also one whose minions are lost, or none."""
    if rng.random() < 0.6:
        return ""
    if rng.random() < 0.1:
        return UNKNOWN_RACK
    return rng.choice(minions).rack


def make_random_wide_job(rng: random.Random) -> RandomJob:
    """Return a job of many small steps, up to what the interface accepts.

    The steps depend on nothing, or on the layer of steps before theirs.
    """
    count = int(exp(rng.uniform(log(MIN_WIDE_STEPS), log(MAX_WIDE_STEPS))))
    layer = rng.choice((count, rng.randint(1, MAX_LAYER_STEPS)))
    if layer < count:
        count = min(count, MAX_WIDE_NEEDS // layer)
    tasks = rng.choice((1, 1, rng.randint(2, MAX_GANG_TASKS)))
    count = min(count, MAX_JOB_TASKS // tasks)
    step = StepSpec(
        tasks,
        cpu_millis=rng.choice(WIDE_CPU_MILLIS),
        memory_mb=1,
        estimate_ms=int(WIDE_WORK_MS),
        gang=tasks > 1 and rng.random() < 0.7,
    )
    has_equal_steps = rng.random() < 0.7
    steps = tuple(
        replace(
            step,
            memory_mb=1 if has_equal_steps else 1 + index,
            needs=_layer_before(index, layer),
        )
        for index in range(count)
    )
    priority = rng.randrange(len(PATH_PREFIXES))
    return RandomJob(steps, [WIDE_WORK_MS] * count, priority, "key-a")


def _layer_before(index: int, layer: int) -> tuple[int, ...]:
    """Return the steps of the layer before that of a step."""
    first = index // layer * layer
    return tuple(range(max(first - layer, 0), first))
