"""A tick of a decision, which the functions that choose minions and runs share."""

from dataclasses import dataclass

from kingcuppost.batch.tables.decision import DecisionRound
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["Decision", "request_decision"]


@dataclass(frozen=True, slots=True)
class Decision:
    """A tick of a decision on all waiting units, and what it assesses all runs by.

    Attributes
    ----------
    world : BatchWorld
        Tables of the process.
    now_ms, wall_ms : int
        Time of the tick by the monotonic clock, and as Unix time in ms.
    round : DecisionRound
        What the decision has done so far.
    """

    world: BatchWorld
    now_ms: int
    wall_ms: int
    round: DecisionRound

    @property
    def guaranteed_ids(self) -> set[str]:
        """Return the urgent jobs that fit their team's guarantee."""
        return self.round.guaranteed_ids


def request_decision(world: BatchWorld, at_ms: int) -> None:
    """Schedule another decision at `at_ms`, even if nothing changes until then."""
    schedule = world.schedule
    schedule.decide_at_ms = min(schedule.decide_at_ms, at_ms)
    world.deadlines.add(at_ms)
