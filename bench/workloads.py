"""Seeded workloads: deployments with job arrivals, cancellations and zone changes."""

import random
from dataclasses import dataclass, field
from math import log

from kingcuppost.tables.job import Urgency
from kingcuppost.tables.team import Shape

__all__ = ["Arrival", "Cancel", "Deployment", "ZoneChange", "deployments"]

SECOND_MS = 1_000
MINUTE_MS = 60 * SECOND_MS
HOUR_MS = 60 * MINUTE_MS
MAX_DECLARED_FACTOR = 10.0  # largest error of a declared run time, either way
MAX_TEAM_BIAS = 1.15  # natural logarithm of a factor of about 3.16
EULER_NUMBER = 2.718281828
SHORT_OUTAGE_MS = 3 * MINUTE_MS
LONG_OUTAGE_MS = 60 * MINUTE_MS
POWER_OFF_DELAY_MS = 5 * MINUTE_MS


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """A worker of a deployment."""

    name: str
    availability_zone: str
    rack: str
    cores: int
    memory_mb: int
    accelerators: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job to submit.

    Attributes
    ----------
    at_ms : int
        Time of the submission.
    members : int
        Number of members of the gang.
    accelerators, cores, memory_mb : int
        Needs of each member.
    declared_ms, run_ms : int
        Declared and actual run time.
    checkpoint_ms : int
        Time that a checkpoint takes.
    """

    at_ms: int
    job: str
    team: str
    members: int
    accelerators: int
    cores: int
    memory_mb: int
    urgency: Urgency
    declared_ms: int
    run_ms: int
    checkpoint_ms: int


@dataclass(frozen=True, slots=True)
class ZoneChange:
    """An availability zone that leaves or rejoins service.

    A zone that leaves is powered off after `power_off_after_ms`, unless this is 0.
    """

    at_ms: int
    availability_zone: str
    in_service: bool
    power_off_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancellation of a share of all open jobs at once."""

    at_ms: int
    share: float


@dataclass(slots=True)
class Deployment:
    """Workers and teams, with the events of a run."""

    name: str
    region_of: dict[str, str]
    workers: list[WorkerSpec]
    teams: dict[str, tuple[Shape, ...]]
    arrivals: list[Arrival] = field(default_factory=list)
    zone_changes: list[ZoneChange] = field(default_factory=list)
    cancels: list[Cancel] = field(default_factory=list)


def _draw_run_ms(rng: random.Random, min_ms: int, max_ms: int) -> int:
    """Draw a run time from a log-uniform distribution."""
    return int(min_ms * (max_ms / min_ms) ** rng.random())


def _draw_declared_ms(rng: random.Random, run_ms: int, bias: float) -> int:
    """Draw a declared time of a tenth to ten times the run time.

    `bias` is the natural logarithm of the factor by which all declared times of a team
    err; a random error of each job adds to it.
    """
    spread = rng.uniform(-log(MAX_DECLARED_FACTOR), log(MAX_DECLARED_FACTOR)) / 2
    factor = EULER_NUMBER ** (spread + bias)
    factor = min(max(factor, 1 / MAX_DECLARED_FACTOR), MAX_DECLARED_FACTOR)
    return max(int(run_ms * factor), SECOND_MS)


def _draw_arrivals(
    rng: random.Random,
    teams: list[str],
    urgency: Urgency,
    count: int,
    span_ms: int,
    sizes: list[tuple[int, int]],
    run_range_ms: tuple[int, int],
) -> list[Arrival]:
    """Draw jobs; the declared times of each team err by a factor of its own.

    `sizes` holds pairs of members and accelerators per member.
    """
    bias = {team: rng.uniform(-MAX_TEAM_BIAS, MAX_TEAM_BIAS) for team in teams}
    arrivals = []
    for number in range(count):
        team = rng.choice(teams)
        members, accelerators = rng.choice(sizes)
        run_ms = _draw_run_ms(rng, *run_range_ms)
        arrivals.append(
            Arrival(
                rng.randrange(span_ms),
                f"{urgency}-{number}",
                team,
                members,
                accelerators,
                max(1, 6 * accelerators) if accelerators else 3,
                1_000,
                urgency,
                _draw_declared_ms(rng, run_ms, bias[team]),
                run_ms,
                rng.choice((200, 1_000, 2_500)),
            )
        )
    return arrivals


def _small_deployment(
    name: str, region: str, zones: tuple[str, ...], seed: int
) -> Deployment:
    """Return ten workers of 8 accelerators in three zones, with four teams."""
    rng = random.Random(seed)
    workers = [
        WorkerSpec(
            f"worker-{number}",
            zones[number % 3],
            f"rack-{number // 3}",
            64,
            128_000,
            8,
        )
        for number in range(10)
    ]
    teams = {
        "large": (Shape(2, 8),),
        "middle": (Shape(1, 8),),
        "bench": (Shape(2, 4),),
        "small": (Shape(1, 2, 3), Shape(1, 1, 2)),
    }
    deployment = Deployment(name, dict.fromkeys(zones, region), workers, teams)
    span_ms = 12 * HOUR_MS
    sizes = [(1, 1), (1, 2), (2, 2), (1, 4), (1, 8), (2, 4), (2, 8), (4, 8)]
    deployment.arrivals = _draw_arrivals(
        rng,
        list(teams),
        Urgency.OVERNIGHT,
        110,
        span_ms,
        sizes,
        (10 * MINUTE_MS, 4 * HOUR_MS),
    ) + _draw_arrivals(
        rng,
        ["large", "middle", "bench", "small"],
        Urgency.INTERACTIVE,
        200,
        span_ms,
        [(1, 1), (1, 2)],
        (10 * SECOND_MS, 2 * MINUTE_MS),
    )
    out_ms = rng.randrange(2 * HOUR_MS, 5 * HOUR_MS)
    outage_ms = SHORT_OUTAGE_MS if seed % 2 else LONG_OUTAGE_MS
    _add_zone_change(deployment, zones[seed % 3], out_ms, outage_ms)
    return deployment


def _add_zone_change(
    deployment: Deployment, zone: str, out_ms: int, outage_ms: int
) -> None:
    """Take a zone out of service for an outage; power it off in a long one."""
    power_off_after_ms = POWER_OFF_DELAY_MS if outage_ms > POWER_OFF_DELAY_MS else 0
    deployment.zone_changes = [
        ZoneChange(out_ms, zone, False, power_off_after_ms),
        ZoneChange(out_ms + outage_ms, zone, True),
    ]


def _apinis(seed: int) -> Deployment:
    return _small_deployment("apinis", "vidzeme", ("vid-a", "vid-b", "vid-c"), seed)


def _moulerie(seed: int) -> Deployment:
    return _small_deployment(
        "moulerie", "coast", ("sfax", "sousse", "bizerte"), seed + 100
    )


def _planned(seed: int) -> Deployment:
    """Return a deployment of the design size."""
    rng = random.Random(seed + 200)
    return sized_deployment("planned", rng, seed, scale=1)


def sized_deployment(
    name: str, rng: random.Random, seed: int, scale: int
) -> Deployment:
    """Return a deployment of `scale` times the design size."""
    zones = [f"zone-{number}" for number in range(7)]
    workers = []
    for number in range(540 * scale):
        accelerators = 8 if number < 125 * scale else 0
        workers.append(
            WorkerSpec(
                f"worker-{number}",
                zones[number % 7],
                f"rack-{number // 21}-{number % 7}",
                64,
                128_000,
                accelerators,
            )
        )
    teams = {}
    for number in range(120 * scale):
        shape = Shape(1, 8) if number % 10 == 0 else Shape(1, 4)
        teams[f"team-{number}"] = (shape,)
    region_of = {zone: f"region-{index // 4}" for index, zone in enumerate(zones)}
    deployment = Deployment(name, region_of, workers, teams)
    _add_arrivals(deployment, rng, scale)
    out_ms = rng.randrange(2 * HOUR_MS, 5 * HOUR_MS)
    outage_ms = SHORT_OUTAGE_MS if seed % 2 else LONG_OUTAGE_MS
    _add_zone_change(deployment, zones[seed % 7], out_ms, outage_ms)
    return deployment


def _add_arrivals(deployment: Deployment, rng: random.Random, scale: int) -> None:
    """Add jobs of both urgencies, and filler jobs without accelerators.

    The fillers are submitted in the first minute. They run for at least 20 hours, the
    time in which other jobs arrive. At scale 1 they have 147 times 64 members, about as
    many as the design size has running tasks.
    """
    teams = list(deployment.teams)
    filler = _draw_arrivals(
        rng,
        teams,
        Urgency.OVERNIGHT,
        147 * scale,
        MINUTE_MS,
        [(64, 0)],
        (20 * HOUR_MS, 40 * HOUR_MS),
    )
    for item in filler:
        object.__setattr__(item, "job", f"filler-{item.job}")
    sizes = [(1, 4), (1, 8)] * 3 + [(2, 8)] * 2
    sizes += [(4, 4), (8, 8), (16, 2), (32, 2), (64, 2)]
    deployment.arrivals = (
        filler
        + _draw_arrivals(
            rng,
            teams,
            Urgency.OVERNIGHT,
            240 * scale,
            20 * HOUR_MS,
            sizes,
            (HOUR_MS // 2, 6 * HOUR_MS),
        )
        + _draw_arrivals(
            rng,
            teams,
            Urgency.INTERACTIVE,
            120 * scale,
            20 * HOUR_MS,
            [(1, 1), (1, 2), (1, 4)],
            (10 * SECOND_MS, 5 * MINUTE_MS),
        )
    )


deployments = {"apinis": _apinis, "moulerie": _moulerie, "planned": _planned}
