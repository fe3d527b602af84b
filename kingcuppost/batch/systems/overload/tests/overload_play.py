"""A load that is played over the orders of the queue, with the capacity as one number.

The service is one minion, on which any free cores can be used together. All that the
tests look at is decided by the code under test: the units, their order, and the
forecast from the runs.
"""

import random
from dataclasses import dataclass, field

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.overload import queue_orders
from kingcuppost.batch.systems.plans import load_plan
from kingcuppost.batch.systems.queue_order import OVERTAKE_LIMIT_MS, OrderInputs
from kingcuppost.batch.systems.task_phases import add_plan, change_phase
from kingcuppost.batch.systems.units import list_plan_units
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.decision import DecisionRound, PlacementUnit
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import (
    Job,
    JobPolicy,
    MinionIncarnation,
    StepSpec,
    TaskPhase,
)
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

CORES = 10_000
SERVICE = "svc"
START_MS = 1_000_000
STEP_MS = 100
INCARNATION = MinionIncarnation("minion", 1)
# cores, estimate in ms and weight of the jobs of a load
ONE_QUEUE = ((312, 12_000, 1), (364, 13_000, 1), (416, 14_000, 1))
MIXED_SIZES = ((75, 5_000, 6), (360, 12_000, 6), (430, 12_000, 4), (800, 12_000, 2))


def make_world(queue_order: str = "cost", cores: int = CORES) -> BatchWorld:
    """Return the tables of a holder with one minion; with none if `cores` is 0."""
    cfg = DaemonConfig(
        Role.ENTRY,
        "entry-0",
        "zone-0",
        Address("10.0.0.1", 7000),
        queue_order=queue_order,
    )
    world = make_batch_world(cfg, ManualClock(start_ms=START_MS), seed=1)
    if cores:
        capacity = Resources(cores * 1_000, 10**9, 0)
        row = MinionRow("side", INCARNATION, SERVICE, "z", "r", frozenset(), capacity)
        world.schedule.minions.put(row)
    return world


def add_job(
    world: BatchWorld,
    *steps: StepSpec,
    accepted_ms: int | None = None,
    priority: int = 1,
    slack_factor: float = 2.0,
    service: str = SERVICE,
) -> Plan:
    """Add a job that is accepted now unless `accepted_ms` says otherwise."""
    if accepted_ms is None:
        accepted_ms = world.clock.wall_ms()
    job = Job(
        f"{len(world.schedule.plans):016x}",
        "q",
        "t",
        "",
        steps,
        accepted_ms,
        0,
        JobPolicy(service, priority, 1, slack_factor),
    )
    plan = load_plan(job)
    add_plan(world.schedule, plan)
    return plan


def gang(cores: int, estimate_ms: int, count: int = 1) -> StepSpec:
    """Return a gang whose tasks need a number of cores each."""
    return StepSpec(count, cpu_millis=cores * 1_000, estimate_ms=estimate_ms, gang=True)


def order_units(world: BatchWorld) -> list[PlacementUnit]:
    """Return all waiting units in the world's order, as one rank after another."""
    round_ = DecisionRound(1, set(), [])
    wall_ms = world.clock.wall_ms()
    ranks: dict[int, list[PlacementUnit]] = {}
    for plan in world.schedule.plans.values():
        for unit in list_plan_units(world, round_, plan, wall_ms):
            ranks.setdefault(unit.rank, []).append(unit)
    inputs = OrderInputs(world, round_, world.clock.now_ms(), wall_ms)
    order = queue_orders[world.queue_order]
    return [unit for rank in sorted(ranks) for unit in order(ranks[rank], inputs)]


def order_jobs(world: BatchWorld) -> list[str]:
    """Return the jobs of the waiting units in order, each once."""
    return list(dict.fromkeys(unit.plan.job.id for unit in order_units(world)))


@dataclass
class Outcomes:
    """What callers got.

    Attributes
    ----------
    took : dict of str to float
        Time that each job took, as a multiple of its target.
    work : dict of str to float
        Work of each job, in core-ms.
    largest_wait_ms : int
        Longest time for which any job waited.
    overtaken : int
        How often a unit came after one that had not waited `OVERTAKE_LIMIT_MS` after
        its target, though it had.
    """

    took: dict[str, float] = field(default_factory=dict)
    work: dict[str, float] = field(default_factory=dict)
    largest_wait_ms: int = 0
    overtaken: int = 0

    def share(self, job_ids: list[str], limit: float) -> float:
        """Return the share of jobs that ended within a multiple of their target."""
        return sum(self.took[job_id] <= limit for job_id in job_ids) / len(job_ids)

    def largest_tenth(self) -> list[str]:
        """Return the jobs with the most work."""
        ordered = sorted(self.work, key=self.work.__getitem__)
        return ordered[-(len(ordered) // 10) :]


def unit_rng(unit: PlacementUnit) -> random.Random:
    """Return a generator that depends only on the unit's job, whatever the order is."""
    return random.Random(unit.plan.job.id)


def count_overtaken(units: list[PlacementUnit], wall_ms: int) -> int:
    """Return how many units come after others in spite of the limit of overtaking."""
    old = [wall_ms - unit.target_end_ms > OVERTAKE_LIMIT_MS for unit in units]
    return sum(old) - sum(old[: sum(old)])


def play(
    queue_order: str,
    load: float,
    seed: int,
    sizes: tuple[tuple[int, int, int], ...] = MIXED_SIZES,
    arrive_ms: int = 60_000,
) -> Outcomes:
    """Play a load of gangs of several sizes until all of them have ended.

    Parameters
    ----------
    load : float
        Work that arrives in a time, as a multiple of what can be done in it.
    """
    rng = random.Random(seed)
    world = make_world(queue_order)
    weights = [weight for _, _, weight in sizes]
    mean_work = sum(
        cores * estimate_ms * weight for cores, estimate_ms, weight in sizes
    ) / sum(weights)
    arrivals_per_step = load * CORES * STEP_MS / mean_work
    outcomes = Outcomes()
    running: list[tuple[int, Plan]] = []
    free, now_ms, due = CORES, 0, 0.0
    while now_ms < arrive_ms or running or order_jobs(world):
        wall_ms = world.clock.wall_ms()
        for row in [row for row in running if row[0] <= wall_ms]:
            running.remove(row)
            plan = row[1]
            free += plan.job.steps[0].cpu_millis // 1_000
            change_phase(world.schedule, plan, plan.tasks[0][0], TaskPhase.DONE)
            target_ms = plan.job.policy.slack_factor * plan.job.steps[0].estimate_ms
            taken_ms = wall_ms - plan.job.accepted_ms
            outcomes.took[plan.job.id] = taken_ms / target_ms
        if now_ms < arrive_ms:
            due += arrivals_per_step * rng.uniform(0, 2)
        while due >= 1:
            due -= 1
            cores, estimate_ms, _ = rng.choices(sizes, weights)[0]
            cores = round(cores * rng.uniform(0.8, 1.2))
            plan = add_job(world, gang(cores, estimate_ms))
            outcomes.work[plan.job.id] = cores * estimate_ms
        units = order_units(world)
        outcomes.overtaken += count_overtaken(units, wall_ms)
        for unit in units:
            cores = unit.spec.cpu_millis // 1_000
            if cores > free:
                continue
            free -= cores
            task = unit.tasks[0]
            task.placed_ms = wall_ms
            change_phase(world.schedule, unit.plan, task, TaskPhase.PLACED, INCARNATION)
            run_ms = unit.spec.estimate_ms * unit_rng(unit).uniform(0.8, 1.2)
            running.append((wall_ms + round(run_ms), unit.plan))
            waited_ms = wall_ms - unit.plan.job.accepted_ms
            outcomes.largest_wait_ms = max(outcomes.largest_wait_ms, waited_ms)
        world.clock.advance(STEP_MS)
        now_ms += STEP_MS
    return outcomes
