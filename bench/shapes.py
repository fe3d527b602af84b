"""Shapes of work that callers may submit, at any size.

What a tick of the holder costs may depend on the number of tasks, of steps, of needs or
of jobs. Each shape makes one of them large.
"""

from collections.abc import Callable
from dataclasses import replace
from math import isqrt

from bench.holder import MINION_CAPACITY
from kingcuppost.batch.tables.job import StepSpec
from kingcuppost.utils.registry import Registry

__all__ = ["Steps", "shapes"]

Steps = tuple[StepSpec, ...]
ShapeMaker = Callable[[int], list[Steps]]
shapes: Registry[str, ShapeMaker] = Registry("shape of work")

TASK = StepSpec(1, cpu_millis=1_000, memory_mb=1_000, estimate_ms=60_000)
LAYER_STEPS = 24
GANG_TASKS = 4
JOBS = 12
FIRST_RACK = "r0-0"


@shapes.register("one step")
def make_one_step(tasks: int) -> list[Steps]:
    """Return one job of one wide step."""
    return [(replace(TASK, count=tasks),)]


@shapes.register("independent steps")
def make_independent_steps(tasks: int) -> list[Steps]:
    """Return one job of steps that depend on nothing."""
    return [(TASK,) * tasks]


@shapes.register("unequal steps")
def make_unequal_steps(tasks: int) -> list[Steps]:
    """Return one job of independent steps, no two of which have the same demand."""
    return [tuple(replace(TASK, memory_mb=index + 1) for index in range(tasks))]


@shapes.register("chain")
def make_chain(tasks: int) -> list[Steps]:
    """Return one job of steps, each of which needs the one before."""
    needs = [(), *((index,) for index in range(tasks - 1))]
    return [tuple(replace(TASK, needs=needed) for needed in needs)]


@shapes.register("layers")
def make_layers(tasks: int) -> list[Steps]:
    """Return one job of layers of steps, each of which needs the whole one before."""
    steps: list[StepSpec] = []
    needs: tuple[int, ...] = ()
    for first in range(0, tasks, LAYER_STEPS):
        steps += [replace(TASK, needs=needs)] * LAYER_STEPS
        needs = tuple(range(first, first + LAYER_STEPS))
    return [tuple(steps[:tasks])]


@shapes.register("each on all before")
def make_each_on_all(needs: int) -> list[Steps]:
    """Return one job of steps that need all earlier ones, with `needs` needs in all."""
    count = isqrt(2 * needs) + 1
    return [tuple(replace(TASK, needs=tuple(range(index))) for index in range(count))]


@shapes.register("gangs")
def make_gangs(tasks: int) -> list[Steps]:
    """Return one job of independent gangs."""
    gang = replace(TASK, count=GANG_TASKS, gang=True)
    return [(gang,) * (tasks // GANG_TASKS)]


@shapes.register("one gang")
def make_one_gang(tasks: int) -> list[Steps]:
    """Return one job of one wide gang, whose members are small."""
    gang = replace(TASK, count=tasks, cpu_millis=1, memory_mb=1, gang=True)
    return [(gang,)]


@shapes.register("gangs in one rack")
def make_rack_gangs(tasks: int) -> list[Steps]:
    """Return one job of independent gangs that run fast only in one rack."""
    gang = replace(TASK, count=GANG_TASKS, gang=True, one_rack=True)
    return [(gang,) * (tasks // GANG_TASKS)]


@shapes.register("unfit steps")
def make_unfit_steps(tasks: int) -> list[Steps]:
    """Return one job of independent steps that fit no minion."""
    demand = MINION_CAPACITY.cpu_millis + 1
    return [(replace(TASK, cpu_millis=demand),) * tasks]


@shapes.register("steps for one rack")
def make_steps_for_one_rack(tasks: int) -> list[Steps]:
    """Return one job of independent steps whose data is in one rack."""
    return [(replace(TASK, rack=FIRST_RACK),) * tasks]


@shapes.register("twelve jobs")
def make_twelve_jobs(tasks: int) -> list[Steps]:
    """Return `JOBS` jobs of independent steps."""
    return [(TASK,) * (tasks // JOBS)] * JOBS


@shapes.register("small jobs")
def make_small_jobs(tasks: int) -> list[Steps]:
    """Return jobs of one task each."""
    return [(TASK,)] * tasks
