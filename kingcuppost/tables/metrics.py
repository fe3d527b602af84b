"""Counters and histograms for the metrics of a process."""

from bisect import bisect_left
from dataclasses import dataclass, field

__all__ = ["DURATION_BOUNDS_MS", "DurationCounts", "Tally"]

DURATION_BOUNDS_MS = (1, 2, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000)

Labels = tuple[str, ...]


@dataclass(slots=True)
class DurationCounts:
    """Histogram of durations.

    Attributes
    ----------
    buckets : list of int
        Non-cumulative counts: one for each inclusive upper bound in
        `DURATION_BOUNDS_MS`, and one for longer durations.
    sum_ms : float
        Sum of all durations, in ms.
    """

    buckets: list[int] = field(
        default_factory=lambda: [0] * (len(DURATION_BOUNDS_MS) + 1)
    )
    sum_ms: float = 0.0


@dataclass(slots=True)
class Tally:
    """Counters and histograms by name and label values.

    Examples
    --------
    >>> tally = Tally()
    >>> tally.add("requests", "design", "answered")
    >>> tally.add("requests", "design", "answered")
    >>> tally.counts["requests"]
    {('design', 'answered'): 2}
    >>> tally.observe("request", 3.5, "design")
    >>> tally.durations["request"]["design",].buckets[:4]
    [0, 0, 1, 0]
    """

    counts: dict[str, dict[Labels, int]] = field(default_factory=dict)
    durations: dict[str, dict[Labels, DurationCounts]] = field(default_factory=dict)

    def add(self, name: str, *labels: str, amount: int = 1) -> None:
        """Increase a counter."""
        counts = self.counts.setdefault(name, {})
        counts[labels] = counts.get(labels, 0) + amount

    def observe(self, name: str, duration_ms: float, *labels: str) -> None:
        """Count a duration in its histogram."""
        histogram = self.durations.setdefault(name, {}).setdefault(
            labels, DurationCounts()
        )
        histogram.buckets[bisect_left(DURATION_BOUNDS_MS, duration_ms)] += 1
        histogram.sum_ms += duration_ms
