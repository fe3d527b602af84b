"""Departures of minions, as the scheduler sees them."""

from dataclasses import dataclass

__all__ = ["DepartureWave", "DrainCosts"]


@dataclass(slots=True)
class DepartureWave:
    """Departures of a service's minions that follow each other closely.

    Attributes
    ----------
    began_wall_ms : int
        Unix time at which its first minion began to drain, in ms.
    began_ms, last_ms : int
        Time at which its first and its newest minion began to drain.
    departures : int
        Number of its minions.
    steps : int
        Number of times at which minions began to drain, together or alone.
    """

    began_wall_ms: int
    began_ms: int
    last_ms: int
    departures: int = 1
    steps: int = 1


@dataclass(frozen=True, slots=True)
class DrainCosts:
    """Times that decide whether a run, or a gang, at draining minions is stopped.

    Attributes
    ----------
    lost_ms : float
        Work that a stop at once loses, as time of the run.
    expected_ms : float
        Time that the run still needs; of a gang, that of its slowest member.
    left_ms : int
        Time that is left until the first of its draining minions may leave.
    """

    lost_ms: float
    expected_ms: float
    left_ms: int
