"""Slopes of resource use by role, and the predicted use at a given size."""

from dataclasses import dataclass

from kingcuppost.settings import KEYS
from standins.usage import Usage

__all__ = [
    "BUDGET",
    "CURRENT_SIZE",
    "DESIGN_SIZE",
    "ROLES",
    "Rates",
    "Size",
    "Slope",
    "breaking_factor",
    "markdown",
    "predict",
]

SECONDS_PER_DAY = 86_400
BYTES_PER_KB = 1_000
MS_PER_SECOND = 1_000
PERCENT = 100
MEASURED_ENTRIES = 2  # entries of the deployment that `capacity` measures
HEARTBEAT_PERIOD_MS = KEYS["heartbeat.period_ms"].default
HEARTBEAT_GAP_MS = KEYS["heartbeat.gap_ms"].default
FULL_REPORT_PERIOD_MS = KEYS["heartbeat.full_ms"].default
FULL_REPORT_GAP_MS = KEYS["heartbeat.full_gap_ms"].default
ROLES = ("entry", "holder", "sidecar")


@dataclass(frozen=True)
class Size:
    """Size of a deployment.

    Attributes
    ----------
    name : str
        Name shown in tables.
    workers, tasks, teams, entries : int
        Counts.
    jobs_per_day, changes_per_day, restarts_per_day : float
        Number of events per day.
    """

    name: str
    workers: int
    tasks: int
    teams: int
    jobs_per_day: float
    changes_per_day: float
    restarts_per_day: float
    entries: int = MEASURED_ENTRIES

    def amounts(self, role: str) -> dict[str, float]:
        """Return the amount of each cost driver for a process of a role.

        Events are per second. A sidecar runs the tasks of its own worker.
        """
        tasks = self.tasks / self.workers if role == "sidecar" else self.tasks
        return {
            "worker": self.workers,
            "running task": tasks,
            "team": self.teams,
            "job": self.jobs_per_day / SECONDS_PER_DAY,
            "configuration change": self.changes_per_day / SECONDS_PER_DAY,
            "restart": self.restarts_per_day / SECONDS_PER_DAY,
        }

    def heartbeat_ratio(self, role: str) -> float:
        """Return the heartbeat rate per worker relative to the measured one.

        Each sidecar sends heartbeats to one of the entries, less often if many
        sidecars send to the same entry.
        """
        if role == "sidecar":
            return 1.0
        sidecars_per_entry = self.workers / self.entries
        stretched_ms = max(HEARTBEAT_PERIOD_MS, sidecars_per_entry * HEARTBEAT_GAP_MS)
        return MEASURED_ENTRIES / self.entries * HEARTBEAT_PERIOD_MS / stretched_ms

    def report_ratio(self, role: str) -> float:
        """Return the rate of full reports per task relative to the measured one.

        The holder receives them; in a large fleet each sidecar sends them less often.
        """
        if role != "holder":
            return 1.0
        return FULL_REPORT_PERIOD_MS / max(
            FULL_REPORT_PERIOD_MS, self.workers * FULL_REPORT_GAP_MS
        )


DESIGN_SIZE = Size("design size", 540, 9_400, 120, 360, 1_600, 35, entries=4)
CURRENT_SIZE = Size("today", 10, 80, 4, 40, 100, 4)


@dataclass(frozen=True)
class Rates:
    """Use of a process: share of a core, KB per second, MB, appends per second."""

    processor: float
    kb_a_second: float
    memory_mb: float
    appends: float = 0.0

    def add(self, other: "Rates", factor: float = 1.0) -> "Rates":
        """Return the sum of these rates and `factor` times the other ones."""
        pairs = zip(vars(self).items(), vars(other).values(), strict=True)
        return Rates(**{name: mine + factor * yours for (name, mine), yours in pairs})


BUDGET = Rates(0.033, 5.0, 256.0)  # of one process; appends have no budget


@dataclass(frozen=True)
class Slope:
    """Use that one more unit of a cost driver adds, by role.

    Attributes
    ----------
    driver : str
        Such as ``"worker"`` or ``"job"``.
    by_role : dict of str to Rates
        Rates for a lasting driver, such as a worker. For an event: seconds of
        processor, KB, MB and appends per event.
    messages : dict of str to float
        Messages per second, or per event.
    method : str
        How it was measured.
    """

    driver: str
    by_role: dict[str, Rates]
    messages: dict[str, float]
    method: str


def to_rates(use: Usage, seconds: float) -> Rates:
    """Return the use over a period as rates; memory stays an amount."""
    return Rates(
        use.processor_s / seconds,
        use.bytes_total / BYTES_PER_KB / seconds,
        use.memory_mb,
        use.appends / seconds,
    )


def predict(base: Rates, slopes: list[Slope], size: Size, role: str) -> Rates:
    """Return the predicted use of a process of a role at a size.

    Only lasting drivers add memory. The memory of events is left out, as the tables
    keep a bounded number of them. Of a team, only the memory counts, as its creation is
    a single event.
    """
    total = base
    amounts = size.amounts(role)
    for slope in slopes:
        if slope.driver in amounts:
            rates = slope.by_role[role]
            if slope.driver in ("job", "configuration change", "restart"):
                rates = Rates(rates.processor, rates.kb_a_second, 0.0, rates.appends)
            if slope.driver == "worker":
                rates = _scale_rates(rates, size.heartbeat_ratio(role))
            if slope.driver == "running task":
                rates = _scale_rates(rates, size.report_ratio(role))
            if slope.driver == "team":
                rates = Rates(0.0, 0.0, rates.memory_mb)
            total = total.add(rates, amounts[slope.driver])
    return total


def _scale_rates(rates: Rates, ratio: float) -> Rates:
    """Return rates with processor and bytes scaled; memory and appends stay."""
    return Rates(
        rates.processor * ratio,
        rates.kb_a_second * ratio,
        rates.memory_mb,
        rates.appends,
    )


def breaking_factor(base: Rates, full: Rates) -> tuple[str, float]:
    """Return the budget that is exhausted first, and at which multiple of the size."""
    factors = {}
    for name in ("processor", "kb_a_second", "memory_mb"):
        growth = getattr(full, name) - getattr(base, name)
        headroom = getattr(BUDGET, name) - getattr(base, name)
        factors[name] = max(headroom, 0.0) / growth if growth > 0 else float("inf")
    name = min(factors, key=factors.get)
    return name, factors[name]


def markdown(titles: list[str], rows: list[list[object]]) -> str:
    """Return a Markdown table."""
    lines = [titles, ["---"] * len(titles), *rows]
    return "\n".join(f"| {' | '.join(str(cell) for cell in line)} |" for line in lines)
