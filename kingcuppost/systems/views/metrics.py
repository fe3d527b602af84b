"""The metrics of a process, read off its tables when they are asked for.

Names and units follow the habits of Prometheus: seconds and bytes, counters that
end in ``_total``, few values for each label.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from kingcuppost.systems.agreement.scheduling_lease import is_scheduler
from kingcuppost.tables.fleet import MemberState
from kingcuppost.tables.metrics import DurationCounts
from kingcuppost.tables.world import World

__all__ = ["Metric", "MetricKind", "metrics", "read_durations", "read_samples"]

PREFIX = "kingcuppost_"
MS_PER_SECOND = 1_000
NEVER = -1.0

Sample = tuple[tuple[str, ...], float]
Read = Callable[[World], Iterable[Sample]]


class MetricKind(StrEnum):
    """Kinds of metrics, as Prometheus names them."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class Metric:
    """A metric with its meaning.

    Attributes
    ----------
    name : str
        Full name.
    kind : MetricKind
        Counter, gauge or histogram.
    text : str
        What it tells, one sentence.
    labels : tuple of str
        Names of its labels.
    read : callable or None
        Reads the samples off the tables; None for a counter or histogram that
        the process keeps in its tally.
    """

    name: str
    kind: MetricKind
    text: str
    labels: tuple[str, ...] = ()
    read: Read | None = None


metrics: dict[str, Metric] = {}


def gauge(name: str, text: str, *labels: str) -> Callable[[Read], Read]:
    """Return a decorator that declares a gauge with the function that reads it."""

    def register(read: Read) -> Read:
        metrics[name] = Metric(PREFIX + name, MetricKind.GAUGE, text, labels, read)
        return read

    return register


def counter(name: str, text: str, *labels: str) -> None:
    """Declare a counter that systems add to in the tally."""
    full_name = f"{PREFIX}{name}_total"
    metrics[name] = Metric(full_name, MetricKind.COUNTER, text, labels)


def histogram(name: str, text: str, *labels: str) -> None:
    """Declare durations that systems observe in the tally, in ms."""
    full_name = f"{PREFIX}{name}_seconds"
    metrics[name] = Metric(full_name, MetricKind.HISTOGRAM, text, labels)


def read_samples(world: World, name: str) -> list[Sample]:
    """Return the label values and values of a counter or gauge."""
    read = metrics[name].read
    if read is not None:
        return list(read(world))
    counts = world.tally.counts.get(name, {})
    if not counts and not metrics[name].labels:
        return [((), 0.0)]
    return [(labels, float(count)) for labels, count in counts.items()]


def read_durations(
    world: World, name: str
) -> list[tuple[tuple[str, ...], DurationCounts]]:
    """Return the label values and buckets of a histogram."""
    return list(world.tally.durations.get(name, {}).items())


counter("requests", "Callers' requests that were closed.", "team", "outcome")
histogram("request", "Time from arrival to outcome of a request.", "team", "outcome")
counter("bytes", "Bytes over TCP, headers included.", "direction")
counter("messages_sent", "Messages to peers, log and worker.", "kind")

counter("records_folded", "Records of the log that were applied or rejected.", "result")
counter("events", "Events of the time line.", "step")
histogram("config_apply", "Time from acceptance of a change to its effect here.")
histogram("tick", "Time that the systems took in a tick.")


@gauge("log_folded_offset", "Log offset applied last.")
def read_folded(world: World) -> Iterable[Sample]:
    """Read how far the log is folded."""
    yield (), float(world.log_view.folded_offset)


@gauge("log_head_offset", "Newest log offset that is known.")
def read_head(world: World) -> Iterable[Sample]:
    """Read the head of the log."""
    yield (), float(world.log_view.head_offset)


@gauge("log_fresh_age_seconds", "Age of the last read at the head; -1 before any.")
def read_freshness(world: World) -> Iterable[Sample]:
    """Read the age of the view."""
    fresh_as_of_ms = world.log_view.fresh_as_of_ms
    age_ms = world.clock.now_ms() - fresh_as_of_ms
    yield (), age_ms / MS_PER_SECOND if fresh_as_of_ms >= 0 else NEVER


@gauge("scheduling_term", "Log offset of the claim that opened the present term.")
def read_term(world: World) -> Iterable[Sample]:
    """Read the scheduling term."""
    yield (), float(world.agreed.lease.term)


@gauge("scheduler", "1 in the process that holds the scheduling lease, else 0.")
def read_scheduler(world: World) -> Iterable[Sample]:
    """Read whether this process schedules."""
    yield (), float(is_scheduler(world))


@gauge("jobs", "Jobs known.", "state")
def read_jobs(world: World) -> Iterable[Sample]:
    """Read jobs by state."""
    for state, count in Counter(row.state for row in world.agreed.jobs).items():
        yield (str(state),), float(count)


@gauge("gangs", "Gangs that hold accelerators.", "state", "borrowed")
def read_gangs(world: World) -> Iterable[Sample]:
    """Read gangs by state, borrowers apart."""
    gangs = Counter((row.state, row.borrowed) for row in world.agreed.gangs)
    for (state, borrowed), count in gangs.items():
        yield (str(state), "yes" if borrowed else "no"), float(count)


@gauge("minions", "Minions that the log knows.", "state")
def read_minions(world: World) -> Iterable[Sample]:
    """Read minions by state."""
    minions = Counter(row.state for row in world.agreed.minions)
    for state in MemberState:
        yield (str(state),), float(minions[state])


@gauge("availability_zone_in_service", "1 if the zone is in service, else 0.", "zone")
def read_zones(world: World) -> Iterable[Sample]:
    """Read zones."""
    for row in world.agreed.availability_zones:
        yield (row.name,), float(row.in_service)


@gauge("requests_open", "Callers' requests held open.", "state")
def read_requests(world: World) -> Iterable[Sample]:
    """Read open requests by state."""
    for state, count in Counter(row.state for row in world.requests).items():
        yield (str(state),), float(count)


@gauge("attempts_open", "Attempts under way from here.")
def read_attempts(world: World) -> Iterable[Sample]:
    """Read open attempts."""
    yield (), float(len(world.attempts))


@gauge("attempts_served", "Attempts that a sidecar remembers.", "state")
def read_served(world: World) -> Iterable[Sample]:
    """Read attempts at a sidecar."""
    for state, count in Counter(row.state for row in world.served_attempts).items():
        yield (str(state),), float(count)


@gauge("peer_failures", "Exchanges with minions that failed since one succeeded.")
def read_failures(world: World) -> Iterable[Sample]:
    """Read failures in a row, summed over minions."""
    yield (), float(sum(row.failures for row in world.health))


@gauge("proposals_open", "Records of this process that are not folded yet.")
def read_proposals(world: World) -> Iterable[Sample]:
    """Read records that wait for the log."""
    yield (), float(len(world.proposals))


@gauge("tasks", "Members of gangs at this sidecar.", "state")
def read_tasks(world: World) -> Iterable[Sample]:
    """Read members by state."""
    for state, count in Counter(row.state for row in world.tasks).items():
        yield (str(state),), float(count)


@gauge("stopping", "1 during a graceful stop, else 0.")
def read_stopping(world: World) -> Iterable[Sample]:
    """Read whether the process is stopping."""
    yield (), float(world.stopping)


@gauge("guarantee_uncovered", "1 for a team whose shapes can't all be held.", "team")
def read_uncovered(world: World) -> Iterable[Sample]:
    """Read uncovered guarantees; only the scheduler knows them."""
    for row in world.scheduling.uncovered:
        yield (row.team,), 1.0


@gauge("retry_tokens", "Retries that a team's budget still allows here.", "team")
def read_retries(world: World) -> Iterable[Sample]:
    """Read retry budgets."""
    for row in world.retry_budgets:
        yield (row.team,), row.tokens
