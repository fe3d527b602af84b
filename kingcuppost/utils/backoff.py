"""Pauses between the attempts of an action that failed."""

import random
from dataclasses import dataclass

__all__ = ["Backoff"]

MIN_JITTER_RATIO = 0.5


@dataclass(slots=True)
class Backoff:
    """Pause before the next attempt, which grows with each failure in a row.

    Attributes
    ----------
    min_ms, max_ms : int
        Pause after the first failure, and longest pause.
    failures : int
        Number of failures since the last success.
    until_ms : int
        Time before which there is no attempt.

    Examples
    --------
    >>> backoff = Backoff(100, 300)
    >>> backoff.fail(random.Random(1), now_ms=1_000)
    >>> 1_050 <= backoff.until_ms <= 1_100
    True
    >>> backoff.succeed()
    >>> backoff.until_ms
    0
    """

    min_ms: int
    max_ms: int
    failures: int = 0
    until_ms: int = 0

    def fail(self, rng: random.Random, now_ms: int) -> None:
        """Count a failure, and put the next attempt off by twice the last pause.

        The jitter keeps processes that failed at the same time from all repeating their
        attempts at the same time.
        """
        doublings = min(self.failures, (self.max_ms // self.min_ms).bit_length())
        pause_ms = min(self.min_ms << doublings, self.max_ms)
        self.failures += 1
        self.until_ms = now_ms + int(pause_ms * rng.uniform(MIN_JITTER_RATIO, 1.0))

    def succeed(self) -> None:
        """Allow the next attempt at once."""
        self.failures = 0
        self.until_ms = 0
