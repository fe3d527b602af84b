"""The metrics of a process, read from its tables when they are requested.

Names and units follow the conventions of Prometheus: seconds and bytes, counters that
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
NEVER_READ_AGE_S = -1.0

# The label values, in the order of the metric's labels, and the value.
Sample = tuple[tuple[str, ...], float]
ReadSamples = Callable[[World], Iterable[Sample]]


class MetricKind(StrEnum):
    """Kinds of metrics, as Prometheus names them."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class Metric:
    """A metric with its description.

    Attributes
    ----------
    name : str
        Full name, with prefix and unit.
    kind : MetricKind
        Counter, gauge or histogram.
    text : str
        Help text, one sentence.
    labels : tuple of str
        Names of its labels.
    read : callable or None
        Reads the samples from the tables; None for a counter or histogram, whose
        values are in the tally of the process.
    """

    name: str
    kind: MetricKind
    text: str
    labels: tuple[str, ...] = ()
    read: ReadSamples | None = None


metrics: dict[str, Metric] = {}


def gauge(name: str, text: str, *labels: str) -> Callable[[ReadSamples], ReadSamples]:
    """Return a decorator that registers a function as the reader of a gauge."""

    def register(read: ReadSamples) -> ReadSamples:
        metrics[name] = Metric(PREFIX + name, MetricKind.GAUGE, text, labels, read)
        return read

    return register


def declare_counter(name: str, text: str, *labels: str) -> None:
    """Declare a counter that systems increment in the tally."""
    full_name = f"{PREFIX}{name}_total"
    metrics[name] = Metric(full_name, MetricKind.COUNTER, text, labels)


def declare_histogram(name: str, text: str, *labels: str) -> None:
    """Declare a histogram of durations, observed in ms and exported in seconds."""
    full_name = f"{PREFIX}{name}_seconds"
    metrics[name] = Metric(full_name, MetricKind.HISTOGRAM, text, labels)


def read_samples(world: World, name: str) -> list[Sample]:
    """Return the samples of a counter or gauge, each with its label values."""
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
    """Return the buckets of a histogram, each with its label values."""
    return list(world.tally.durations.get(name, {}).items())


declare_counter("requests", "Callers' requests that were closed.", "team", "outcome")
declare_histogram(
    "request", "Time from arrival to outcome of a request.", "team", "outcome"
)
declare_counter("bytes", "Bytes over TCP, headers included.", "direction")
declare_counter(
    "clients_refused", "Connections refused or closed for a limit on clients.", "kind"
)
declare_counter("messages_sent", "Messages to peers, log and worker.", "kind")

declare_counter(
    "records_folded", "Records of the log that were applied or rejected.", "result"
)
declare_counter("events", "Events of the time line.", "step")
declare_histogram(
    "config_apply", "Time from acceptance of a change to its effect here."
)
declare_histogram("tick", "Time that the systems took in a tick.")


@gauge("client_connections", "Open connections of clients.")
def read_client_connections(world: World) -> Iterable[Sample]:
    """Read the number of connections."""
    yield (), float(world.connections.count)


@gauge("client_held_bytes", "Bytes that clients' requests hold.", "kind")
def read_client_held_bytes(world: World) -> Iterable[Sample]:
    """Read the totals of all connections."""
    connections = world.connections
    yield ("unfinished",), float(connections.held_bytes)
    yield ("served",), float(connections.small_bytes + connections.large_bytes)


@gauge("log_folded_offset", "Log offset applied last.")
def read_folded_offset(world: World) -> Iterable[Sample]:
    """Read the offset of the record folded last."""
    yield (), float(world.log_view.folded_offset)


@gauge("log_head_offset", "Newest log offset that is known.")
def read_head_offset(world: World) -> Iterable[Sample]:
    """Read the newest known offset of the log."""
    yield (), float(world.log_view.head_offset)


@gauge("log_fresh_age_seconds", "Age of the last read at the head; -1 before any.")
def read_view_age(world: World) -> Iterable[Sample]:
    """Read the time since the log was last read at its head."""
    fresh_as_of_ms = world.log_view.fresh_as_of_ms
    age_ms = world.clock.now_ms() - fresh_as_of_ms
    yield (), age_ms / MS_PER_SECOND if fresh_as_of_ms >= 0 else NEVER_READ_AGE_S


@gauge("scheduling_term", "Log offset of the claim that opened the present term.")
def read_scheduling_term(world: World) -> Iterable[Sample]:
    """Read the term of the scheduling lease."""
    yield (), float(world.agreed.lease.term)


@gauge("scheduler", "1 in the process that holds the scheduling lease, else 0.")
def read_is_scheduler(world: World) -> Iterable[Sample]:
    """Read whether this process holds the scheduling lease."""
    yield (), float(is_scheduler(world))


@gauge("jobs", "Jobs known.", "state")
def read_jobs(world: World) -> Iterable[Sample]:
    """Count jobs by state."""
    for state, count in Counter(row.state for row in world.agreed.jobs).items():
        yield (str(state),), float(count)


@gauge("gangs", "Gangs that hold accelerators.", "state", "borrowed")
def read_gangs(world: World) -> Iterable[Sample]:
    """Count gangs by state, and by whether their capacity is borrowed."""
    gangs = Counter((row.state, row.borrowed) for row in world.agreed.gangs)
    for (state, borrowed), count in gangs.items():
        yield (str(state), "yes" if borrowed else "no"), float(count)


@gauge("minions", "Minions that the log knows.", "state")
def read_minions(world: World) -> Iterable[Sample]:
    """Count minions by state, including states without minions."""
    minions = Counter(row.state for row in world.agreed.minions)
    for state in MemberState:
        yield (str(state),), float(minions[state])


@gauge("availability_zone_in_service", "1 if the zone is in service, else 0.", "zone")
def read_zones_in_service(world: World) -> Iterable[Sample]:
    """Read whether each availability zone is in service."""
    for row in world.agreed.availability_zones:
        yield (row.name,), float(row.in_service)


@gauge("requests_open", "Callers' requests held open.", "state")
def read_open_requests(world: World) -> Iterable[Sample]:
    """Count open requests by state."""
    for state, count in Counter(row.state for row in world.requests).items():
        yield (str(state),), float(count)


@gauge("attempts_open", "Attempts under way from here.")
def read_open_attempts(world: World) -> Iterable[Sample]:
    """Count the open attempts of this process."""
    yield (), float(len(world.attempts))


@gauge("attempts_served", "Attempts that a sidecar remembers.", "state")
def read_served_attempts(world: World) -> Iterable[Sample]:
    """Count the attempts in the table of a sidecar by state."""
    for state, count in Counter(row.state for row in world.served_attempts).items():
        yield (str(state),), float(count)


@gauge("peer_failures", "Exchanges with minions that failed since one succeeded.")
def read_peer_failures(world: World) -> Iterable[Sample]:
    """Read the consecutive failures, summed over all minions."""
    yield (), float(sum(row.failures for row in world.health))


@gauge("proposals_open", "Records of this process that are not folded yet.")
def read_open_proposals(world: World) -> Iterable[Sample]:
    """Count proposed records that are not folded yet."""
    yield (), float(len(world.proposals))


@gauge("tasks", "Members of gangs at this sidecar.", "state")
def read_tasks(world: World) -> Iterable[Sample]:
    """Count gang members at this sidecar by state."""
    for state, count in Counter(row.state for row in world.tasks).items():
        yield (str(state),), float(count)


@gauge("stopping", "1 during a graceful stop, else 0.")
def read_stopping(world: World) -> Iterable[Sample]:
    """Read whether the process is in a graceful stop."""
    yield (), float(world.stopping)


@gauge("guarantee_uncovered", "1 for a team whose shapes can't all be held.", "team")
def read_uncovered_guarantees(world: World) -> Iterable[Sample]:
    """Read the teams with uncovered guarantees; only the scheduler computes them."""
    for row in world.scheduling.uncovered:
        yield (row.team,), 1.0


@gauge("retry_tokens", "Retries that a team's budget still allows here.", "team")
def read_retry_tokens(world: World) -> Iterable[Sample]:
    """Read the tokens left in the retry budget of each team."""
    for row in world.retry_budgets:
        yield (row.team,), row.tokens
