"""Measures the resource use of each role with real processes on loopback.

``python -m standins.capacity`` starts a log, two entries and up to 16 minions. It
measures how processor time, bytes, memory and appends grow with each cost driver, and
prints these slopes and the predicted use at two sizes as Markdown. It takes a few
minutes and at most 60 processes. Run it on an idle machine; ``--write`` also puts the
tables into docs/CAPACITY.md.
"""

import json
import resource
import statistics
import sys
import time
from dataclasses import dataclass, field

from standins.pages import DOCS, replace_block
from standins.processes import Deployment, Site, wait_until
from standins.slopes import (
    BUDGET,
    CURRENT_SIZE,
    DESIGN_SIZE,
    PERCENT,
    ROLES,
    Rates,
    Slope,
    breaking_factor,
    markdown,
    predict,
    to_rates,
)
from standins.usage import Usage, read_usage

__all__ = ["CapacityMeasurement", "main"]

MINIONS_SMALL = 4
MINIONS_LARGE = 16
IDLE_WINDOW_S = 40.0
TEAM_COUNT = 40
POLL_PERIOD_S = 0.5
CHANGE_COUNT = 100
REQUEST_COUNT = 200
JOB_COUNT = 40
TASKS_PER_MINION = 24
SHORT_RUN_MS = 50
LONG_RUN_MS = 600_000
MINIONS_START_S = 3
JOBS_START_S = 5
JOBS_TIMEOUT_S = 180
STATUS_OK = 200
MS_PER_SECOND = 1_000
KB_PER_MB = 1_024
TEAM = "team-0"
FINAL_STATES = ("done", "failed", "cancelled", "refused")
Sample = dict[str, Usage]


@dataclass
class CapacityMeasurement:
    """A running deployment and its measurements.

    Attributes
    ----------
    minions : int
        Number of minions started.
    idle : dict of str to Rates
        Rates of each role at `MINIONS_LARGE` idle minions.
    base : dict of str to Rates
        Idle rates of each role, extrapolated to no minions.
    slopes : list of Slope
        Measured slopes.
    bursts : list of list
        Rows of the table of bursts.
    """

    deployment: Deployment
    minions: int = 0
    idle: dict[str, Rates] = field(default_factory=dict)
    base: dict[str, Rates] = field(default_factory=dict)
    slopes: list[Slope] = field(default_factory=list)
    bursts: list[list[object]] = field(default_factory=list)

    def add_minions(self, count: int) -> None:
        """Start more minions and wait until all are announced."""
        first = self.minions
        self.minions += count
        for number in range(first, self.minions):
            self.deployment.start_minion_and_worker(number)
        for number in range(first, self.minions):
            self.deployment.start_sidecar(number)
        self.wait_for_fleet()

    def wait_for_fleet(self) -> None:
        """Wait until the current process of every sidecar is announced."""
        ports = {
            f"minion-{number}": self.deployment.processes[f"minion-{number}"].ports
            for number in range(self.minions)
        }

        def are_announced() -> bool:
            rows = self.deployment.show("/v1/fleet")["minions"]
            known = {row["name"]: row["peer_port"] for row in rows}
            return all(known.get(name) == ports[name]["peers"] for name in ports)

        wait_until(are_announced, "all sidecars announced")

    def sample(self) -> Sample:
        """Return the resource use of each role; for sidecars the mean."""
        holder = self.deployment.show("/v1/status")["lease"]["holder"]
        entries = {"entry-0", "entry-1"}
        other = min(entries - {holder})
        sidecars = [
            read_usage(self.deployment.processes[f"minion-{number}"])
            for number in range(self.minions)
        ]
        return {
            "entry": read_usage(self.deployment.processes[other]),
            "holder": read_usage(self.deployment.processes[holder]),
            "sidecar": _mean_usage(sidecars),
        }

    def sample_with_own_cost(self) -> Sample:
        """Return a sample that includes the estimated cost of taking it.

        Taking a sample is work for the process. With its cost included, the
        difference to the next sample leaves that work out.
        """
        first = self.sample()
        second = self.sample()
        return {
            role: second[role].add(second[role].since(first[role])) for role in ROLES
        }

    def measure_rates(
        self, seconds: float
    ) -> tuple[dict[str, Rates], dict[str, float]]:
        """Return rates and messages per second of a period without other work."""
        before = self.sample_with_own_cost()
        started_s = time.monotonic()
        time.sleep(seconds)
        elapsed_s = time.monotonic() - started_s
        after = self.sample()
        use = {role: after[role].since(before[role]) for role in ROLES}
        rates = {role: to_rates(use[role], elapsed_s) for role in ROLES}
        return rates, {role: use[role].messages / elapsed_s for role in ROLES}

    def measure_event(self, driver: str, count: int, method: str, work) -> float:
        """Add the slope of an event: the use of `work` beyond idling, per event.

        Parameters
        ----------
        driver : str
            Name of the event in the tables.
        count : int
            Number of events that `work` causes.
        method : str
            How the slope is measured; the duration is appended.
        work : callable
            Causes the events and waits for their end.

        Returns
        -------
        float
            Duration of `work`, in s.
        """
        before = self.sample_with_own_cost()
        started_s = time.monotonic()
        work()
        elapsed_s = time.monotonic() - started_s
        after = self.sample()
        by_role = {}
        messages = {}
        for role in ROLES:
            use = after[role].since(before[role])
            idle = self.idle[role]
            spent = to_rates(use, 1.0).add(idle, -elapsed_s)
            by_role[role] = Rates(
                max(spent.processor, 0.0) / count,
                max(spent.kb_a_second, 0.0) / count,
                use.memory_mb / count,
                max(spent.appends, 0.0) / count,
            )
            messages[role] = use.messages / count
        self.slopes.append(
            Slope(driver, by_role, messages, f"{method}, {elapsed_s:.1f} s")
        )
        return elapsed_s

    def put(self, path: str, /, **body: object) -> None:
        """Send a change as an operator.

        Raises
        ------
        RuntimeError
            If the entry refuses it.
        """
        body = {"operator": "bench", **body}
        status, answer = self.deployment.call("entry-0", "operators", "PUT", path, body)
        if status != STATUS_OK:
            raise RuntimeError(f"{path} was refused: {answer}")

    def submit(self, name: str, run_ms: int) -> None:
        """Submit a job of one member with one core and no accelerator.

        Raises
        ------
        RuntimeError
            If the entry refuses it.
        """
        payload = json.dumps({"run_ms": run_ms, "result": "ok"})
        body = {"operator": "bench", "name": name, "team": TEAM}
        status, answer = self.deployment.call(
            "entry-0", "operators", "POST", "/v1/jobs", {**body, "payload": payload}
        )
        if status != STATUS_OK:
            raise RuntimeError(f"job {name} was refused: {answer}")

    def states(self) -> dict[str, str]:
        """Return the state of each job, after a pause for polling."""
        time.sleep(POLL_PERIOD_S)
        rows = self.deployment.show("/v1/jobs")["rows"]
        return {row["name"]: row["state"] for row in rows}

    def have_ended(self, names: list[str]) -> bool:
        """Return whether all these jobs have ended."""
        states = self.states()
        return all(states.get(name) in FINAL_STATES for name in names)


def _mean_usage(rows: list[Usage]) -> Usage:
    names = vars(rows[0])
    return Usage(
        **{name: statistics.fmean(getattr(row, name) for row in rows) for name in names}
    )


def measure_workers(measurement: CapacityMeasurement) -> None:
    """Measure idle use at two sizes; derive the base and the slope per worker."""
    measurement.add_minions(MINIONS_SMALL)
    small, small_messages = measurement.measure_rates(IDLE_WINDOW_S)
    small_memory = {role: use.memory_mb for role, use in measurement.sample().items()}
    measurement.add_minions(MINIONS_LARGE - MINIONS_SMALL)
    time.sleep(MINIONS_START_S)  # excludes the start of the new processes
    measurement.idle, messages = measurement.measure_rates(IDLE_WINDOW_S)
    large_memory = {role: use.memory_mb for role, use in measurement.sample().items()}
    added = MINIONS_LARGE - MINIONS_SMALL
    by_role = {}
    for role in ROLES:
        growth = measurement.idle[role].add(small[role], -1.0)
        growth_mb = large_memory[role] - small_memory[role]
        slope = Rates(
            max(growth.processor, 0.0) / added,
            max(growth.kb_a_second, 0.0) / added,
            max(growth_mb, 0.0) / added,
            max(growth.appends, 0.0) / added,
        )
        by_role[role] = slope
        idle_rates = Rates(
            measurement.idle[role].processor,
            measurement.idle[role].kb_a_second,
            large_memory[role],
            measurement.idle[role].appends,
        )
        measurement.base[role] = idle_rates.add(slope, -MINIONS_LARGE)
    per_worker = {
        role: (messages[role] - small_messages[role]) / added for role in ROLES
    }
    method = (
        f"idle at {MINIONS_SMALL} and at {MINIONS_LARGE} workers, {IDLE_WINDOW_S} s"
    )
    measurement.slopes.append(Slope("worker", by_role, per_worker, method))


def measure_changes(measurement: CapacityMeasurement) -> None:
    """Measure the creation of teams and configuration changes."""

    def put_teams() -> None:
        for number in range(TEAM_COUNT):
            shapes = [{"members": 1, "accelerators": 1}]
            measurement.put(f"/v1/teams/team-{number}", guarantees=shapes)

    def change() -> None:
        for number in range(CHANGE_COUNT):
            measurement.put(
                "/v1/settings",
                key="request.timeout_ms",
                value=10_000 + number,
                path=f"teams/team-{number % TEAM_COUNT}",
            )

    measurement.measure_event("team", TEAM_COUNT, f"{TEAM_COUNT} teams put", put_teams)
    measurement.measure_event(
        "configuration change", CHANGE_COUNT, f"{CHANGE_COUNT} keys set", change
    )


def measure_requests(measurement: CapacityMeasurement) -> None:
    """Measure requests, half of them through each entry."""
    body = {"team": TEAM, "service": measurement.deployment.site.service}
    latencies_ms = []

    def send_requests() -> None:
        for number in range(REQUEST_COUNT):
            entry = f"entry-{number % 2}"
            started_s = time.monotonic()
            measurement.deployment.call(entry, "callers", "POST", "/v1/requests", body)
            latencies_ms.append((time.monotonic() - started_s) * MS_PER_SECOND)

    measurement.measure_event(
        "request",
        REQUEST_COUNT,
        f"{REQUEST_COUNT} requests by two entries",
        send_requests,
    )
    p50 = statistics.median(latencies_ms)
    measurement.bursts.append(
        ["request, one at a time", REQUEST_COUNT, f"p50 {p50:.1f} ms", "-"]
    )


def measure_jobs(measurement: CapacityMeasurement) -> None:
    """Measure short jobs from submission to result."""

    def run() -> None:
        names = [f"short-{number}" for number in range(JOB_COUNT)]
        for name in names:
            measurement.submit(name, SHORT_RUN_MS)
        wait_until(
            lambda: measurement.have_ended(names),
            "all short jobs ended",
            JOBS_TIMEOUT_S,
        )

    elapsed_s = measurement.measure_event(
        "job", JOB_COUNT, f"{JOB_COUNT} jobs of one member", run
    )
    measurement.bursts.append(
        ["jobs submitted at once", JOB_COUNT, f"{elapsed_s:.1f} s", "-"]
    )


def measure_tasks(measurement: CapacityMeasurement) -> None:
    """Measure running tasks, then the cancellation of all of them."""
    count = TASKS_PER_MINION * measurement.minions
    names = [f"long-{number}" for number in range(count)]
    before_mb = {role: use.memory_mb for role, use in measurement.sample().items()}
    for name in names:
        measurement.submit(name, LONG_RUN_MS)

    def are_active() -> bool:
        return list(measurement.states().values()).count("active") >= count

    wait_until(are_active, "all long jobs placed", JOBS_TIMEOUT_S)
    time.sleep(JOBS_START_S)  # excludes the start of the jobs
    after_mb = {role: use.memory_mb for role, use in measurement.sample().items()}
    rates, messages = measurement.measure_rates(IDLE_WINDOW_S)
    by_role = {}
    for role in ROLES:
        task_count = TASKS_PER_MINION if role == "sidecar" else count
        growth = rates[role].add(measurement.idle[role], -1.0)
        growth_mb = after_mb[role] - before_mb[role]
        by_role[role] = Rates(
            max(growth.processor, 0.0) / task_count,
            max(growth.kb_a_second, 0.0) / task_count,
            max(growth_mb, 0.0) / task_count,
            max(growth.appends, 0.0) / task_count,
        )
    method = f"{count} tasks running, {IDLE_WINDOW_S} s; messages a second of all"
    measurement.slopes.append(Slope("running task", by_role, messages, method))
    _cancel(measurement, names)


def _cancel(measurement: CapacityMeasurement, names: list[str]) -> None:
    """Cancel jobs one after the other; measure until all have ended."""
    started_s = time.monotonic()
    before = measurement.sample()["holder"]
    for name in names:
        measurement.deployment.call(
            "entry-0",
            "operators",
            "POST",
            f"/v1/jobs/{name}/cancel",
            {"operator": "bench"},
        )
    wait_until(
        lambda: measurement.have_ended(names),
        "all long jobs cancelled",
        JOBS_TIMEOUT_S,
    )
    elapsed_s = time.monotonic() - started_s
    use = measurement.sample()["holder"].since(before)
    measurement.bursts.append(
        [
            "cancellation wave",
            len(names),
            f"{elapsed_s:.1f} s",
            f"{use.processor_s / len(names) * MS_PER_SECOND:.1f} ms each at the holder",
        ]
    )


def measure_restarts(measurement: CapacityMeasurement) -> None:
    """Measure the simultaneous restart of all sidecars of a zone."""
    zone = measurement.deployment.site.zones[0]
    numbers = [
        number
        for number in range(measurement.minions)
        if measurement.deployment.site.zone_of(number) == zone
    ]

    def restart() -> None:
        for number in numbers:
            measurement.deployment.processes[f"minion-{number}"].kill()
        for number in numbers:
            measurement.deployment.start_sidecar(number)
        measurement.wait_for_fleet()

    slope_index = len(measurement.slopes)
    elapsed_s = measurement.measure_event(
        "restart", len(numbers), f"{len(numbers)} sidecars", restart
    )
    measurement.slopes[slope_index] = _without_sidecars(measurement.slopes[slope_index])
    measurement.bursts.append(
        ["zone restarted", len(numbers), f"{elapsed_s:.1f} s", "-"]
    )


def _without_sidecars(slope: Slope) -> Slope:
    """Return the slope with the use by sidecars set to zero.

    Their mean is meaningless, as the restart has reset the counters of some of them.
    """
    by_role = {**slope.by_role, "sidecar": Rates(0.0, 0.0, 0.0)}
    return Slope(
        slope.driver, by_role, {**slope.messages, "sidecar": 0.0}, slope.method
    )


def measure_start(measurement: CapacityMeasurement) -> None:
    """Measure how long a new entry takes to read the log, from a snapshot if any."""
    head = measurement.deployment.show("/v1/status")["head_offset"]
    started_s = time.monotonic()
    process = measurement.deployment.start_entry("entry-2")

    def caught_up() -> bool:
        return (
            measurement.deployment.show("/v1/status", "entry-2")["folded_offset"]
            >= head
        )

    wait_until(caught_up, "the new entry has caught up")
    elapsed_s = time.monotonic() - started_s
    use = read_usage(process)
    text = f"{use.processor_s:.2f} s of processor, {use.memory_mb:.0f} MB"
    measurement.bursts.append(
        ["entry started on a log", f"{head} records", f"{elapsed_s:.1f} s", text]
    )


def measure_command(measurement: CapacityMeasurement) -> None:
    """Measure a command of the operators' command line."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    started_s = time.monotonic()
    measurement.deployment.run("status")
    elapsed_s = time.monotonic() - started_s
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    spent_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    text = f"{spent_s:.2f} s of processor, {after.ru_maxrss / KB_PER_MB:.0f} MB at most"
    measurement.bursts.append(["operator command", 1, f"{elapsed_s:.1f} s", text])


def slope_table(measurement: CapacityMeasurement) -> str:
    """Return the table of measured slopes."""
    rows = []
    for slope in measurement.slopes:
        for role in ROLES:
            use = slope.by_role[role]
            rows.append(
                [
                    slope.driver,
                    role,
                    f"{use.processor * MS_PER_SECOND:.3f}",
                    f"{use.kb_a_second:.3f}",
                    f"{use.memory_mb * KB_PER_MB:.1f}",
                    f"{slope.messages[role]:.3f}",
                    f"{use.appends:.3f}",
                    slope.method,
                ]
            )
    titles = ["for one more", "role", "processor ms", "KB", "memory KB"]
    return markdown([*titles, "messages", "appends", "measured as"], rows)


def size_table(measurement: CapacityMeasurement) -> str:
    """Return the table of predicted use at each size, against the budget."""
    rows = []
    for size in (CURRENT_SIZE, DESIGN_SIZE):
        for role in ROLES:
            base = measurement.base[role]
            full = predict(base, measurement.slopes, size, role)
            first, factor = breaking_factor(base, full)
            rows.append(
                [
                    size.name,
                    role,
                    f"{full.processor * PERCENT:.2f}",
                    f"{full.kb_a_second:.2f}",
                    f"{full.memory_mb:.0f}",
                    f"{full.appends:.4f}",
                    f"{first} at {factor:.2f} times this size",
                ]
            )
    budget = [f"{BUDGET.processor * PERCENT:.1f}", f"{BUDGET.kb_a_second:.0f}"]
    rows.append(["budget", "-", *budget, f"{BUDGET.memory_mb:.0f}", "-", "-"])
    titles = ["size", "role", "core %", "KB/s", "memory MB", "appends/s"]
    return markdown([*titles, "breaks first"], rows)


def base_table(measurement: CapacityMeasurement) -> str:
    """Return the table of the use of a process without any cost driver."""
    rows = [
        [
            role,
            f"{measurement.base[role].processor * PERCENT:.2f}",
            f"{measurement.base[role].kb_a_second:.2f}",
            f"{measurement.base[role].memory_mb:.0f}",
            f"{measurement.idle[role].processor * PERCENT:.2f}",
        ]
        for role in ROLES
    ]
    titles = ["role", "core %", "KB/s", "memory MB"]
    return markdown([*titles, f"core % idle at {MINIONS_LARGE} workers"], rows)


MEASUREMENTS = (
    measure_workers,
    measure_changes,
    measure_requests,
    measure_jobs,
    measure_tasks,
    measure_restarts,
    measure_start,
    measure_command,
)


def main() -> int:
    """Measure everything and print the tables."""
    with Deployment(site=Site()) as deployment:
        deployment.start_log()
        deployment.start_entry("entry-0", "vid-a")
        deployment.start_entry("entry-1", "vid-b")
        measurement = CapacityMeasurement(deployment)
        wait_until(
            lambda: deployment.show("/v1/status")["lease"]["holder"], "a scheduler"
        )
        for zone in deployment.site.zones:
            region = deployment.site.region
            path = f"/v1/availability-zones/{zone}"
            measurement.put(path, region=region, in_service=True)
        for measure in MEASUREMENTS:
            print(f"{measure.__name__} ...", file=sys.stderr, flush=True)
            measure(measurement)
    report = make_report(measurement)
    print(report)
    if "--write" in sys.argv[1:]:
        page = DOCS / "CAPACITY.md"
        text = page.read_text(encoding="utf-8")
        page.write_text(replace_block(text, "capacity", report), encoding="utf-8")
    return 0


def make_report(measurement: CapacityMeasurement) -> str:
    """Return all tables under their headings."""
    bursts = ["burst", "count", "until it is over", "cost"]
    parts = {
        "Slopes": slope_table(measurement),
        "Before any driver": base_table(measurement),
        "Sizes": size_table(measurement),
        "Bursts": markdown(bursts, measurement.bursts),
    }
    return "\n\n".join(f"### {title}\n\n{body}" for title, body in parts.items())


if __name__ == "__main__":
    sys.exit(main())
